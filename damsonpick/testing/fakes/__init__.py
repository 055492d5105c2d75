"""Small loopback fakes of outside systems: gateways, results servers, the list server, the platform's services."""

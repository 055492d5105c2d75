"""Small fakes on loopback of what is not ours: gateways, results servers, list server, the platform's services."""

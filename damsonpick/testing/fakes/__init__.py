"""Small stand-ins on loopback for what is not ours: gateways, results servers, a list server."""

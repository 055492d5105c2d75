"""The way to the gateways: what waits for whom, in which order and at what pace."""

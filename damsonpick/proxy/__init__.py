"""A small HTTP proxy that routes requests by the published tables; see docs/design/proxy.md."""

"""A small proxy that obeys published tables; see docs/design/proxy.md."""

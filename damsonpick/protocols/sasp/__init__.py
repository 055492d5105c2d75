"""The Server/Application State Protocol, version 1 (RFC 4678): weight advice to balancers that speak it."""

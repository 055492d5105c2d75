"""Server for the Server/Application State Protocol, version 1 (RFC 4678): sends weight advice to load balancers."""

"""Code that several protocols use: sessions, the send queue, gRPC streams and instance settings."""

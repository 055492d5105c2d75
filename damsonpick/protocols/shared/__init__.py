"""What several protocols use: sessions, the send queue, gRPC streams, instance settings."""

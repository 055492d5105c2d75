"""Small helps for the client half of gRPC streams."""

"""Small helps for sockets and the client half of gRPC streams."""

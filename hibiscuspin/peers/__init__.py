"""Communication between instances; includes the generated gRPC code."""

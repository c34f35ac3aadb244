"""Messages between instances by grpclib."""

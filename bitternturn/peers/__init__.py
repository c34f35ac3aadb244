"""gRPC communication between instances, over grpclib."""

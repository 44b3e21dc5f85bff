"""The catalogue over gRPC: the service, the operators' client, and the watchers in managers and boxes."""

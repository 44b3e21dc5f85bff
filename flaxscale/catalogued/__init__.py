"""The catalogue on sockets: the gRPC service, its client, and the watcher that managers and boxes run."""

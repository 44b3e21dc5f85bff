"""The session manager on the operators' platform: its configuration, bulletin, peers and sockets."""

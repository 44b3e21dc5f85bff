"""The session manager on the operators' platform: configuration, discovery, peer messages and connections."""

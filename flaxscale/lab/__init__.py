"""Days on loopback: records, clients, troubles and who plays them."""

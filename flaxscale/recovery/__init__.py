"""State that outlives a single exchange: known boxes, pending orders to them, and answered idempotency keys. No I/O."""

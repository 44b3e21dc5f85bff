"""State that outlives one exchange: what boxes are known, what is owed to them, what keys were answered. No I/O."""

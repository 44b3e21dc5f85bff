"""Which manager acted on which versions: stamps, and a manager's own account of what it did under each. Pure."""

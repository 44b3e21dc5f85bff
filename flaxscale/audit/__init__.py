"""Which manager acted under which versions: stamps, and each manager's account of its actions."""

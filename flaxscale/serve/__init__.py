"""Sockets: asyncio protocol classes for HTTP, thin shells over http1/."""

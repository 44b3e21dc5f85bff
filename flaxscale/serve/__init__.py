"""HTTP over sockets: asyncio protocol classes around the parsers of http1/."""

"""The JSON lines protocol of the operators' platform, without I/O: decodes, validates and encodes messages."""

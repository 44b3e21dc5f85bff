"""JSON lines of the operators' platform, without I/O: bytes to messages or a named fault, and back."""

"""HTTP/1.1 (RFC 9112) without I/O: bytes in, events out. The parsing of the wire itself is httptools'."""

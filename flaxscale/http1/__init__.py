"""HTTP/1.1 (RFC 9112) without I/O: received bytes in, events out. httptools does the parsing."""

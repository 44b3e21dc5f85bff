"""WHIP (RFC 9725) and WHEP (draft-ietf-wish-whep) signalling, without I/O."""

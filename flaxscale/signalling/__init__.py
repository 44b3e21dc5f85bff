"""WHIP (RFC 9725) and WHEP (draft-ietf-wish-whep) without I/O."""

"""Catalogue versions across managers: which one each holds, catching up from peers, and version floors. No I/O."""

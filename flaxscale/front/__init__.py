"""The session front: connects WHIP and WHEP clients, boxes and the runner, and makes no decisions."""

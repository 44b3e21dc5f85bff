"""The session front: WHIP and WHEP on one side, boxes on the other, the runner between. It decides nothing."""

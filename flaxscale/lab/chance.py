"""The one door of a day's chance."""

from ..chance import uniform_from_bytes


class Dice:
    """Chance by seed, stream and counter: a stream's draws do not move when another draws more."""

    def __init__(self, seed, stream):
        self.seed, self.stream, self.n = seed, stream, 0

    def draw(self):
        self.n += 1
        return uniform_from_bytes(f"{self.seed}:{self.stream}:{self.n}".encode())

    def between(self, pair):
        return pair[0] + (pair[1] - pair[0]) * self.draw()

    def pick(self, weights):
        """A key by weight."""
        at = self.draw() * sum(weights.values())
        for key, weight in weights.items():
            at -= weight
            if at < 0:
                return key
        return key

    def some(self, items, count):
        """`count` of the items, without repeats, in their order."""
        ranked = sorted(items, key=lambda item: (self.draw(), item))
        return sorted(ranked[:count])

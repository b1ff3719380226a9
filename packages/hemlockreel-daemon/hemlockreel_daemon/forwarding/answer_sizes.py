"""Estimates the sizes of answers, so that room is kept before requests run."""

SHARE = 1 / 16  # of the newest answer in the mean


class AnswerSizes:
    """The mean sizes of the answers of routes, in bytes.

    The answers that are held at a moment have about the sum of their means.

    >>> sizes = AnswerSizes()
    >>> sizes.note("lookups", 1600)
    >>> sizes.expect("lookups"), sizes.expect("deposits")
    (1600, 0)
    """

    def __init__(self):
        self._means: dict[str, float] = {}

    def note(self, route: str, size: int) -> None:
        """Notes the size of an answer."""
        mean = self._means.get(route, size)
        self._means[route] = mean + SHARE * (size - mean)

    def expect(self, route: str) -> int:
        """Returns the mean size, 0 before the first answer."""
        return int(self._means.get(route, 0))

"""Growing waits between attempts at something that keeps failing."""

from __future__ import annotations

#: Number of doublings beyond which a wait is at its maximum, whatever its first length.
MAX_DOUBLINGS = 32


def find_backoff_s(first_s: float, repeats: int, max_s: float) -> float:
    """Find how long to wait after one of several failures in a row.

    :param first_s: the wait after the first failure, in seconds; each further failure
        doubles it.
    :param repeats: number of failures before this one; any number is allowed.
    :param max_s: the longest wait, in seconds.
    :returns: the wait, in seconds.

    >>> [find_backoff_s(0.5, repeats, 4.0) for repeats in (0, 1, 2, 3, 4, 5_000)]
    [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    """
    return min(max_s, first_s * 2.0 ** min(repeats, MAX_DOUBLINGS))

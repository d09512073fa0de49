"""How many bytes of answers a process keeps, and which answers it gives up for room."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic

#: Maximum size of what is kept of all answers, in bytes, unless settings say otherwise.
DEFAULT_MAX_HELD_BYTES = 33_554_432
#: Interval between two lines about the answers of one target, in seconds.
LOG_INTERVAL_S = 10.0


class Holding:
    """What is kept of the answer on one connection.

    :param address: the target.
    :param measure: finds how many bytes are kept now.
    :param give_up: closes the connection, and lets go of what is kept at once.
    """

    __slots__ = ("address", "give_up", "is_given_up", "measure", "size")

    def __init__(
        self,
        address: Address,
        measure: Callable[[], int],
        give_up: Callable[[], None],
    ) -> None:
        #: Address of the target.
        self.address = address
        #: Finds how many bytes are kept now; fewer than counted once some were passed
        #: on.
        self.measure = measure
        #: Closes the connection, and lets go of what is kept at once.
        self.give_up = give_up
        #: Bytes that are counted.
        self.size = 0
        #: Whether the answer was given up; what it holds no longer counts.
        self.is_given_up = False

    def detach(self) -> None:
        """Forget the connection, which would otherwise refer to itself."""
        self.measure, self.give_up = _measure_nothing, _do_nothing


def _measure_nothing() -> int:
    return 0


def _do_nothing() -> None:
    """Give up nothing."""


class HeldBytes:
    """Bytes that a process keeps of answers, with one limit for all of them.

    Beyond the limit the largest answers of the target that most is kept of are given
    up, so that a target whose answers have no end doesn't take the room of others.

    :param limit: maximum number of bytes.

    >>> held = HeldBytes(limit=100)
    >>> endless = Holding(Address("10.0.0.1", 80), lambda: 90, lambda: None)
    >>> sound = Holding(Address("10.0.0.2", 80), lambda: 20, lambda: None)
    >>> held.resize(endless, 90)
    >>> held.resize(sound, 20)
    >>> endless.is_given_up, sound.is_given_up, held.size
    (True, False, 20)
    """

    __slots__ = ("_holdings", "_logged_at", "_sizes", "given_up", "limit", "size")

    def __init__(self, limit: int = DEFAULT_MAX_HELD_BYTES) -> None:
        self._holdings: dict[Address, set[Holding]] = {}
        self._sizes: dict[Address, int] = {}
        self._logged_at: dict[Address, float] = {}
        #: Maximum number of bytes.
        self.limit = limit
        #: Number of bytes that are kept now.
        self.size = 0
        #: Number of answers that were given up.
        self.given_up = 0

    def resize(self, holding: Holding, size: int) -> None:
        """Record how much is kept of an answer; some may be given up, also this one.

        :param holding: the answer's holding, which is not given up.
        :param size: the number of bytes; 0 once the answer has ended.
        """
        self._count(holding, size)
        while self.size > self.limit:
            self._make_room()

    def _count(self, holding: Holding, size: int) -> None:
        address, change = holding.address, size - holding.size
        if not change:
            return
        holding.size = size
        self._add(address, change)
        if size:
            self._holdings.setdefault(address, set()).add(holding)
        else:
            self._remove(holding)

    def _add(self, address: Address, change: int) -> None:
        self.size += change
        self._sizes[address] = self._sizes.get(address, 0) + change

    def _remove(self, holding: Holding) -> None:
        """Remove a holding from those of its target."""
        holdings = self._holdings.get(holding.address, set())
        holdings.discard(holding)
        if not holdings:
            self._holdings.pop(holding.address, None)
            self._sizes.pop(holding.address, None)

    def _make_room(self) -> None:
        """Give up the largest answer of the target that most is kept of.

        If part of it was passed on since it was counted, it is only counted again.
        """
        address = max(self._sizes, key=self._sizes.__getitem__)
        largest = max(self._holdings[address], key=lambda each: each.size)
        size = largest.measure()
        if size < largest.size:
            self._count(largest, size)
            return
        self._log(address, largest.size)
        self._count(largest, 0)
        largest.is_given_up = True
        self.given_up += 1
        largest.give_up()

    def _log(self, address: Address, size: int) -> None:
        """Log that an answer is given up, at intervals for each target."""
        now = read_monotonic()
        if now - self._logged_at.get(address, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_at = {
            known: at for known, at in self._logged_at.items() if known in self._sizes
        }
        self._logged_at[address] = now
        logger.bind(
            step="room",
            peer=str(address),
            bytes=size,
            held_bytes=self._sizes[address],
            answers=len(self._holdings[address]),
        ).warning(f"given up: over {self.limit} bytes of answers are kept")

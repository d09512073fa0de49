"""A target that some requests end, and the rules for such requests."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum

import curio

from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_forwarding import ForwardRequest

#: Time after which a target that has ended is back, in seconds.
DOWN_S = 4.0


class Fatal(Enum):
    """When a request ends the target that it reaches."""

    #: Never.
    NOT = "not"
    #: As the target begins to run it.
    TO_RUN = "to run"
    #: Some time after the target has begun to write its answer.
    TO_WRITE = "to write"


class _Life:
    """One process of a target."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.ended = curio.Event()


class CrashingTarget:
    """A target whose process some requests end; it starts again under another id.

    :param name: the beginning of its ids.
    :param address: where it accepts requests.
    """

    def __init__(self, name: str, address: Address) -> None:
        self._name = name
        self.address = address
        #: Returns when a request ends the target.
        self.find_fatal: Callable[[ForwardRequest], Fatal] = lambda _: Fatal.NOT
        #: When each request arrived, and from which host.
        self.arrivals: list[tuple[float, str, ForwardRequest]] = []
        #: When its processes ended, and by which request; None by something else.
        self.crashes: list[tuple[float, ForwardRequest | None]] = []
        self._life = _Life(1)
        self._back_at = 0.0

    @property
    def target(self) -> str:
        """Id of the current process."""
        return f"{self._name}-{self._life.number}"

    @property
    def is_running(self) -> bool:
        """Whether it accepts connections."""
        return read_monotonic() >= self._back_at

    def connect(self) -> _Life | None:
        """Return the process that accepts a connection; None if there is none."""
        return self._life if self.is_running else None

    async def break_connections(self) -> None:
        """Break off all answers, and go on running."""
        life, self._life = self._life, _Life(self._life.number)
        await life.ended.set()

    async def end(self, cause: ForwardRequest | None, down_s: float = DOWN_S) -> None:
        """End the process; all its connections close."""
        now = read_monotonic()
        self.crashes.append((now, cause))
        self._back_at = now + down_s
        life, self._life = self._life, _Life(self._life.number + 1)
        await life.ended.set()


async def work(life: _Life, seconds: float) -> None:
    """Wait while a process works.

    :raises ConnectionClosedError: if the process ends meanwhile.
    """
    try:
        await curio.timeout_after(seconds, life.ended.wait)
    except curio.TaskTimeout:
        return
    raise ConnectionClosedError("closed in the middle of the answer")


def find_crash(
    targets: list[CrashingTarget],
    number: int,
    is_counted: Callable[[ForwardRequest], bool],
) -> float:
    """Find when the requests of a kind ended their nth target; infinite if never.

    :param targets: the targets.
    :param number: which end, counted from 1.
    :param is_counted: whether a request is of the kind.
    """
    ends = sorted(
        at
        for target in targets
        for at, cause in target.crashes
        if cause is not None and is_counted(cause)
    )
    return ends[number - 1] if len(ends) >= number else math.inf

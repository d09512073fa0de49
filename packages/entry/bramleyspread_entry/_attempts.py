"""Attempts: each runs one stage of one request on one target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bramleyspread_core import Address, AttemptId, RequestId, TargetName


class AttemptKind(str, Enum):
    """Why an attempt was made."""

    #: First attempt at the stage.
    FIRST = "first"
    #: An earlier attempt was not run or has an unknown outcome.
    RETRY = "retry"
    #: An earlier attempt is late and still in flight.
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class Attempt:
    """A dispatched attempt."""

    id: AttemptId
    request: RequestId
    #: Position of the stage in the pipeline, from 0.
    position: int
    #: Name of the stage.
    stage: str
    kind: AttemptKind
    target: TargetName
    #: Which start of the target it was sent to.
    incarnation: int
    #: Address at which the target receives cancellations.
    address: Address
    #: When the attempt was dispatched, in monotonic seconds.
    sent_at: float
    #: Whether the attempt had to open a new connection.
    fresh_connection: bool
    #: Version of the model at the target; empty for stages without a model.
    model_version: str = ""


class AttemptTable:
    """All attempts in flight, by id."""

    __slots__ = ("_live",)

    def __init__(self) -> None:
        self._live: dict[AttemptId, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Add a new attempt.

        :param attempt: the attempt; its id has never been used.
        """
        self._live[attempt.id] = attempt

    def find(self, attempt: AttemptId) -> Attempt | None:
        """Find an attempt in flight.

        :param attempt: its id.
        :returns: the attempt, or None when it has ended.
        """
        return self._live.get(attempt)

    def end(self, attempt: AttemptId) -> None:
        """Remove an attempt; tokens and outcomes that still arrive for it are late.

        :param attempt: its id.
        """
        self._live.pop(attempt, None)

    def __len__(self) -> int:
        return len(self._live)

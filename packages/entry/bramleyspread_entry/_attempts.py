"""Attempts: each one try of one stage of one request at one target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bramleyspread_core import Address, AttemptId, RequestId, TargetName


class AttemptKind(str, Enum):
    """Why an attempt was made."""

    #: The stage's first.
    FIRST = "first"
    #: After an earlier one was not run or has an unknown outcome.
    RETRY = "retry"
    #: Beside a late one.
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that was dispatched."""

    #: Its id.
    id: AttemptId
    #: The request that it works for.
    request: RequestId
    #: The stage's position in the pipeline, from 0.
    position: int
    #: The stage's name.
    stage: str
    #: Why it was made.
    kind: AttemptKind
    #: The target.
    target: TargetName
    #: Where the target takes cancels.
    address: Address
    #: When it was dispatched, in monotonic seconds.
    sent_at: float
    #: Whether it was told to open a new connection.
    fresh_connection: bool


class AttemptTable:
    """All attempts that have not ended."""

    __slots__ = ("_live",)

    def __init__(self) -> None:
        self._live: dict[AttemptId, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Take a new attempt.

        :param attempt: the attempt; its id has never been used.
        """
        self._live[attempt.id] = attempt

    def find(self, attempt: AttemptId) -> Attempt | None:
        """Find a live attempt.

        :param attempt: its id.
        :returns: the attempt, or None when it is over.
        """
        return self._live.get(attempt)

    def end(self, attempt: AttemptId) -> None:
        """Forget an attempt; whatever still comes for it is late.

        :param attempt: its id.
        """
        self._live.pop(attempt, None)

    def __len__(self) -> int:
        return len(self._live)

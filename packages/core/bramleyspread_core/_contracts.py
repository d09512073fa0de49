"""Contracts: invariants that are checked at run time, also in production."""

from __future__ import annotations

from collections.abc import Callable

import msgspec


class Breach(msgspec.Struct, frozen=True):
    """One observed violation of a contract."""

    #: Name of the contract.
    contract: str
    #: The request, target or service for which the contract was violated.
    subject: str
    #: Description of the violation.
    detail: str


class Contract(msgspec.Struct, frozen=True):
    """An invariant with a name that is short enough for a metric label."""

    #: Short name, such as ``answered-once``.
    name: str
    #: The invariant in one sentence.
    guarantee: str


class BreachError(AssertionError):
    """Raised on a breach by a strict :class:`ContractWatch`, as tests use it."""


class ContractWatch:
    """Checks contracts; counts breaches, and raises on them if strict.

    >>> watch = ContractWatch()
    >>> watch.check(ANSWERED_ONCE, 1 == 1, "r-1", "two answers")
    >>> watch.check(ANSWERED_ONCE, 1 == 2, "r-1", "two answers")
    >>> watch.breaches[0].contract
    'answered-once'
    """

    __slots__ = ("_on_breach", "_strict", "breaches", "count")

    def __init__(
        self,
        strict: bool = False,
        on_breach: Callable[[Breach], None] | None = None,
    ) -> None:
        self._strict = strict
        self._on_breach = on_breach
        #: The newest breaches, at most :data:`MAX_KEPT_BREACHES`.
        self.breaches: list[Breach] = []
        #: Number of breaches since the start.
        self.count = 0

    def check(self, contract: Contract, holds: bool, subject: str, detail: str) -> None:
        """Record a breach unless the contract holds.

        :param contract: the contract.
        :param holds: whether the contract holds.
        :param subject: the request, target or service that was checked.
        :param detail: description of the violation.
        :raises BreachError: if the contract does not hold and the watch is strict.
        """
        if holds:
            return
        breach = Breach(contract.name, subject, detail)
        self.count += 1
        self.breaches.append(breach)
        del self.breaches[:-MAX_KEPT_BREACHES]
        if self._on_breach is not None:
            self._on_breach(breach)
        if self._strict:
            raise BreachError(f"{contract.name}: {subject}: {detail}")


#: Maximum number of breaches that are kept for reports.
MAX_KEPT_BREACHES = 100

ANSWERED_ONCE = Contract(
    "answered-once",
    "A result is never lost, doubled or handed to another request.",
)
ANSWERED_WHOLE = Contract(
    "answered-whole",
    "A caller receives the whole answer to its own request.",
)
REFUSED_NOT_RUN = Contract(
    "refused-not-run",
    "A request refused as not run was not run.",
)
RUN_AT_MOST_ONCE = Contract(
    "run-at-most-once",
    "A non-idempotent stage runs at most once for a request or key.",
)
LEAVING_LEFT_ALONE = Contract(
    "leaving-left-alone",
    "A leaving target gets no new work after a few seconds.",
)
STOP_CUTS_NOTHING = Contract(
    "stop-cuts-nothing",
    "A planned stop cuts off no request in flight.",
)
NEVER_REVERTS = Contract(
    "never-reverts",
    "An accepted document is in force within seconds and never reverts.",
)
#: All contracts, in the order in which the project's brief states them.
CONTRACTS = (
    ANSWERED_ONCE,
    ANSWERED_WHOLE,
    REFUSED_NOT_RUN,
    RUN_AT_MOST_ONCE,
    LEAVING_LEFT_ALONE,
    STOP_CUTS_NOTHING,
    NEVER_REVERTS,
)

"""Contracts: what must always hold, checked inside the running program."""

from __future__ import annotations

from collections.abc import Callable

import msgspec


class Breach(msgspec.Struct, frozen=True):
    """A contract that did not hold."""

    #: The contract's name.
    contract: str
    #: The request, target or service concerned.
    subject: str
    #: What was seen.
    detail: str


class Contract(msgspec.Struct, frozen=True):
    """One point that must always hold, by a name that metrics can carry."""

    #: A short name, such as ``answered-once``.
    name: str
    #: The point in one sentence.
    promise: str


class BreachError(AssertionError):
    """Raised for a breach where the program runs under test."""


class ContractWatch:
    """Where breaches are reported: counted always, raised under test.

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
        #: The newest breaches, at most :data:`KEPT_BREACHES`.
        self.breaches: list[Breach] = []
        #: Breaches so far.
        self.count = 0

    def check(self, contract: Contract, holds: bool, subject: str, detail: str) -> None:
        """Report a breach unless the contract holds.

        :param contract: the contract.
        :param holds: whether it holds.
        :param subject: the request, target or service concerned.
        :param detail: what was seen.
        :raises BreachError: for a breach, when strict.
        """
        if holds:
            return
        breach = Breach(contract.name, subject, detail)
        self.count += 1
        self.breaches.append(breach)
        del self.breaches[:-KEPT_BREACHES]
        if self._on_breach is not None:
            self._on_breach(breach)
        if self._strict:
            raise BreachError(f"{contract.name}: {subject}: {detail}")


#: Breaches kept for reports.
KEPT_BREACHES = 100

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
#: All contracts, in the order of the brief.
CONTRACTS = (
    ANSWERED_ONCE,
    ANSWERED_WHOLE,
    REFUSED_NOT_RUN,
    RUN_AT_MOST_ONCE,
    LEAVING_LEFT_ALONE,
    STOP_CUTS_NOTHING,
    NEVER_REVERTS,
)

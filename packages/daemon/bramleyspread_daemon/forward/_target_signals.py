"""Records and logs what targets say about themselves in their responses."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random

import curio
from loguru import logger

from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._drain_reports import DrainReports
from bramleyspread_forwarding import (
    LEAVING,
    SUSPENDED,
    ControlContact,
    ForwardTarget,
    ResponseSignals,
    SendPermit,
    SharedSignal,
    SignalChange,
    SignalTable,
    TargetAccess,
    TargetTable,
)

#: Interval between two log lines about unreadable signals of a target, in seconds.
UNREADABLE_LOG_INTERVAL_S = 10.0
#: Interval at which it is checked whether a host that was suspended has heard of the
#: present, in seconds.
NEWS_POLL_INTERVAL_S = 0.01
#: Number of targets for which the time of the last such line is kept.
MAX_LOGGED_TARGETS = 1_000


class TargetSignals:
    """What targets have said about themselves, to this host or to others.

    :param targets: the known targets; those that leave are removed.
    :param rng: spreads the hosts' returns to targets over time.
    """

    def __init__(self, targets: TargetTable, rng: Random) -> None:
        #: The known targets.
        self.targets = targets
        #: What each target has said.
        self.table = SignalTable(rng)
        #: Paces the requests to targets that name a rate limit.
        self.access = TargetAccess(self.table)
        #: Number of unreadable signals, by name.
        self.unreadable_counts: Counter[str] = Counter()
        #: Number of callers' requests that waited for a rate limit, or were refused
        #: because of what all targets had said.
        self.held_back_counts: Counter[str] = Counter()
        #: Whether this host knows the present again after it was suspended.
        self.contact = ControlContact()
        #: Reports what is kept from drained zones.
        self.drains = DrainReports(targets)
        #: Number of requests and calls that were not sent to their target, by reason.
        self.withdrawal_counts: Counter[str] = Counter()
        self._unreadable_logged_at: dict[str, float] = {}

    def record(
        self, target: ForwardTarget, signals: ResponseSignals, sent_at: float
    ) -> None:
        """Record what the head of a response says, which was read just now.

        :param target: the target that sent it.
        :param signals: what it says.
        :param sent_at: when its request was sent, in monotonic seconds.
        """
        now = read_monotonic()
        changes = self.table.record(target, signals, sent_at, now)
        self._follow(target.target, target.born, changes, "-")
        if signals.unreadable:
            self._log_unreadable(target, signals.unreadable, now)

    def apply(self, news: Iterable[SharedSignal], source: str) -> None:
        """Record what another host was told by targets.

        :param news: what it tells.
        :param source: name of the host.
        """
        now = read_monotonic()
        for each in news:
            changes = self.table.apply(each, now)
            self._follow(each.target, each.born, changes, source)

    def list_paused(self, targets: Sequence[ForwardTarget]) -> dict[str, float]:
        """Return which targets want no requests from this host, and for how long.

        :param targets: the targets to look at.
        :returns: the time left by target, in seconds.
        """
        now = read_monotonic()
        pauses = {each.target: self.table.find_pause_s(each, now) for each in targets}
        return {target: pause_s for target, pause_s in pauses.items() if pause_s}

    def are_restricted(self, targets: Sequence[ForwardTarget]) -> bool:
        """Whether each target restricts its requests, or wants none from this host."""
        if self.table.is_empty or not targets:
            return False
        now = read_monotonic()
        return all(
            self.table.is_restricted(each) or self.table.find_pause_s(each, now)
            for each in targets
        )

    def accepts_requests(self, target: ForwardTarget) -> bool:
        """Whether a target neither leaves nor wants a pause from this host."""
        if self.table.is_leaving(target):
            return False
        return not self.table.find_pause_s(target, read_monotonic())

    def find_withdrawal(self, permit: SendPermit) -> str:
        """Find why a request may not be sent any more; empty if it may.

        Called directly before the request is sent, without a wait in between.

        :param permit: its permission.
        """
        now = read_monotonic()
        why = permit.find_withdrawal(self.targets.drains, now)
        if not why and self.contact.find_wait_s(now):
            why = SUSPENDED
        if why:
            self.withdrawal_counts[why] += 1
        return why

    async def wait_for_news(self) -> None:
        """Wait until a host that was suspended knows the present again."""
        while self.contact.find_wait_s(read_monotonic()):
            await curio.sleep(NEWS_POLL_INTERVAL_S)

    def _follow(
        self, target: str, born: int, changes: Sequence[SignalChange], source: str
    ) -> None:
        for change in changes:
            _log_change(target, change, source)
            if change.signal == LEAVING:
                self.targets.record_departure(target, born, read_monotonic())

    def _log_unreadable(
        self, target: ForwardTarget, names: tuple[str, ...], now: float
    ) -> None:
        self.unreadable_counts.update(names)
        logged_at = self._unreadable_logged_at.get(target.target, -math.inf)
        if now - logged_at >= UNREADABLE_LOG_INTERVAL_S:
            if len(self._unreadable_logged_at) >= MAX_LOGGED_TARGETS:
                self._unreadable_logged_at.clear()
            self._unreadable_logged_at[target.target] = now
            logger.bind(step="signal", peer=target.target).warning(
                f"unreadable: {', '.join(names)}"
            )


def _log_change(target: str, change: SignalChange, source: str) -> None:
    logger.bind(
        step="signal",
        peer=target,
        signal=change.signal,
        value=change.value if change.value != math.inf else None,
        source=source,
    ).info("said")

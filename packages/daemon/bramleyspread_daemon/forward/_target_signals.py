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
    WARM_UP,
    ForwardTarget,
    ResponseSignals,
    SendPermit,
    SharedSignal,
    SignalChange,
    SignalTable,
    SuspensionWatch,
    TargetAccess,
    TargetChange,
    TargetTable,
    WarmUps,
    WarmUpShares,
)

#: Interval between two log lines about unreadable signals of a target, in seconds.
UNREADABLE_LOG_INTERVAL_S = 10.0
#: Interval at which it is checked whether a host that was suspended has received a
#: current page, in seconds.
PAGE_POLL_INTERVAL_S = 0.01
#: Number of targets for which the time of the last such line is kept.
MAX_LOGGED_TARGETS = 1_000


class TargetSignals:
    """What targets have said about themselves, to this host or to others.

    :param targets: the known targets; those that leave are removed.
    :param rng: spreads the hosts' returns to targets over time.
    :param warm_ups: which targets are warming up; None if warm-ups limit nothing.
    :param warm_up_shares: which share of a warming target's rate this host may use;
        None for the shares of limits that targets name.
    """

    def __init__(
        self,
        targets: TargetTable,
        rng: Random,
        warm_ups: WarmUps | None = None,
        warm_up_shares: WarmUpShares | None = None,
    ) -> None:
        #: The known targets.
        self.targets = targets
        #: What each target has said.
        self.table = SignalTable(rng, warm_ups)
        #: Paces the requests to targets that name a rate limit, or are warming up.
        self.access = TargetAccess(self.table, warm_up_shares)
        #: Number of unreadable signals, by name.
        self.unreadable_counts: Counter[str] = Counter()
        #: Number of callers' requests that waited for a rate limit, or were refused
        #: because of what all targets had said.
        self.held_back_counts: Counter[str] = Counter()
        #: Number of those that did so while targets of their service were warming up.
        self.warm_up_counts: Counter[str] = Counter()
        #: Whether this host has a current page again after it was suspended.
        self.suspensions = SuspensionWatch()
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

    def apply_heartbeats(
        self, changes: Iterable[TargetChange], source: str, now: float
    ) -> None:
        """Record the warm-ups that a page of a control host tells.

        :param changes: the targets that changed.
        :param source: address of the control host.
        :param now: the current time, in monotonic seconds.
        """
        for each in changes:
            notice = each.notice
            found = self.table.record_heartbeat(notice, now)
            self._follow(notice.target, notice.born, found, source)

    def record_crash(self, target: str, born: int, now: float) -> None:
        """Record that a target's process has crashed, so that its next one warms up.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        :param now: the current time, in monotonic seconds.
        """
        self._follow(target, born, self.table.record_crash(target, born, now), "crash")

    def tick(self) -> None:
        """End the warm-ups whose time is over; call this several times a second."""
        for each in self.table.warm_ups.pop_ended(read_monotonic()):
            logger.bind(
                step="warm-up", peer=each.target, ms=round(each.lasted_s * 1000)
            ).info("ended")

    def count_held_back(self, targets: Sequence[ForwardTarget], outcome: str) -> None:
        """Count a request that waits or is refused, if a target is warming up.

        :param targets: the targets that it was held back from.
        :param outcome: what became of the request.
        """
        warm_ups = self.table.warm_ups
        if not warm_ups.is_empty and any(
            warm_ups.find_rate(each) < math.inf for each in targets
        ):
            self.warm_up_counts[outcome] += 1

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
        if not why and self.suspensions.find_wait_s(now):
            why = SUSPENDED
        if why:
            self.withdrawal_counts[why] += 1
        return why

    async def wait_after_suspension(self) -> None:
        """Wait until a host that was suspended has a current page again."""
        while self.suspensions.find_wait_s(read_monotonic()):
            await curio.sleep(PAGE_POLL_INTERVAL_S)

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
    if change.warm_up is not None:
        logger.bind(
            step=WARM_UP,
            peer=target,
            left_ms=round(change.value * 1000),
            source=source,
        ).info(change.warm_up.value)
        return
    logger.bind(
        step="signal",
        peer=target,
        signal=change.signal,
        value=change.value if change.value != math.inf else None,
        source=source,
    ).info("said")

"""When targets may get their next request, by what they said about themselves."""

from __future__ import annotations

import math
from collections.abc import Sequence

from bramleyspread_forwarding._signal_table import SignalTable
from bramleyspread_forwarding._targets import ForwardTarget
from bramleyspread_forwarding._warm_up_shares import WarmUpShares

#: Time within which a host catches up on requests that it could have sent to a limited
#: target, in seconds; it checks for waiting work at intervals.
CATCH_UP_S = 0.2
#: Maximum wait before the first request after a host has begun to count, in seconds.
MAX_FIRST_WAIT_S = 4.0


class TargetAccess:
    """Paces the requests that this host sends, or lets others send, to each target.

    A rate limit holds for all hosts together, so each caller passes the share of the
    rate that this host may use. The requests of a limited target are spaced evenly.

    :param signals: what the targets have said.
    :param warm_up_shares: how a share of a named limit is used for a warm-up.
    """

    def __init__(
        self, signals: SignalTable, warm_up_shares: WarmUpShares | None = None
    ) -> None:
        self._warm_up_shares = warm_up_shares or WarmUpShares()
        #: What the targets have said.
        self.signals = signals
        # By target, when its latest request was or will be sent, in seconds, before
        # the interval to the next one.
        self._latest_at: dict[str, float] = {}

    def restart(self) -> None:
        """Forget what was sent, after a time in which others may have sent as well.

        The first request to each limited target then waits for a whole interval.
        """
        self._latest_at.clear()

    def find_wait_s(self, target: ForwardTarget, share: float, now: float) -> float:
        """Find how long the next request to a target must wait for its rate limit.

        :param target: the target.
        :param share: this host's share of the target's rate.
        :param now: the current time, in seconds.
        :returns: the time in seconds; infinite if this host may send nothing.
        """
        rate = self.find_rate(target, share, now)
        if rate == math.inf:
            self._latest_at.pop(target.target, None)
            return 0.0
        if not rate:
            return math.inf
        return max(self._find_next_at(target, rate, now) - now, 0.0)

    def find_rate(self, target: ForwardTarget, share: float, now: float) -> float:
        """Find the rate at which this host may use a target.

        :param target: the target.
        :param share: this host's share of the rate limit that the target names.
        :param now: the current time, in seconds.
        :returns: requests a second; infinite if nothing limits them.
        """
        named_rate = self.signals.find_named_limit(target)
        rate = named_rate * share if named_rate < math.inf else math.inf
        warm_up_rate = self.signals.warm_ups.find_rate(target)
        if warm_up_rate == math.inf:
            return rate
        return min(rate, warm_up_rate * self._warm_up_shares.convert(share, now))

    def _find_next_at(self, target: ForwardTarget, rate: float, now: float) -> float:
        interval_s = 1 / rate
        latest_at = self._latest_at.get(target.target)
        if latest_at is None:
            latest_at = now + min(interval_s, MAX_FIRST_WAIT_S) - interval_s
            self._latest_at[target.target] = latest_at
        return latest_at + interval_s

    def acquire(self, target: ForwardTarget, share: float, now: float) -> float:
        """Take the next request's place at a target.

        :param target: the target.
        :param share: this host's share of the target's rate, above 0 if it is limited.
        :param now: the current time, in seconds.
        :returns: how long the request must wait, in seconds.
        """
        rate = self.find_rate(target, share, now)
        if rate == math.inf:
            return 0.0
        if not rate:
            return math.inf
        catch_up_s = self._find_catch_up_s(target)
        sent_at = max(self._find_next_at(target, rate, now), now - catch_up_s)
        self._latest_at[target.target] = sent_at
        return max(sent_at - now, 0.0)

    def _find_catch_up_s(self, target: ForwardTarget) -> float:
        warm_up_rate = self.signals.warm_ups.find_rate(target)
        if warm_up_rate == math.inf:
            return CATCH_UP_S
        return min(self._warm_up_shares.find_catch_up_s(warm_up_rate), CATCH_UP_S)

    def is_ready(self, target: ForwardTarget, share: float, now: float) -> bool:
        """Whether this host itself may send a request to a target now."""
        if self.signals.is_empty:
            return True
        if self.signals.find_pause_s(target, now):
            return False
        return self.find_wait_s(target, share, now) <= 0

    def are_any_brittle(self, targets: Sequence[ForwardTarget]) -> bool:
        """Whether any target ends if it has to reject too many requests."""
        if self.signals.is_empty:
            return False
        return any(map(self.signals.is_brittle, targets))

    def count_capacity(
        self, targets: Sequence[ForwardTarget], share: float, call_s: float, now: float
    ) -> float:
        """Count targets by the share of their time for which this host may use them.

        :param targets: the targets.
        :param share: this host's share of their rates.
        :param call_s: how long a call takes, in seconds.
        :param now: the current time, in seconds.
        """
        if self.signals.is_empty:
            return len(targets)
        return sum(self._find_use(each, share, call_s, now) for each in targets)

    def _find_use(
        self, target: ForwardTarget, share: float, call_s: float, now: float
    ) -> float:
        if self.signals.find_pause_s(target, now) > call_s:
            return 0.0
        rate = self.find_rate(target, share, now)
        return min(rate * call_s, 1.0) if rate < math.inf else 1.0

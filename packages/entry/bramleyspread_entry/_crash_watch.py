"""Finds out under which requests targets crash, and which are kept from them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from bramleyspread_containment import (
    Crash,
    CrashTable,
    Quarantine,
    identify_part,
    identify_request,
)
from bramleyspread_core import PoolName, TargetName, TargetView
from bramleyspread_entry._pipeline import PipelineRun

#: Time after which a target that lost an attempt is no longer expected back, in
#: seconds.
RETURN_TIMEOUT_S = 60.0
#: Maximum number of lost attempts that are kept for a pool.
MAX_LOST_ATTEMPTS = 1_000


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection was closed before its answer was complete."""

    target: TargetName
    #: Which start of the target it was sent to.
    incarnation: int
    #: Identities of what in the request may have crashed the target.
    features: frozenset[str]
    #: The organisation that sent the request.
    organisation: str
    #: When the connection was closed, in monotonic seconds.
    ended_at: float


class CrashWatch:
    """Crashes of targets by the requests under which they happened, on one host.

    A target has crashed under an attempt if it lost the attempt and then comes back as
    a later incarnation. Targets that are only cut off, or lose an answer, do not.
    """

    __slots__ = ("_lost_attempts", "table")

    def __init__(self) -> None:
        self._lost_attempts: dict[PoolName, list[LostAttempt]] = {}
        #: The crashes.
        self.table = CrashTable()

    def record_lost(
        self,
        run: PipelineRun,
        target: TargetName,
        incarnation: int,
        prefix: str,
        now: float,
    ) -> None:
        """Record that the connection of an attempt was closed too early.

        :param run: the request, at the stage of the attempt.
        :param target: the attempt's target.
        :param incarnation: which start of the target it was sent to.
        :param prefix: the prefix key of the call; empty for none.
        :param now: monotonic seconds.
        """
        lost = self._lost_attempts.setdefault(run.pool, [])
        lost.append(
            LostAttempt(
                target,
                incarnation,
                _identify_features(run, prefix),
                run.request.brand.organisation,
                now,
            )
        )
        del lost[:-MAX_LOST_ATTEMPTS]

    def record_success(self, run: PipelineRun, prefix: str, now: float) -> None:
        """Record that a target answered an attempt at a request as a whole.

        :param run: the request, at the stage of the attempt.
        :param prefix: the prefix key of the call; empty for none.
        :param now: monotonic seconds.
        """
        if prefix:
            self.table.record_success((identify_part(prefix),), now)
        if self.table.is_empty:
            return
        identity = _identify_run(run)
        if self.table.has_crashed(identity):
            self.table.record_success((identity,), now)

    def find_quarantine(
        self, run: PipelineRun, prefix: str, views: Iterable[TargetView], now: float
    ) -> Quarantine | None:
        """Find why a request must not reach a target; None if it may.

        :param run: the request, at the stage that is to be dispatched.
        :param prefix: the prefix key of the call; empty for none.
        :param views: the usable targets of the stage's pool.
        :param now: monotonic seconds.
        """
        if self._lost_attempts.get(run.pool):
            self._confirm(run.pool, views, now)
        if self.table.is_empty:
            return None
        features = _identify_features(run, prefix)
        organisation = run.request.brand.organisation
        return self.table.find_quarantine(features, organisation, now)

    def _confirm(self, pool: PoolName, views: Iterable[TargetView], now: float) -> None:
        """Record the crashes of targets that are back."""
        incarnations = {
            each.announcement.target: each.announcement.incarnation for each in views
        }
        waiting = []
        for lost in self._lost_attempts.pop(pool):
            if incarnations.get(lost.target, 0) > lost.incarnation:
                self.table.record_crash(
                    Crash(
                        target=lost.target,
                        born=lost.incarnation,
                        holder=lost.organisation,
                        features=lost.features,
                        ended_at=lost.ended_at,
                    )
                )
            elif now - lost.ended_at < RETURN_TIMEOUT_S:
                waiting.append(lost)
        if waiting:
            self._lost_attempts[pool] = waiting
        self.table.expire(now)


def _identify_features(run: PipelineRun, prefix: str) -> frozenset[str]:
    """Identify what in a request may crash a target: itself, and its prefix."""
    identity = _identify_run(run)
    return frozenset({identity, identify_part(prefix)} if prefix else {identity})


def _identify_run(run: PipelineRun) -> str:
    """Identify a request by what its caller sent, whatever id it has."""
    request = run.request
    path = f"{request.service}/{request.pipeline}"
    return identify_request(request.brand.key, path, bytes(request.input))

"""Decides by the crashes of targets which requests must not reach further ones."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from itertools import pairwise

import msgspec

from bramleyspread_containment._crashes import Crash, CrashId
from bramleyspread_containment._features import is_request

#: Number of targets that must crash, one after another, under requests with a feature
#: that no target has ever answered, before it is quarantined; more if it can't be the
#: cause of other crashes in the same time, which may as well be that of these.
NEEDED_CRASHES = 3
#: Time within which crashes of several targets have one reason, in seconds.
SAME_MOMENT_S = 0.05
#: Time before the last crash in which other crashes speak against a feature at least,
#: in seconds.
COMPARED_S = 30.0
#: Largest such number, and that for a feature with which a target has answered a
#: request before.
MAX_NEEDED_CRASHES = 6
#: Time after the last crash in which no request with a quarantined feature is sent, in
#: seconds. After it one that comes is sent; if its target crashes, the time doubles.
HOLD_S = 600.0
#: Number of times that it doubles at most.
MAX_RENEWALS = 8
#: The same for a feature with which a target has answered a request before: rather
#: something else changed that will be mended. It never doubles.
HOLD_AFTER_SUCCESS_S = 30.0
#: Longest such time, in seconds.
MAX_HOLD_S = 86_400.0


class Quarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A feature under which targets crash, and the requests that are refused for it."""

    #: Identity of the feature.
    feature: str
    #: Features that all requests had under which targets crashed, the feature included.
    #: Only requests with all of them are refused, so that one with some of them can
    #: show that these aren't the cause.
    features: frozenset[str]
    #: The organisation whose requests are refused; None for all. Nobody can have a
    #: part of another organisation refused by the requests of their own.
    holder: str | None
    #: Ids of the targets that crashed, oldest first.
    targets: tuple[str, ...]
    #: Until when such requests are refused, in seconds.
    until: float
    #: The crashes under requests with the feature.
    crashes: frozenset[CrashId]

    def covers(self, features: frozenset[str], holder: str, now: float) -> bool:
        """Whether a request is refused.

        :param features: identities of the request's features.
        :param holder: the organisation that sent it; empty for none.
        :param now: the current time, in seconds.
        """
        return (
            now < self.until
            and self.holder in (None, holder)
            and self.features <= features
        )


def judge(
    feature: str,
    crashes: Iterable[Crash],
    succeeded_at: float | None,
    has_succeeded: Callable[[str], bool],
    count_crashes: Callable[[float, float], int],
) -> Quarantine | None:
    """Decide whether requests with a feature must not reach targets.

    :param feature: identity of the feature.
    :param crashes: the known crashes under requests with it.
    :param succeeded_at: when a target last answered a request with it, in seconds;
        None if none is known to have done so.
    :param has_succeeded: whether a target has ever answered a request with a feature.
    :param count_crashes: counts all crashes from one time to another one that no other
        quarantine explains.
    :returns: the quarantine; None if the evidence doesn't suffice.
    """
    held = sorted(
        (x for x in crashes if succeeded_at is None or x.ended_at > succeeded_at),
        key=lambda each: each.ended_at,
    )
    number = count_trials(held, 0.0 if is_request(feature) else SAME_MOMENT_S)
    if number < NEEDED_CRASHES:
        return None
    needed = MAX_NEEDED_CRASHES
    if succeeded_at is None:
        own = len({each.crash_id for each in held})
        last_at = held[-1].ended_at
        since = min(held[0].ended_at, last_at - COMPARED_S)
        all_crashes = count_crashes(since, last_at)
        needed = min(NEEDED_CRASHES + math.ceil(all_crashes / own) - 1, needed)
    if number < needed:
        return None
    hold_s = _find_hold_s(held) if succeeded_at is None else HOLD_AFTER_SUCCESS_S
    holders = {each.holder for each in held}
    return Quarantine(
        feature=feature,
        features=_find_common_features(feature, held, has_succeeded),
        holder=holders.pop() if len(holders) == 1 else None,
        crashes=frozenset(each.crash_id for each in held),
        targets=tuple(dict.fromkeys(each.target for each in held)),
        until=held[-1].ended_at + hold_s,
    )


def _find_hold_s(crashes: Sequence[Crash]) -> float:
    """Find how long requests with a feature are refused after its last crash.

    Only crashes that came after an earlier quarantine was over prolong it, not the
    number of targets that crashed before it was known.

    :param crashes: the crashes under requests with the feature, sorted by time.
    :returns: the time, in seconds.
    """
    ends = [each.ended_at for each in crashes]
    renewals = sum(later - at >= HOLD_S for at, later in pairwise(ends))
    return min(HOLD_S * 2.0 ** min(renewals, MAX_RENEWALS), MAX_HOLD_S)


def count_trials(crashes: Sequence[Crash], same_moment_s: float = SAME_MOMENT_S) -> int:
    """Count the crashes that say something independently of each other.

    Targets that crash at the same moment, as in a zone that loses power, do so for one
    reason. That one request is at several of them then is no chance, though.

    :param crashes: the crashes, sorted by when they happened.
    :param same_moment_s: within what time crashes have one reason, in seconds; 0 if
        each target counts.

    >>> def make_crash(number, ended_at):
    ...     return Crash(
    ...         target=f"t{number}",
    ...         born=0,
    ...         holder="",
    ...         features=frozenset(),
    ...         ended_at=ended_at,
    ...     )
    >>> together = [make_crash(at, 2.0 + at / 1000) for at in range(9)]
    >>> count_trials(together)
    1
    >>> count_trials([*together, make_crash(10, 2.4)])
    2
    """
    first_by_crash: dict[CrashId, float] = {}
    for crash in crashes:
        first_by_crash.setdefault(crash.crash_id, crash.ended_at)
    number, counted_at = 0, float("-inf")
    for ended_at in first_by_crash.values():
        if ended_at >= counted_at + same_moment_s:
            number, counted_at = number + 1, ended_at
    return number


def _find_common_features(
    feature: str, crashes: Iterable[Crash], has_succeeded: Callable[[str], bool]
) -> frozenset[str]:
    """Find the features that were there at each crash, and may each be the cause.

    Of several requests at one crash it isn't known which was the cause, so all that
    contain the feature count as one.
    """
    by_crash: dict[CrashId, set[str]] = {}
    for crash in crashes:
        by_crash.setdefault(crash.crash_id, set()).update(crash.features)
    common = set.intersection(*by_crash.values())
    return frozenset({feature, *(x for x in common if not has_succeeded(x))})

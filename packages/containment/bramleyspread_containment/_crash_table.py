"""What is known on one host about the requests under which targets crash."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from bramleyspread_containment._crash_news import (
    CrashNews,
    SharedCrash,
    SharedSuccess,
)
from bramleyspread_containment._crashes import Crash, CrashId
from bramleyspread_containment._quarantine import (
    MAX_HOLD_S,
    NEEDED_CRASHES,
    Quarantine,
    judge,
)

#: Maximum number of crashes kept; of those without a quarantine the oldest go first.
MAX_CRASHES = 1_000
#: Maximum number of features of one request that are kept; those that targets have
#: answered before are left out first.
MAX_FEATURES = 32
#: Number of features of which it is kept that targets have answered them; those
#: answered least recently are dropped.
MAX_SUCCESSES = 4_096
#: Number of crashes and successes that one message tells about, but for those that
#: changed together with the last one.
MAX_NEWS = 50
#: Time that a message between hosts may take, in seconds. A success that another host
#: saw counts as that much older, so that it never seems to come after a later crash.
MAX_TRANSIT_S = 0.25
#: Time after which a crash that led to no quarantine is forgotten, in seconds.
RETENTION_S = 600.0
#: Interval at which a table is to be searched for such crashes, in seconds.
EXPIRY_INTERVAL_S = 10.0

#: A crash under a request with these features.
_CrashKey = tuple[CrashId, frozenset[str]]


class CrashTable:
    """Crashes of targets by the features of the requests under which they happened.

    Tables of several hosts that tell each other everything come to hold the same
    crashes, in whichever order they hear of them. When a quarantine begins may differ
    by one crash, since only features whose crashes change are judged anew.
    """

    def __init__(self) -> None:
        # Both with the revision of their last change.
        self._crashes: dict[_CrashKey, tuple[int, Crash]] = {}
        self._success_revisions: dict[str, int] = {}
        self._succeeded_at: dict[str, float] = {}
        self._by_feature: dict[str, dict[_CrashKey, Crash]] = {}
        self._by_crash: dict[CrashId, dict[_CrashKey, Crash]] = {}
        self._quarantines: dict[str, Quarantine] = {}
        # Revisions of the changes that another host told of.
        self._heard_revisions: set[int] = set()
        #: Number of changes so far.
        self.revision = 0

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._crashes

    def has_crashed(self, feature: str) -> bool:
        """Whether a crash is known under a request with a feature."""
        return feature in self._by_feature

    def find_crash_time(self, crash_id: CrashId) -> float | None:
        """Find when a target crashed, in seconds; None if that isn't known."""
        crashes = self._by_crash.get(crash_id)
        if crashes is None:
            return None
        return min(each.ended_at for each in crashes.values())

    def have_succeeded(self, features: Iterable[str]) -> bool:
        """Whether targets have answered requests with each of some features."""
        return all(each in self._succeeded_at for each in features)

    def record_crash(self, crash: Crash) -> list[Quarantine]:
        """Record that a target crashed while it was at work on a request.

        :param crash: the crash.
        :returns: the quarantines that it began.
        """
        return self._record_crash(crash, is_heard=False)

    def _record_crash(self, crash: Crash, *, is_heard: bool) -> list[Quarantine]:
        features = self._select_features(crash.features)
        key = (crash.crash_id, features)
        if not features or key in self._crashes:
            return []
        self.revision += 1
        if features != crash.features:
            crash = Crash(
                target=crash.target,
                born=crash.born,
                holder=crash.holder,
                features=features,
                ended_at=crash.ended_at,
            )
        if is_heard:
            self._heard_revisions.add(self.revision)
        self._crashes[key] = (self.revision, crash)
        self._by_crash.setdefault(crash.crash_id, {})[key] = crash
        for feature in features:
            self._by_feature.setdefault(feature, {})[key] = crash
        self._share_successes(features)
        begun = self._judge(features)
        self._drop_oldest()
        return begun

    def _share_successes(self, features: Iterable[str]) -> None:
        """Let other hosts know of successes of features under which targets crash."""
        for feature in features:
            if feature in self._succeeded_at and feature not in self._success_revisions:
                self.revision += 1
                self._success_revisions[feature] = self.revision

    def _select_features(self, features: frozenset[str]) -> frozenset[str]:
        if len(features) <= MAX_FEATURES:
            return features
        ranked = sorted(features, key=lambda each: (each in self._succeeded_at, each))
        return frozenset(ranked[:MAX_FEATURES])

    def record_success(self, features: Iterable[str], now: float) -> None:
        """Record that a target answered a request as a whole.

        :param features: identities of the request's features.
        :param now: the current time, in seconds.
        """
        for feature in features:
            self._record_success(feature, now)

    def _record_success(self, feature: str, succeeded_at: float) -> bool:
        """Record a success, and return whether that changes what others should know."""
        known_at = self._succeeded_at.pop(feature, None)
        if known_at is not None and known_at >= succeeded_at:
            self._succeeded_at[feature] = known_at
            return False
        self._succeeded_at[feature] = succeeded_at
        if len(self._succeeded_at) > MAX_SUCCESSES:
            oldest = next(iter(self._succeeded_at))
            del self._succeeded_at[oldest]
            self._success_revisions.pop(oldest, None)
        crashes = self._by_feature.get(feature)
        if not crashes:
            return False
        if known_at is not None and not any(
            known_at < each.ended_at <= succeeded_at for each in crashes.values()
        ):
            return False
        self.revision += 1
        self._success_revisions[feature] = self.revision
        if any(feature in each.features for each in self._quarantines.values()):
            self._judge(())
        return True

    def _judge(self, features: Iterable[str]) -> list[Quarantine]:
        """Decide anew about some features and the quarantines that there are.

        Crashes that a quarantine explains no longer speak for other features, so
        features are looked at again until nothing changes.

        :param features: identities of features whose crashes have changed.
        :returns: the quarantines that began.
        """
        before, self._quarantines = self._quarantines, {}
        suspects = self._list_suspects({*features, *before})
        while found := self._find_quarantines(suspects):
            self._quarantines.update(found)
            if not found.keys() <= before.keys():
                suspects = self._list_suspects(self._by_feature)
        return [x for name, x in self._quarantines.items() if name not in before]

    def _list_suspects(self, features: Iterable[str]) -> list[str]:
        """List those of some features under which enough targets crashed."""
        return sorted(
            feature
            for feature in features
            if len(self._by_feature.get(feature, ())) >= NEEDED_CRASHES
        )

    def _find_quarantines(self, suspects: Iterable[str]) -> dict[str, Quarantine]:
        """Find the quarantines that begin beside those that there are."""
        ends: list[float] | None = None

        def count_crashes(since: float, until: float) -> int:
            nonlocal ends
            if ends is None:
                ends = self._list_unexplained_ends()
            return bisect_right(ends, until) - bisect_left(ends, since)

        found = {}
        for feature in suspects:
            if feature in self._quarantines:
                continue
            quarantine = judge(
                feature,
                self._by_feature[feature].values(),
                self._succeeded_at.get(feature),
                self._succeeded_at.__contains__,
                count_crashes,
            )
            if quarantine is not None:
                found[feature] = quarantine
        return found

    def _list_unexplained_ends(self) -> list[float]:
        """List when targets crashed, but for crashes that a quarantine explains."""
        explained = set[CrashId]().union(
            *(each.crashes for each in self._quarantines.values())
        )
        return sorted(
            min(each.ended_at for each in crashes.values())
            for crash_id, crashes in self._by_crash.items()
            if crash_id not in explained
        )

    def find_quarantine(
        self, features: frozenset[str], holder: str, now: float
    ) -> Quarantine | None:
        """Find why a request must not reach a target; None if it may.

        :param features: identities of the request's features.
        :param holder: the organisation that sent it; empty for none.
        :param now: the current time, in seconds.
        """
        if not self._quarantines:
            return None
        for feature in features:
            found = self._quarantines.get(feature)
            if found is not None and found.covers(features, holder, now):
                return found
        return None

    def list_quarantines(self) -> tuple[Quarantine, ...]:
        """List all quarantines, also those that are over until a request comes."""
        return tuple(self._quarantines.values())

    def apply(self, news: CrashNews, now: float) -> list[Quarantine]:
        """Record what another host tells.

        :param news: what it tells.
        :param now: the current time, in seconds.
        :returns: the quarantines that it began.
        """
        begun = []
        for success in news.successes:
            succeeded_at = now - success.age_ms / 1000 - MAX_TRANSIT_S
            if self._record_success(success.feature, succeeded_at):
                self._heard_revisions.add(self.revision)
        for shared in news.crashes:
            if shared.ended_age_ms / 1000 < MAX_HOLD_S:
                crash = _read_shared(shared, now)
                begun += self._record_crash(crash, is_heard=True)
        return begun

    def list_news(
        self, since: int, now: float, *, with_heard: bool = True
    ) -> CrashNews:
        """List what another host may not know yet.

        :param since: the revision up to which it knows everything.
        :param now: the current time, in seconds.
        :param with_heard: whether to list what other hosts told as well.
        :returns: about ``MAX_NEWS`` crashes and successes, oldest changes first.
        """
        if since >= self.revision:
            return CrashNews(revision=self.revision)
        changes: list[tuple[int, Crash | str]] = [
            each for each in self._crashes.values() if each[0] > since
        ]
        changes += [
            (revision, feature)
            for feature, revision in self._success_revisions.items()
            if revision > since
        ]
        if not with_heard:
            changes = [x for x in changes if x[0] not in self._heard_revisions]
        changes.sort(key=lambda each: each[0])
        told = changes[:MAX_NEWS]
        # Changes of one revision are told together, since the next news begins after.
        told += [x for x in changes[MAX_NEWS:] if x[0] == told[-1][0]]
        is_all = len(told) == len(changes)
        return CrashNews(
            revision=self.revision if is_all else told[-1][0],
            crashes=tuple(_share(x, now) for _, x in told if isinstance(x, Crash)),
            successes=tuple(
                SharedSuccess(
                    feature=x, age_ms=round((now - self._succeeded_at[x]) * 1000, 1)
                )
                for _, x in told
                if isinstance(x, str)
            ),
        )

    def expire(self, now: float) -> None:
        """Forget old crashes that led to no quarantine."""
        has_dropped = False
        for key, (_, crash) in tuple(self._crashes.items()):
            age_s = now - crash.ended_at
            limit_s = MAX_HOLD_S if self._supports_quarantine(crash) else RETENTION_S
            if age_s > limit_s:
                self._drop(key)
                has_dropped = True
        if has_dropped:
            self._judge(())
            kept = {revision for revision, _ in self._crashes.values()}
            self._heard_revisions &= kept.union(self._success_revisions.values())

    def _supports_quarantine(self, crash: Crash) -> bool:
        return any(each in self._quarantines for each in crash.features)

    def _drop_oldest(self) -> None:
        while len(self._crashes) > MAX_CRASHES:
            unsupporting = (
                key
                for key, (_, crash) in self._crashes.items()
                if not self._supports_quarantine(crash)
            )
            self._drop(next(unsupporting, next(iter(self._crashes))))

    def _drop(self, key: _CrashKey) -> None:
        _, crash = self._crashes.pop(key)
        of_crash = self._by_crash[crash.crash_id]
        del of_crash[key]
        if not of_crash:
            del self._by_crash[crash.crash_id]
        for feature in crash.features:
            crashes = self._by_feature[feature]
            del crashes[key]
            if not crashes:
                del self._by_feature[feature]
                self._success_revisions.pop(feature, None)


def _share(crash: Crash, now: float) -> SharedCrash:
    return SharedCrash(
        target=crash.target,
        born=crash.born,
        holder=crash.holder,
        features=tuple(sorted(crash.features)),
        ended_age_ms=round((now - crash.ended_at) * 1000, 1),
    )


def _read_shared(shared: SharedCrash, now: float) -> Crash:
    return Crash(
        target=shared.target,
        born=shared.born,
        holder=shared.holder,
        features=frozenset(shared.features),
        ended_at=now - shared.ended_age_ms / 1000,
    )

"""Records under which requests targets crash, and refuses such requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Sequence

import curio
import msgspec
from loguru import logger

from bramleyspread_containment import (
    Crash,
    CrashNews,
    CrashTable,
    Quarantine,
    identify_part,
    identify_request,
)
from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_forwarding import (
    FeedPage,
    ForwardRequest,
    ForwardTarget,
    list_shared_parts,
)

#: Time after the first event of an answer after which its request is no longer thought
#: to crash the target, in seconds.
SUSPECT_AFTER_FIRST_EVENT_S = 2.0
#: Time in which the answers break off that one crash ends, in seconds.
COLLECTION_S = 0.02
#: Time without a page after which a control host may have missed what others would have
#: told it, in seconds.
MISSED_AFTER_S = 3.0
#: Maximum number of requests in one log line.
MAX_LOGGED_REQUESTS = 8


class RequestFeatures:
    """What in a request may crash a target: the request itself, and its prompt's parts.

    :param request: the request.
    :param holder: the organisation that sent it; empty for none.
    """

    __slots__ = ("_identity", "_request", "holder", "parts")

    def __init__(self, request: ForwardRequest, holder: str) -> None:
        self._request = request
        self._identity: str | None = None
        self.holder = holder
        #: Identities of the parts that other prompts share.
        self.parts = frozenset(map(identify_part, list_shared_parts(request.prompt)))

    @property
    def request_id(self) -> str:
        """The caller's id for the request, for the log."""
        return self._request.request_id

    @property
    def identity(self) -> str:
        """Identity of the request itself.

        Large bodies take time to read, so it is found only when it is needed.
        """
        if self._identity is None:
            path = f"{self._request.host}{self._request.path_and_query}"
            body = self._request.body
            self._identity = identify_request(self.holder, path, body)
        return self._identity

    @property
    def all(self) -> frozenset[str]:
        """Identities of all features."""
        return self.parts | {self.identity}


class EndedAnswer(msgspec.Struct, frozen=True):
    """An answer that ended, of which it isn't known yet whether a crash ended it."""

    #: What in its request may have crashed the target.
    features: RequestFeatures
    #: When the request was sent, in seconds.
    sent_at: float
    #: When the answer ended, in seconds.
    ended_at: float
    #: Whether it seems to be whole.
    is_whole: bool = False


class CrashLink:
    """What one process of a control host and this host have told each other.

    :param incarnation: id of the control host's process.
    :param synced_revision: revision of this host's table up to which it must be told
        everything, whoever saw it.
    """

    __slots__ = (
        "heard_at",
        "incarnation",
        "known_revision",
        "synced_revision",
        "told_revision",
    )

    def __init__(self, incarnation: str, synced_revision: int) -> None:
        self.incarnation = incarnation
        self.synced_revision = synced_revision
        #: Revision of this host's table up to which it was told.
        self.told_revision = 0
        #: Revision of its table up to which this host knows it.
        self.known_revision = 0
        #: When its latest page came, in seconds.
        self.heard_at = 0.0


class TargetCrashes:
    """Crashes of targets, as this host sees them or hears of them.

    :param is_refused: finds whether nothing accepts connections at an address.
    :param on_crash: called with the target, the start of its process, in milliseconds
        since 1970, and the current time, in seconds.
    """

    def __init__(
        self,
        is_refused: Callable[[Address], Awaitable[bool]],
        on_crash: Callable[[str, int, float], None],
    ) -> None:
        self._is_refused = is_refused
        self._on_crash = on_crash
        #: The crashes.
        self.table = CrashTable()
        #: Number of requests that were refused.
        self.refused = 0
        self._ended_answers: dict[ForwardTarget, list[EndedAnswer]] = {}
        self._links: dict[Address, CrashLink] = {}

    def find_quarantine(self, features: RequestFeatures) -> Quarantine | None:
        """Find why a request must not reach a target; None if it may."""
        if self.table.is_empty:
            return None
        now = read_monotonic()
        return self.table.find_quarantine(features.all, features.holder, now)

    def record_success(self, features: RequestFeatures) -> None:
        """Record that a target answered a request as a whole.

        Most requests come only once, so a success of the request itself says something
        only after a crash.
        """
        now = read_monotonic()
        self.table.record_success(features.parts, now)
        if not self.table.is_empty and self.table.has_crashed(features.identity):
            self.table.record_success((features.identity,), now)

    async def record_lost_answer(
        self,
        target: ForwardTarget,
        features: RequestFeatures,
        sent_at: float,
        first_event_at: float | None,
    ) -> None:
        """Record that an answer broke off, and find out whether the target crashed.

        :param target: the target.
        :param features: what in the request may have crashed it.
        :param sent_at: when the request was sent, in seconds.
        :param first_event_at: when the first event of the answer was read, in seconds;
            None if there was none.
        """
        now = read_monotonic()
        if (
            first_event_at is not None
            and now - first_event_at > SUSPECT_AFTER_FIRST_EVENT_S
        ):
            return
        await self._check_answer(target, EndedAnswer(features, sent_at, now))

    async def record_unframed_answer(
        self, target: ForwardTarget, features: RequestFeatures, sent_at: float
    ) -> None:
        """Record an answer that seems to be whole, but ended with its connection.

        The crash of a target ends it in the same way, so it says that the request does
        no harm only if the target goes on running.

        :param target: the target.
        :param features: what in the request may have crashed it.
        :param sent_at: when the request was sent, in seconds.
        """
        if features.parts and self.table.have_succeeded(features.parts):
            self.record_success(features)
            return
        answer = EndedAnswer(features, sent_at, read_monotonic(), is_whole=True)
        await self._check_answer(target, answer)

    async def _check_answer(self, target: ForwardTarget, answer: EndedAnswer) -> None:
        if target in self._ended_answers:
            self._ended_answers[target].append(answer)
            return
        self._ended_answers[target] = [answer]
        await curio.spawn(self._check, target, daemon=True)

    async def _check(self, target: ForwardTarget) -> None:
        """Find out whether a target crashed whose answers ended.

        An answer may also be lost between the target and this host. Only a target that
        has crashed refuses connections.
        """
        has_crashed = False
        try:
            await curio.sleep(COLLECTION_S)
            has_crashed = await self._is_refused(target.address)
        finally:
            answers = self._ended_answers.pop(target)
        if has_crashed:
            _log_crash(target, answers)
            self._on_crash(target.target, target.born, read_monotonic())
        for answer in answers:
            if has_crashed:
                self._record_crash(target, answer)
            elif answer.is_whole:
                self.record_success(answer.features)

    def _record_crash(self, target: ForwardTarget, answer: EndedAnswer) -> None:
        crash = Crash(
            target=target.target,
            born=target.born,
            holder=answer.features.holder,
            features=answer.features.all,
            ended_at=answer.ended_at,
        )
        crashed_at = self.table.find_crash_time(crash.crash_id)
        if crashed_at is not None and answer.sent_at >= crashed_at:
            return  # sent on a connection that the crash had closed already
        _log_begun(self.table.record_crash(crash), target.target)

    def find_known_revision(self, control: Address, incarnation: str) -> int:
        """Find up to which revision this host knows a control host's table."""
        link = self._links.get(control)
        if link is None or link.incarnation != incarnation:
            return 0
        return link.known_revision

    def list_news(self, control: Address, incarnation: str) -> CrashNews | None:
        """List crashes that a control host may not know yet; None if there are none.

        It hears from all entry hosts, so it is told only what this one saw itself; but
        everything if it may have missed something.
        """
        link = self._links.get(control)
        told, synced = 0, self.table.revision
        if link is not None and link.incarnation == incarnation:
            told, synced = link.told_revision, link.synced_revision
        if told >= self.table.revision:
            return None
        now = read_monotonic()
        return self.table.list_news(told, now, with_heard=told < synced)

    def handle_page(self, control: Address, page: FeedPage) -> None:
        """Apply what a control host's page tells about crashes."""
        now = read_monotonic()
        link = self._links.get(control)
        if (
            link is None
            or link.incarnation != page.incarnation
            or now - link.heard_at > MISSED_AFTER_S
        ):
            # What the question told was what this host saw itself at most.
            link = self._links[control] = CrashLink(
                page.incarnation, self.table.revision
            )
        else:
            link.told_revision = max(link.told_revision, page.heard_crash_revision)
        link.heard_at = now
        if page.crash_news is not None:
            link.known_revision = page.crash_news.revision
            begun = self.table.apply(page.crash_news, now)
            _log_begun(begun, str(control))
            for crash in page.crash_news.crashes:
                self._on_crash(crash.target, crash.born, now)

    async def tick(self) -> None:
        """Forget what no longer counts."""
        self.table.expire(read_monotonic())


def _log_crash(target: ForwardTarget, answers: Sequence[EndedAnswer]) -> None:
    requests = [each.features.request_id for each in answers]
    logger.bind(
        step="crash",
        peer=target.target,
        born=target.born,
        requests=",".join(requests[:MAX_LOGGED_REQUESTS]),
    ).warning("refuses connections")


def _log_begun(quarantines: Iterable[Quarantine], source: str) -> None:
    for each in quarantines:
        logger.bind(
            step="quarantine",
            peer=",".join(each.targets),
            feature=each.feature,
            holder=each.holder,
            source=source,
        ).warning("begun")

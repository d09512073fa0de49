"""A claim group's state: which request holds which key, and how it ended."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import msgspec

from bramleyspread_control._entries import (
    Change,
    ClaimHold,
    ExpireClaims,
    ForgetClaims,
)
from bramleyspread_core import (
    Claim,
    ClaimDone,
    Claimed,
    ClaimKey,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    CommandResult,
    Payload,
    Rejected,
    RequestId,
    Settle,
    Settled,
    decode_json,
    encode_json,
)

#: When a caller whose key is running should ask again, in milliseconds.
RETRY_AFTER_MS = 500
#: Withdrawn requests kept, so that a late claim of one takes no key.
MAX_WITHDRAWN_REQUESTS = 10_000
#: Stands where there is no answer.
EMPTY_ANSWER = msgspec.Raw()


class ClaimState(str, Enum):
    """What is known of a claimed request."""

    #: It may be running.
    RUNNING = "running"
    #: It is done, and its answer is kept.
    DONE = "done"
    #: It was dispatched, perhaps, and nobody knows how it ended.
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claimed key."""

    #: The key.
    key: ClaimKey
    #: The request that holds it.
    request: RequestId
    #: Digest of its pipeline and body.
    digest: str
    #: How long its owner may take, in milliseconds.
    remaining_ms: int
    #: What is known of it.
    state: ClaimState
    #: The whole answer, when done; else empty.
    answer: Payload = EMPTY_ANSWER
    #: Position in the order of finishing; 0 while it is running.
    finished: int = 0

    @property
    def size(self) -> int:
        """Bytes of the answer."""
        return len(memoryview(self.answer))


class _Snapshot(msgspec.Struct, frozen=True):
    """The whole state, for snapshots."""

    #: The claims, finished ones in the order of finishing.
    claims: tuple[ClaimRecord, ...]
    #: Requests that ended before a claim of theirs came.
    withdrawn: tuple[RequestId, ...]
    #: Claims finished so far.
    finished: int


class ClaimStateMachine:
    """Builds claims from committed entries, with no clock of its own.

    A key is free again when its request says that it did not run, or when a
    ``ForgetClaims`` entry drops the finished claim. A full table refuses new
    claims; it never drops one to make room, since a key forgotten early could
    run twice.
    """

    def __init__(self, max_claims: int, max_answer_bytes: int) -> None:
        #: The claims, by key.
        self.claims: dict[ClaimKey, ClaimRecord] = {}
        #: Keys of running claims, in the order of claiming.
        self.running: dict[ClaimKey, RequestId] = {}
        #: Keys of finished claims by position in the order of finishing.
        self.finished: OrderedDict[int, ClaimKey] = OrderedDict()
        #: Claims finished so far.
        self.finished_count = 0
        #: Bytes of all answers.
        self.answer_bytes = 0
        self._withdrawn: OrderedDict[RequestId, None] = OrderedDict()
        self._max_claims = max_claims
        self._max_answer_bytes = max_answer_bytes

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change.

        :param change: the change.
        :returns: the result of the command that made it.
        """
        match change:
            case Claim():
                return self._claim(change)
            case Settle():
                return self._settle(change)
            case ExpireClaims():
                for hold in change.holds:
                    self._expire(hold)
            case ForgetClaims():
                self._remove_finished(change.upto)
        return None

    def encode(self) -> bytes:
        """Write the whole state as JSON."""
        claims = sorted(self.claims.values(), key=lambda held: held.finished)
        snapshot = _Snapshot(tuple(claims), tuple(self._withdrawn), self.finished_count)
        return encode_json(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the state.

        :param data: what :meth:`encode` wrote.
        :raises MessageError: when it is something else; then nothing changes.
        """
        snapshot: _Snapshot = decode_json(data, _Snapshot)
        self.claims.clear()
        self.running.clear()
        self.finished.clear()
        self.answer_bytes = 0
        self.finished_count = snapshot.finished
        self._withdrawn = OrderedDict.fromkeys(snapshot.withdrawn)
        for held in snapshot.claims:
            self._insert(held)

    def _claim(self, claim: Claim) -> CommandResult:
        held = self.claims.get(claim.key)
        if held is not None:
            return _answer_existing_claim(held, claim)
        if claim.request in self._withdrawn:
            return Rejected(("this request was withdrawn before",))
        if (
            len(self.claims) >= self._max_claims
            or self.answer_bytes >= self._max_answer_bytes
        ):
            return Rejected(("the table of claims is full; try again later",))
        self._insert(
            ClaimRecord(
                claim.key,
                claim.request,
                claim.digest,
                claim.remaining_ms,
                ClaimState.RUNNING,
            )
        )
        return Claimed()

    def _settle(self, settle: Settle) -> CommandResult:
        held = self.claims.get(settle.key)
        if held is None or held.request != settle.request:
            if settle.ended == "not-run":
                self._withdraw(settle.request)
                return Settled()
            return Rejected(("another request, or none, holds the key",))
        if held.state is ClaimState.DONE:
            if settle.ended == "done":
                return Settled()
            return Rejected(("the request is settled as done",))
        match settle.ended:
            case "done" if settle.answer is not None:
                answer = msgspec.Raw(bytes(settle.answer))
                self._finish(held, ClaimState.DONE, answer)
            case "not-run":
                self._remove(held)
                self._withdraw(settle.request)
            case "unknown":
                self._finish(held, ClaimState.UNKNOWN, EMPTY_ANSWER)
            case _:
                return Rejected((f"cannot settle as {settle.ended!r}",))
        return Settled()

    def _expire(self, hold: ClaimHold) -> None:
        held = self.claims.get(hold.key)
        if held is None or held.request != hold.request:
            return
        if held.state is ClaimState.RUNNING:
            self._finish(held, ClaimState.UNKNOWN, EMPTY_ANSWER)

    def _remove_finished(self, upto: int) -> None:
        while self.finished:
            number, key = next(iter(self.finished.items()))
            if number > upto:
                return
            self._remove(self.claims[key])

    def _finish(self, held: ClaimRecord, state: ClaimState, answer: Payload) -> None:
        if held.state is state:
            return
        self._remove(held)
        self.finished_count += 1
        self._insert(
            msgspec.structs.replace(
                held, state=state, answer=answer, finished=self.finished_count
            )
        )

    def _insert(self, held: ClaimRecord) -> None:
        self.claims[held.key] = held
        self.answer_bytes += held.size
        if held.state is ClaimState.RUNNING:
            self.running[held.key] = held.request
        else:
            self.finished[held.finished] = held.key

    def _remove(self, held: ClaimRecord) -> None:
        del self.claims[held.key]
        self.answer_bytes -= held.size
        self.running.pop(held.key, None)
        self.finished.pop(held.finished, None)

    def _withdraw(self, request: RequestId) -> None:
        self._withdrawn[request] = None
        while len(self._withdrawn) > MAX_WITHDRAWN_REQUESTS:
            self._withdrawn.popitem(last=False)


def _answer_existing_claim(held: ClaimRecord, claim: Claim) -> CommandResult:
    if held.digest != claim.digest:
        return ClaimMismatch()
    if held.state is ClaimState.DONE:
        return ClaimDone(held.request, held.answer)
    if held.state is ClaimState.UNKNOWN:
        return ClaimUnknown(held.request)
    if held.request == claim.request:
        return Claimed()
    return ClaimRunning(held.request, RETRY_AFTER_MS)

"""Replicated state of a claim group: which request holds which key, and its outcome."""

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

#: Retry delay sent to a caller whose key is still running, in milliseconds.
RETRY_AFTER_MS = 500
#: Maximum number of withdrawn requests that are remembered. A claim of one of them that
#: arrives late is rejected, so that it does not take the key.
MAX_WITHDRAWN_REQUESTS = 10_000
#: Placeholder for claims without an answer.
EMPTY_ANSWER = msgspec.Raw()


class ClaimState(str, Enum):
    """State of a claimed request."""

    #: The request may still be running.
    RUNNING = "running"
    #: The request is done, and its answer is stored.
    DONE = "done"
    #: The request may have been dispatched, and its outcome is not known.
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claimed key, the request that holds it, and the request's outcome."""

    key: ClaimKey
    #: The request that holds the key.
    request: RequestId
    #: Digest of the request's pipeline and body.
    digest: str
    #: Time budget of the request's owner, in milliseconds.
    remaining_ms: int
    state: ClaimState
    #: The complete answer once the request is done, else empty.
    answer: Payload = EMPTY_ANSWER
    #: Sequence number of the claim in the order of finishing; 0 while it is running.
    finished: int = 0

    @property
    def size(self) -> int:
        """Size of the answer in bytes."""
        return len(memoryview(self.answer))


class _Snapshot(msgspec.Struct, frozen=True):
    """The complete state as it is stored in snapshots."""

    #: The claims; finished ones are in the order of finishing.
    claims: tuple[ClaimRecord, ...]
    #: Requests settled as not run, oldest first; their claims are rejected from then
    #: on.
    withdrawn: tuple[RequestId, ...]
    #: Number of claims finished so far.
    finished: int


class ClaimStateMachine:
    """Builds the state of claims from committed entries, without a clock of its own.

    A key becomes free when its request is settled as not run, or when a
    ``ForgetClaims`` entry removes the finished claim. A full table rejects new claims
    and never evicts one to make room, since a request whose key is removed early
    could run twice.
    """

    def __init__(self, max_claims: int, max_answer_bytes: int) -> None:
        #: The claims by key.
        self.claims: dict[ClaimKey, ClaimRecord] = {}
        #: Requests of running claims by key, in the order of claiming.
        self.running: dict[ClaimKey, RequestId] = {}
        #: Keys of finished claims by sequence number, in the order of finishing.
        self.finished: OrderedDict[int, ClaimKey] = OrderedDict()
        #: Number of claims finished so far.
        self.finished_count = 0
        #: Total size of all stored answers, in bytes.
        self.answer_bytes = 0
        self._withdrawn: OrderedDict[RequestId, None] = OrderedDict()
        self._max_claims = max_claims
        self._max_answer_bytes = max_answer_bytes

    def apply(self, change: Change) -> CommandResult | None:
        """Apply a committed change.

        :param change: the change.
        :returns: the result for the command that proposed the change; None for changes
            that no command proposed.
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
        """Encode the complete state as JSON."""
        claims = sorted(self.claims.values(), key=lambda record: record.finished)
        snapshot = _Snapshot(tuple(claims), tuple(self._withdrawn), self.finished_count)
        return encode_json(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one.

        :param data: a state encoded by :meth:`encode`.
        :raises MessageError: when the data cannot be decoded; the state is then
            unchanged.
        """
        snapshot: _Snapshot = decode_json(data, _Snapshot)
        self.claims.clear()
        self.running.clear()
        self.finished.clear()
        self.answer_bytes = 0
        self.finished_count = snapshot.finished
        self._withdrawn = OrderedDict.fromkeys(snapshot.withdrawn)
        for record in snapshot.claims:
            self._insert(record)

    def _claim(self, claim: Claim) -> CommandResult:
        record = self.claims.get(claim.key)
        if record is not None:
            return _answer_existing_claim(record, claim)
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
        record = self.claims.get(settle.key)
        if record is None or record.request != settle.request:
            if settle.ended == "not-run":
                self._withdraw(settle.request)
                return Settled()
            return Rejected(("another request, or none, holds the key",))
        if record.state is ClaimState.DONE:
            if settle.ended == "done":
                return Settled()
            return Rejected(("the request is settled as done",))
        match settle.ended:
            case "done" if settle.answer is not None:
                answer = msgspec.Raw(bytes(settle.answer))
                self._finish(record, ClaimState.DONE, answer)
            case "not-run":
                self._remove(record)
                self._withdraw(settle.request)
            case "unknown":
                self._finish(record, ClaimState.UNKNOWN, EMPTY_ANSWER)
            case _:
                return Rejected((f"cannot settle as {settle.ended!r}",))
        return Settled()

    def _expire(self, hold: ClaimHold) -> None:
        record = self.claims.get(hold.key)
        if record is None or record.request != hold.request:
            return
        if record.state is ClaimState.RUNNING:
            self._finish(record, ClaimState.UNKNOWN, EMPTY_ANSWER)

    def _remove_finished(self, upto: int) -> None:
        while self.finished:
            number, key = next(iter(self.finished.items()))
            if number > upto:
                return
            self._remove(self.claims[key])

    def _finish(self, record: ClaimRecord, state: ClaimState, answer: Payload) -> None:
        if record.state is state:
            return
        self._remove(record)
        self.finished_count += 1
        self._insert(
            msgspec.structs.replace(
                record, state=state, answer=answer, finished=self.finished_count
            )
        )

    def _insert(self, record: ClaimRecord) -> None:
        self.claims[record.key] = record
        self.answer_bytes += record.size
        if record.state is ClaimState.RUNNING:
            self.running[record.key] = record.request
        else:
            self.finished[record.finished] = record.key

    def _remove(self, record: ClaimRecord) -> None:
        del self.claims[record.key]
        self.answer_bytes -= record.size
        self.running.pop(record.key, None)
        self.finished.pop(record.finished, None)

    def _withdraw(self, request: RequestId) -> None:
        self._withdrawn[request] = None
        while len(self._withdrawn) > MAX_WITHDRAWN_REQUESTS:
            self._withdrawn.popitem(last=False)


def _answer_existing_claim(record: ClaimRecord, claim: Claim) -> CommandResult:
    if record.digest != claim.digest:
        return ClaimMismatch()
    if record.state is ClaimState.DONE:
        return ClaimDone(record.request, record.answer)
    if record.state is ClaimState.UNKNOWN:
        return ClaimUnknown(record.request)
    if record.request == claim.request:
        return Claimed()
    return ClaimRunning(record.request, RETRY_AFTER_MS)

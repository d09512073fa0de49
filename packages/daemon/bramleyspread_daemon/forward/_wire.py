"""The conversations with the world around, as the product needs them.

Each is a ``Protocol``; an implementation knows the names on the wire and nothing
else knows them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bramleyspread_core import CommandResult, PutDeployment
from bramleyspread_daemon._exchange import HttpRequest
from bramleyspread_forwarding import (
    BatchedCall,
    ForwardRequest,
    MalformedRequest,
    PieceResult,
    RawHeaders,
    TargetLoad,
    TargetNotice,
)


class WireReply(msgspec.Struct, frozen=True):
    """A whole reply to somebody outside."""

    #: The HTTP status.
    status: int
    #: The body.
    body: bytes = b""
    #: Headers besides the length.
    headers: tuple[tuple[str, str], ...] = ()


class WireCall(msgspec.Struct, frozen=True):
    """A call to a target that is not a caller's request."""

    #: The path.
    path: str
    #: The body.
    body: bytes
    #: Headers besides host and length.
    headers: RawHeaders = ()


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A final answer of this host's own."""

    #: The HTTP status.
    status: int
    #: Why.
    why: str
    #: When to come back, in seconds; None when that makes no sense.
    retry_after_s: float | None = None


class CallTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a target is told beside the request itself."""

    #: The target that is meant, and no other one at its address.
    target: str
    #: Time left, in milliseconds.
    remaining_ms: float
    #: Who holds the caller's key; None where no keys are asked for.
    holder: str | None
    #: Rank of the request; 0 goes first.
    priority: int
    #: Results of stages that the request needs; None when it has no stages.
    inputs: tuple[str, ...] | None = None
    #: The last event that the caller has; empty for none.
    last_event: str = ""


class TargetHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a target's answer."""

    #: The HTTP status.
    status: int
    #: The request that the target says it answers; empty when it doesn't say.
    request: str
    #: Whether it bears the target's seal.
    sealed: bool
    #: Whether the target says that it has not run the request.
    not_run: bool
    #: Whether events follow.
    is_stream: bool
    #: Its load, when it tells.
    load: TargetLoad | None
    #: How long it keeps an idle connection, in seconds; None when it doesn't say.
    keep_s: float | None
    #: The headers for the caller.
    headers: tuple[tuple[str, str], ...]


class PiecesTurnedAway(msgspec.Struct, frozen=True):
    """A target made none of a call's pieces."""

    #: Why, for logs.
    why: str


class CallerWire(Protocol):
    """The conversation with callers."""

    def read_request(self, http: HttpRequest) -> ForwardRequest | MalformedRequest:
        """Read a request."""

    def write_refusal(self, refusal: Refusal) -> WireReply:
        """Write an answer of this host's own."""


class TargetWire(Protocol):
    """The conversation with targets."""

    def write_head(self, request: ForwardRequest, terms: CallTerms) -> RawHeaders:
        """Write the headers of a request that is passed on."""

    def read_head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> TargetHead:
        """Read the head of an answer."""

    def write_pieces(self, call: BatchedCall) -> WireCall:
        """Write a call for pieces."""

    def read_pieces(
        self, call: BatchedCall, status: int, body: bytes
    ) -> tuple[PieceResult, ...] | PiecesTurnedAway:
        """Read its answer; raises ``MessageError`` when it is none."""

    def write_release(self, handles: Sequence[str]) -> WireCall:
        """Write that results are needed no more."""

    def find_maker(self, handle: str) -> str:
        """Find where a result lies, as ``ip:port``."""


class DocumentWanted(msgspec.Struct, frozen=True):
    """Somebody asks for the newest deployment document."""


class TargetLeft(msgspec.Struct, frozen=True):
    """A target says that it leaves."""

    #: Its id.
    target: str
    #: Which start of it says so; 0 when it does not tell.
    born: int = 0


class UnknownCall(msgspec.Struct, frozen=True):
    """A path that means nothing here."""


#: What operators and targets say to a control host.
ControlCall = (
    PutDeployment
    | DocumentWanted
    | TargetNotice
    | TargetLeft
    | MalformedRequest
    | UnknownCall
)


class ControlWire(Protocol):
    """The conversation of operators and targets with control hosts."""

    def read_call(self, http: HttpRequest) -> ControlCall:
        """Read what somebody says."""

    def write_result(self, result: CommandResult) -> WireReply:
        """Write what became of a command."""

    def write_heard(self) -> WireReply:
        """Write that a target was heard."""

    def write_fault(self, fault: MalformedRequest | UnknownCall) -> WireReply:
        """Write that something can't be read."""


class Wires(msgspec.Struct, frozen=True):
    """All conversations of one platform, as its module's ``WIRES`` holds them."""

    #: With callers.
    callers: CallerWire
    #: With targets.
    targets: TargetWire
    #: Of operators and targets with control hosts.
    control: ControlWire
    #: Where the balancer asks whether an entry host is ready.
    ready_path: str

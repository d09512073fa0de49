"""Protocols between the daemon and the wire formats of a platform.

Each protocol is implemented once per platform. Only the implementation knows the names
used on the wire.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bramleyspread_core import CommandResult, PutDeployment, ZoneOrder
from bramleyspread_daemon._exchange import HttpRequest
from bramleyspread_forwarding import (
    BatchedCall,
    ForwardRequest,
    MalformedRequest,
    PieceResult,
    RawHeaders,
    ResponseSignals,
    TargetHeartbeat,
    TargetLoad,
)


class WireReply(msgspec.Struct, frozen=True):
    """Complete HTTP reply to a caller, an operator or a target."""

    status: int
    body: bytes = b""
    #: Headers other than the content length.
    headers: tuple[tuple[str, str], ...] = ()


class WireCall(msgspec.Struct, frozen=True):
    """Call to a target that doesn't carry a caller's request."""

    path: str
    body: bytes
    #: Headers other than host and content length.
    headers: RawHeaders = ()


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Final answer to a caller that comes from this host, not from a target."""

    status: int
    #: Reason, as given to the caller.
    why: str
    #: Delay after which the caller may retry, in seconds; None if a retry is pointless.
    retry_after_s: float | None = None


class CallMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata sent to a target along with a forwarded request."""

    #: Id of the intended target; another target at the same address must refuse.
    target: str
    #: Time until the deadline, in milliseconds.
    remaining_ms: float
    #: Holder of the caller's key; None if no key is required.
    holder: str | None
    #: Priority of the request; 0 is the highest.
    priority: int
    #: Handles of the stage results that the request needs; None without stages.
    inputs: tuple[str, ...] | None = None
    #: Id of the last event that the caller received; empty if none.
    last_event_id: str = ""


class TargetHead(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a target's response."""

    status: int
    #: Id of the request that the target answers; empty if it doesn't say.
    request: str
    #: Whether the response carries the seal that marks it as produced by a target.
    sealed: bool
    #: Whether the target states that it has not run the request.
    not_run: bool
    #: Id of the target that answered; empty if it doesn't say.
    instance: str = ""
    #: Whether it states that another target was intended.
    is_misdirected: bool = False
    #: Whether the body is an event stream.
    is_stream: bool
    #: Load of the target, if reported.
    load: TargetLoad | None
    #: What the response says about the target; nothing if another target answered.
    signals: ResponseSignals = ResponseSignals()
    #: Keep-alive time of the target, in seconds; None if not reported.
    keep_alive_s: float | None
    #: Headers to forward to the caller.
    headers: tuple[tuple[str, str], ...]


class PiecesRejected(msgspec.Struct, frozen=True):
    """A target's refusal of a whole call: none of the pieces was computed."""

    #: Reason, for the log.
    why: str


class CallerWire(Protocol):
    """Wire format between callers and entry hosts."""

    def read_request(self, http: HttpRequest) -> ForwardRequest | MalformedRequest:
        """Parse a caller's request."""

    def write_refusal(self, refusal: Refusal) -> WireReply:
        """Encode an answer that comes from this host, not from a target."""


class TargetWire(Protocol):
    """Wire format between entry hosts and targets."""

    def write_head(self, request: ForwardRequest, metadata: CallMetadata) -> RawHeaders:
        """Encode the headers of a forwarded request."""

    def read_head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> TargetHead:
        """Parse the head of a response."""

    def write_life_question(self, target: str, health_path: str | None) -> WireCall:
        """Encode a call without a body, by GET, that a target answers with its id.

        :param target: id of the intended target.
        :param health_path: path of its health checks; None for the usual one.
        """

    def write_pieces(self, call: BatchedCall) -> WireCall:
        """Encode a call that computes pieces."""

    def read_pieces(
        self, call: BatchedCall, status: int, body: bytes
    ) -> tuple[PieceResult, ...] | PiecesRejected:
        """Parse the response to ``call``; raise ``MessageError`` if it is malformed."""

    def write_release(self, handles: Sequence[str]) -> WireCall:
        """Encode a call that releases results."""

    def find_result_address(self, handle: str) -> str:
        """Return the address at which a result is stored, as ``ip:port``."""


class GetDeployment(msgspec.Struct, frozen=True):
    """Request for the newest deployment document."""


class TargetLeft(msgspec.Struct, frozen=True):
    """Notice that a target is leaving."""

    #: Id of the target.
    target: str
    #: Start time of the target process that is leaving; 0 if not reported.
    born: int = 0


class UnknownCall(msgspec.Struct, frozen=True):
    """Call to an unknown path."""


#: Calls that operators and targets make to a control host.
ControlCall = (
    PutDeployment
    | GetDeployment
    | TargetHeartbeat
    | TargetLeft
    | ZoneOrder
    | MalformedRequest
    | UnknownCall
)


class ControlWire(Protocol):
    """Wire format between operators or targets and control hosts."""

    def read_call(self, http: HttpRequest) -> ControlCall:
        """Parse a call."""

    def write_result(self, result: CommandResult) -> WireReply:
        """Encode the result of a command."""

    def write_acknowledgement(self) -> WireReply:
        """Encode the acknowledgement of a target's notice."""

    def write_fault(self, fault: MalformedRequest | UnknownCall) -> WireReply:
        """Encode the error reply to a call that can't be parsed."""


class Wires(msgspec.Struct, frozen=True):
    """All wire formats of one platform, exported by its module as ``WIRES``."""

    #: Wire format for callers.
    callers: CallerWire
    #: Wire format for targets.
    targets: TargetWire
    #: Wire format for operators and targets that call control hosts.
    control: ControlWire
    #: Path on which the load balancer checks whether an entry host is ready.
    ready_path: str

"""Forwarding roles of the daemon, and the protocols that a wire format implements."""

from bramleyspread_daemon._exchange import HttpRequest
from bramleyspread_daemon.forward._wire import (
    CallerWire,
    CallMetadata,
    ControlCall,
    ControlWire,
    GetDeployment,
    PiecesRejected,
    Refusal,
    TargetHead,
    TargetLeft,
    TargetWire,
    UnknownCall,
    WireCall,
    WireReply,
    Wires,
)

__all__ = [
    "CallMetadata",
    "CallerWire",
    "ControlCall",
    "ControlWire",
    "GetDeployment",
    "HttpRequest",
    "PiecesRejected",
    "Refusal",
    "TargetHead",
    "TargetLeft",
    "TargetWire",
    "UnknownCall",
    "WireCall",
    "WireReply",
    "Wires",
]

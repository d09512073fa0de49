"""The processes that pass calls on as they came, and what they need of a wire."""

from bramleyspread_daemon._exchange import HttpRequest
from bramleyspread_daemon.forward._wire import (
    CallerWire,
    CallTerms,
    ControlCall,
    ControlWire,
    DocumentWanted,
    PiecesTurnedAway,
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
    "CallTerms",
    "CallerWire",
    "ControlCall",
    "ControlWire",
    "DocumentWanted",
    "HttpRequest",
    "PiecesTurnedAway",
    "Refusal",
    "TargetHead",
    "TargetLeft",
    "TargetWire",
    "UnknownCall",
    "WireCall",
    "WireReply",
    "Wires",
]

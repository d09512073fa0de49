"""One request that is passed on as it came."""

from __future__ import annotations

import msgspec

#: Header names and values in the order and spelling of the caller.
RawHeaders = tuple[tuple[bytes, bytes], ...]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    #: Its id.
    part: str
    #: Its size, in tokens.
    tokens: int


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """What a model engine will read and write for a request."""

    #: The model.
    model: str = ""
    #: Tokens to be read.
    tokens_in: int
    #: Tokens that may be written, at most.
    tokens_out: int
    #: The parts in their order; the last one is the request's own.
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Tokens that an engine keeps in memory for it, at most."""
        return self.tokens_in + self.tokens_out


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, read once."""

    #: The caller's id of this attempt of its own.
    request: str
    #: The method.
    method: str
    #: The path with the query, as it came.
    target: str
    #: The path without the query.
    path: str
    #: The host that the caller named.
    host: str
    #: The headers that go on to a target.
    headers: RawHeaders
    #: The body.
    body: bytes
    #: How long the caller waits, in milliseconds; None when it doesn't say.
    deadline_ms: float | None = None
    #: The key that it shows.
    key: str | None = None
    #: What the engine reads and writes; None when it doesn't say.
    prompt: Prompt | None = None
    #: Pieces of each stage.
    pieces: tuple[int, ...] = ()
    #: What the pieces of first stages are made from.
    piece_key: str = ""
    #: The last event that the caller has of this stream; empty for none.
    last_event: str = ""


class MalformedRequest(msgspec.Struct, frozen=True):
    """A request that can't be passed on."""

    #: The HTTP status that says so.
    status: int
    #: Why.
    why: str

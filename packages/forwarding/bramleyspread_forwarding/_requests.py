"""Callers' requests that are forwarded to targets."""

from __future__ import annotations

import msgspec

#: Header names and values, in the caller's order and spelling.
RawHeaders = tuple[tuple[bytes, bytes], ...]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    #: Id of the part.
    part: str
    #: Number of tokens in the part.
    tokens: int


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """What a model engine reads and generates for a request."""

    #: Name of the model.
    model: str = ""
    #: Number of tokens to be read.
    tokens_in: int
    #: Maximum number of tokens to be generated.
    tokens_out: int
    #: The parts in order; the last one belongs to this request only.
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Maximum number of tokens that the request occupies in engine memory."""
        return self.tokens_in + self.tokens_out


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, parsed once."""

    #: The caller's id for this request; a retry by the caller has another one.
    request_id: str
    #: HTTP method.
    method: str
    #: Path and query, as the caller sent them.
    path_and_query: str
    #: Path without the query.
    path: str
    #: Host that the caller addressed.
    host: str
    #: Headers that are forwarded to a target.
    headers: RawHeaders
    body: bytes
    #: How long the caller waits, in milliseconds; None when unknown.
    deadline_ms: float | None = None
    #: The caller's API key; None when it sent none.
    key: str | None = None
    #: What an engine reads and generates; None when the caller doesn't say.
    prompt: Prompt | None = None
    #: Number of pieces of each stage.
    pieces: tuple[int, ...] = ()
    #: Identifies the source data that pieces of first stages read.
    piece_key: str = ""
    #: Id of the last event of this stream that the caller received; empty for none.
    last_event: str = ""
    #: The caller's id for the request that brought the first event of the stream that
    #: it takes up; empty if it takes up none, or doesn't say which one.
    resumes: str = ""


class MalformedRequest(msgspec.Struct, frozen=True):
    """A request that can't be forwarded."""

    #: HTTP status of the reply.
    status: int
    #: Why the request can't be forwarded, for the reply.
    why: str

"""Fetches newer deployment documents from control hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import msgspec
from loguru import logger

from bramleyspread_core import Address, MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_forwarding import (
    DigestMismatch,
    DocumentAnswer,
    DocumentParts,
    DocumentQuery,
    build_document,
)

#: Path on which control hosts tell what changed in the document.
DOCUMENT_PATH = "/v1/control/document"
#: Timeout for what changed, in seconds: so short that a silent control host is left in
#: time.
CHANGES_TIMEOUT_S = 0.5
#: Timeout for a whole document, and for changes that took longer than that, in seconds:
#: at first, and at most after further ones.
LONG_TIMEOUT_S, MAX_TIMEOUT_S = 3.0, 12.0
#: Timeout for connecting to a control host, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Delay after a control host didn't answer, in seconds.
RETRY_DELAY_S = 0.05


class FetchedDocument(msgspec.Struct, frozen=True):
    """A newer document."""

    parts: DocumentParts
    #: Whether it is confirmed that no control host has accepted a newer version.
    confirmed: bool
    #: When it was asked for, in seconds.
    requested_at: float


class DocumentLink:
    """Fetches the newest document that a control host has told of, from one of them.

    One fetch runs at a time, so a version that is overtaken meanwhile is never sent.

    :param pool: connections to the control hosts.
    :param on_document: called with each newer document.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        on_document: Callable[[FetchedDocument], Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._on_document = on_document
        self._told_versions: dict[Address, int] = {}
        # The same, of those that may be asked: not since they failed to answer.
        self._sources: dict[Address, int] = {}
        self._is_fetching = False
        self._preferred: Address | None = None
        # Whether the next question asks for the whole document.
        self._needs_whole = False
        self._timeout_s = CHANGES_TIMEOUT_S
        #: The document in force; None before the first one.
        self.parts: DocumentParts | None = None

    @property
    def version(self) -> int:
        """Version of the document in force; 0 if there is none."""
        return self.parts.deployment.version if self.parts is not None else 0

    def find_told_version(self, control: Address) -> int:
        """Find the newest version of which a control host has told; 0 for none."""
        return self._told_versions.get(control, 0)

    async def hear(self, control: Address, version: int) -> None:
        """Fetch a newer version, if a control host knows one.

        :param control: the control host.
        :param version: the newest version that it knows.
        """
        self._told_versions[control] = self._sources[control] = version
        if version > self.version and not self._is_fetching:
            self._is_fetching = True
            await curio.spawn(self._fetch_newest, daemon=True)

    def set_document(self, parts: DocumentParts) -> None:
        """Set the document in force."""
        self.parts = parts
        self._needs_whole = False
        self._timeout_s = CHANGES_TIMEOUT_S

    async def _fetch_newest(self) -> None:
        """Fetch until no control host knows a newer version."""
        try:
            while (control := self._choose_source()) is not None:
                if not await self._fetch(control):
                    await curio.sleep(RETRY_DELAY_S)
        except Exception:  # the next page starts it again
            log = logger.bind(step="document", peer=str(control))
            log.exception("internal error")
        finally:
            self._is_fetching = False

    def _choose_source(self) -> Address | None:
        """Choose a control host that knows a newer version; None if there is none."""
        newer = [
            control
            for control, version in self._sources.items()
            if version > self.version
        ]
        if self._preferred in newer:
            return self._preferred
        return newer[0] if newer else None

    async def _fetch(self, control: Address) -> bool:
        """Fetch from one control host, and return whether a newer version came."""
        known, requested_at = self.parts, read_monotonic()
        answer = await self._ask(control, known)
        if answer is None:
            self._avoid(control)
            return False
        self._preferred = control
        if answer.version <= self.version:
            self._sources[control] = answer.version
            return True
        if answer.buckets is None:
            parts = build_document(answer)
        elif known is None or known is not self.parts:
            return True  # another version came meanwhile
        else:
            parts = known.apply(answer)
        if isinstance(parts, DigestMismatch):
            log = logger.bind(step="document", peer=str(control))
            log.warning(f"version {parts.version} has another digest")
            self._needs_whole = True
            self._avoid(control)
            return False
        fetched = FetchedDocument(parts, answer.confirmed, requested_at)
        await self._on_document(fetched)
        return True

    async def _ask(
        self, control: Address, known: DocumentParts | None
    ) -> DocumentAnswer | None:
        is_whole = known is None or self._needs_whole
        query = DocumentQuery(version=self.version)
        if known is not None and not is_whole:
            query = known.make_query()
        try:
            response = await self._pool.request(
                control,
                DOCUMENT_PATH,
                encode_json(query),
                max(self._timeout_s, LONG_TIMEOUT_S) if is_whole else self._timeout_s,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
            if response.status != 200:
                raise MessageError(f"status {response.status}")
            answer: DocumentAnswer = decode_json(response.body, DocumentAnswer)
        except (RequestNotSentError, ConnectionClosedError, MessageError) as error:
            log = logger.bind(step="document", peer=str(control))
            log.warning(f"not fetched: {error}")
            if isinstance(error, ConnectionClosedError):
                longer_s = max(self._timeout_s * 2, LONG_TIMEOUT_S)
                self._timeout_s = min(longer_s, MAX_TIMEOUT_S)
            return None
        return answer

    def _avoid(self, control: Address) -> None:
        """Ask a control host again only once it has sent another page."""
        self._preferred = None
        self._sources.pop(control, None)

"""Tells entry hosts what changed in the deployment document."""

from __future__ import annotations

from collections.abc import Callable

from bramleyspread_core import Deployment, MessageError, decode_json
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_forwarding import DocumentAnswer, DocumentParts, DocumentQuery


class DocumentService:
    """Answers entry hosts that have heard of a newer document.

    :param get_deployment: returns the newest document; None before the first one.
    :param is_confirmed: whether it is confirmed that there is no newer one.
    """

    def __init__(
        self,
        get_deployment: Callable[[], Deployment | None],
        is_confirmed: Callable[[], bool],
    ) -> None:
        self._get_deployment = get_deployment
        self._is_confirmed = is_confirmed
        self._parts: DocumentParts | None = None

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Handle an entry host's question what changed."""
        try:
            query: DocumentQuery = decode_json(http.body, DocumentQuery)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        parts = self._find_parts()
        if parts is None:
            reply.send_json(DocumentAnswer(version=0))
            return
        reply.send_json(parts.answer(query, confirmed=self._is_confirmed()))

    def _find_parts(self) -> DocumentParts | None:
        """Return the parts of the newest document, which are indexed once."""
        deployment = self._get_deployment()
        if deployment is None:
            return None
        known = self._parts
        if known is None or known.deployment.version != deployment.version:
            self._parts = DocumentParts.from_deployment(deployment, known)
        return self._parts

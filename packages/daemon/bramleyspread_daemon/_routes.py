"""Routing of HTTP requests to handlers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._refusal import encode_refusal

#: A handler of the requests to one path.
RouteHandler = Callable[[HttpRequest, Reply], Awaitable[None]]


class Routes:
    """Handlers by method and path or path prefix; exact paths take precedence."""

    __slots__ = ("_exact", "_fallback", "_prefixes")

    def __init__(
        self,
        exact: Mapping[tuple[str, str], RouteHandler],
        prefixes: Mapping[tuple[str, str], RouteHandler] | None = None,
        fallback: RouteHandler | None = None,
    ) -> None:
        self._fallback = fallback
        self._exact = dict(exact)
        self._prefixes = dict(prefixes or {})

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Pass a request to the handler of its path.

        A request to a path without a handler goes to the fallback, or is answered with
        404 when there is none. A known path with another method is answered with 405.

        :param request: the request.
        :param reply: the reply.
        """
        route = self._exact.get((request.method, request.path))
        if route is None:
            route = self._find_by_prefix(request)
        if route is not None:
            await route(request, reply)
            return
        methods = self._list_methods(request.path)
        if self._fallback is not None and not methods:
            await self._fallback(request, reply)
        elif methods:
            why = f"{request.path} takes {', '.join(methods)}"
            reply.send(405, encode_refusal(405, why))
        else:
            reply.send(404, encode_refusal(404, f"nothing at {request.path}"))

    def _find_by_prefix(self, request: HttpRequest) -> RouteHandler | None:
        for (method, prefix), route in self._prefixes.items():
            if request.method == method and request.path.startswith(prefix):
                return route
        return None

    def _list_methods(self, path: str) -> list[str]:
        exact = {method for method, known in self._exact if known == path}
        by_prefix = {
            method for method, known in self._prefixes if path.startswith(known)
        }
        return sorted(exact | by_prefix)

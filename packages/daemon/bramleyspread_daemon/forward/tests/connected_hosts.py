"""Entry hosts of a site in virtual time, and their messages to each other."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any, Protocol, cast

import curio

from bramleyspread_core import Address
from bramleyspread_daemon._client import (
    ConnectionClosedError,
    RequestNotSentError,
    Response,
)
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._routes import RouteHandler
from bramleyspread_daemon._traffic import Traffic
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._origin_tables import ORIGIN_PATH, ORIGINS_PATH
from bramleyspread_daemon.forward._placement_service import PLACE_PATH, PLACED_PATH
from bramleyspread_daemon.forward._settings import ForwardEntrySettings
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply

#: One way between two machines, in seconds.
DELAY_S = 0.001


class ConnectedHosts(Protocol):
    """The entry hosts of a site, and which of them reach each other."""

    #: Draws the hosts' seeds.
    rng: Random
    #: Hosts that neither answer nor get an answer from other hosts.
    silent: set[Address]
    #: Pairs of hosts that can't reach each other.
    cut_pairs: set[frozenset[Address]]
    #: The hosts by address.
    contexts: dict[Address, ForwardContext]
    #: The control hosts by address, if they answer.
    controls: dict[Address, ForwardControl]
    #: Bytes of messages between hosts, by path.
    message_bytes: Counter[str]


class HostPeers:
    """Connections of one host to the others."""

    def __init__(self, site: ConnectedHosts, own: Address) -> None:
        self._site, self._own = site, own
        self.traffic = Traffic()

    async def request(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: float,
        method: str = "POST",
        connect_timeout: float = 1.0,
    ) -> Response:
        site = self._site
        pair = frozenset((self._own, address))
        if pair & site.silent or pair in site.cut_pairs:
            await curio.sleep(timeout)
            raise ConnectionClosedError("no answer in time")
        if address not in site.contexts and address not in site.controls:
            raise RequestNotSentError("no such host")
        site.message_bytes[path] += len(body)
        await curio.sleep(DELAY_S)
        if address not in site.contexts and address not in site.controls:
            raise ConnectionClosedError("the host has ended")
        connection = KeptReply()
        reply = Reply(cast("Any", connection))
        handle = self._find_handler(address, method, path)
        await handle(HttpRequest(method, path, "", {}, body), reply)
        await curio.sleep(DELAY_S)
        assert connection.response is not None
        return connection.response

    def _find_handler(self, address: Address, method: str, path: str) -> RouteHandler:
        """Find what handles a message at another host."""
        if address in self._site.controls:
            return self._site.controls[address].list_routes()[method, path]
        context = self._site.contexts[address]
        handlers: dict[str, RouteHandler] = {
            PLACE_PATH: context.placement.serve,
            PLACED_PATH: context.placement.serve_report,
            ORIGIN_PATH: context.stream_keepers.tables.serve_query,
            ORIGINS_PATH: context.stream_keepers.tables.serve_copies,
        }
        return handlers[path]


def make_host(
    site: ConnectedHosts,
    name: str,
    address: Address,
    wire: object,
    started: int,
    zone: str = "z",
    **changes: Any,
) -> ForwardContext:
    """Make an entry host of a site that knows nothing yet.

    :param changes: settings that differ from the defaults.
    """
    settings = ForwardEntrySettings(
        host=name,
        zone=zone,
        listen_at=str(address),
        seeds=("10.9.0.1:1",),
        callers_at=str(address),
        ready_at=str(address),
        fail_closed=False,
        **changes,
    )
    return ForwardContext(
        settings,
        cast("Any", wire),
        cast("Any", HostPeers(site, address)),
        Random(site.rng.getrandbits(32)),
        started,
        lambda _: None,
    )

"""Relays connections to targets for hosts that have lost their own path to them.

A host asks with ``GET /v1/relay?ADDRESS`` and an upgrade. Once the other host has
connected to the target, each side gets the other one's bytes unchanged; an answer that
is reset on the way is reset for the asker too.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_daemon._client import RequestNotSentError, TargetRefusedError
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon.forward._target_connector import (
    RelayUnavailableError,
    TargetConnector,
)
from bramleyspread_daemon.forward._upstream import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    UpstreamConnection,
)

#: Path on which hosts ask each other to relay.
RELAY_PATH = "/v1/relay"
#: Name of the protocol to which the connection is switched.
RELAY_PROTOCOL = "bramleyspread-relay"
#: Timeout for the connection to a target, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Timeout for all of another host's answer, in seconds.
ASK_TIMEOUT_S = 0.4
#: Maximum number of connections that one host relays at once.
MAX_RELAYED = 512
#: Maximum size of the head of an answer, in bytes.
MAX_HEAD_BYTES = 16_384
#: Status with which a host answers that the target refuses connections.
REFUSED_STATUS = 502
#: Status with which a host answers that the target can't be reached.
UNREACHED_STATUS = 504


class RelayService:
    """Relays connections of other hosts to targets.

    :param connector: opens the connections to targets.
    :param is_known: whether a target is known at an address; no other address is
        connected to.
    :param is_stopping: whether this host is about to stop, so that it relays no new
        connections.
    """

    def __init__(
        self,
        connector: TargetConnector[UpstreamConnection],
        is_known: Callable[[Address], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._connector = connector
        self._is_known = is_known
        self._is_stopping = is_stopping
        #: Number of connections that are relayed now.
        self.open = 0

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another host's request to relay."""
        try:
            address = Address.from_text(http.query)
        except ValueError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        is_full = self.open >= MAX_RELAYED
        if is_full or self._is_stopping() or not self._is_known(address):
            reply.send(503, encode_refusal(503, "not relayed"))
            return
        try:
            connection = await self._connector.open_for_other_host(
                address, CONNECT_TIMEOUT_S
            )
        except RelayUnavailableError as error:
            reply.send(503, encode_refusal(503, str(error)))
        except TargetRefusedError as error:
            reply.send(REFUSED_STATUS, encode_refusal(REFUSED_STATUS, str(error)))
        except RequestNotSentError as error:
            reply.send(UNREACHED_STATUS, encode_refusal(UNREACHED_STATUS, str(error)))
        else:
            self.open += 1
            target = connection.detach()
            reply.switch(
                RELAY_PROTOCOL, lambda asker, early: self._splice(asker, target, early)
            )

    async def _splice(
        self, asker: Connection, target: Connection, early: bytes
    ) -> bool:
        """Pass bytes both ways until either side closes.

        :param asker: the connection to the host that asked.
        :param target: the connection to the target.
        :param early: bytes that the asker has sent already.
        :returns: whether the asker's connection must be reset, as the target's was.
        """
        asker.enable_peer_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(_pump, asker, target, early)
                await group.spawn(_pump, target, asker, b"")
        finally:
            self.open -= 1
            await target.reset()
        return target.was_reset


async def _pump(source: Connection, sink: Connection, early: bytes) -> None:
    with contextlib.suppress(OSError):
        if early:
            await sink.send_all(early)
        while data := await source.read():
            await sink.send_all(data)


async def open_relayed(relay: Address, target: Address) -> Connection:
    """Connect to a target through another host.

    :param relay: address of the host.
    :param target: address of the target.
    :returns: a connection whose peer is the target.
    :raises TargetRefusedError: if the target refuses connections there.
    :raises RelayUnavailableError: if that host does not relay, or doesn't answer.
    :raises RequestNotSentError: if that host doesn't reach the target.
    """
    try:
        connection: Connection = await curio.timeout_after(
            ASK_TIMEOUT_S, _ask, relay, target
        )
    except curio.TaskTimeout:
        raise RelayUnavailableError("no answer from the relay") from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise RelayUnavailableError(f"no relay: {error}") from None
    connection.enable_peer_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
    return connection


async def _ask(relay: Address, target: Address) -> Connection:
    connection = await Connection.open(relay)
    is_switched = False
    try:
        status = await _request_switch(connection, relay, target)
        is_switched = status == 101
    finally:
        if not is_switched:
            await connection.reset()
    if status == REFUSED_STATUS:
        raise TargetRefusedError("refused, also at the relay")
    if status == UNREACHED_STATUS:
        raise RequestNotSentError("not reached, also at the relay")
    if not is_switched:
        raise RelayUnavailableError(f"status {status}")
    return connection


async def _request_switch(
    connection: Connection, relay: Address, target: Address
) -> int:
    """Ask to relay, and return the status of the answer."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    headers = [
        ("host", str(relay)),
        ("connection", "upgrade"),
        ("upgrade", RELAY_PROTOCOL),
    ]
    head = h11.Request(method="GET", target=f"{RELAY_PATH}?{target}", headers=headers)
    await connection.send_all(
        (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")
    )
    while True:
        event = http.next_event()
        if isinstance(event, h11.InformationalResponse | h11.Response):
            return int(event.status_code)
        if event is not h11.NEED_DATA:
            raise ConnectionResetError("closed before the answer")
        http.receive_data(await connection.read())

"""Relays connections to targets for hosts that have lost their own path to them.

A host asks with ``GET /v1/relay?ADDRESS`` and an upgrade. Once the other host has
connected to the target, each side gets the other one's bytes; those of the target are
framed, so that the asker knows its end from the end of the host that relays. Askers of
earlier builds get them unframed. An answer that doesn't end in the ordinary way is
reset for the asker.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Mapping

import curio
import h11

from bramleyspread_core import Address
from bramleyspread_daemon._client import RequestNotSentError, TargetRefusedError
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon.forward._relayed_connection import (
    END,
    RelayedConnection,
    encode_part,
)
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
RELAY_PROTOCOL = "bramleyspread-relay/2"
#: Its name in earlier builds, where the target's bytes are not framed.
UNFRAMED_PROTOCOL = "bramleyspread-relay"
#: Interval at which a host that stops checks whether all relayed connections are
#: closed, in seconds.
STOP_CHECK_INTERVAL_S = 0.005
#: Timeout for the connection to a target, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Timeout for all of another host's answer, in seconds.
ASK_TIMEOUT_S = 0.4
#: Maximum number of connections that one host relays at once.
MAX_RELAYED = 512
#: Maximum size of the head of an answer, in bytes.
MAX_HEAD_BYTES = 16_384
#: Header with the revision of the zone drains that the asker obeys; 0 without it.
DRAINS_HEADER = "x-zone-drains"
#: Status with which a host answers that the target refuses connections.
REFUSED_STATUS = 502
#: Maximum number of digits of that revision.
MAX_REVISION_DIGITS = 18
#: Status with which a host answers that the target can't be reached.
UNREACHED_STATUS = 504


class RelayService:
    """Relays connections of other hosts to targets.

    :param connector: opens the connections to targets.
    :param may_relay: whether an address may be connected to for a host that obeys the
        zone drains of a revision.
    :param is_stopping: whether this host is about to stop, so that it relays no new
        connections.
    """

    def __init__(
        self,
        connector: TargetConnector[UpstreamConnection],
        may_relay: Callable[[Address, int], bool],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._connector = connector
        self._may_relay = may_relay
        self._is_stopping = is_stopping
        self._groups: set[curio.TaskGroup] = set()
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
        revision = _read_revision(http.headers)
        if is_full or self._is_stopping() or not self._may_relay(address, revision):
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
            is_framed = RELAY_PROTOCOL in _list_protocols(http.headers)
            reply.switch(
                RELAY_PROTOCOL if is_framed else UNFRAMED_PROTOCOL,
                lambda asker, early: self._splice(asker, target, early, is_framed),
            )

    async def stop(self) -> None:
        """Reset all connections that are still relayed.

        If they were only closed, askers of earlier builds would take answers for whole.
        """
        for group in tuple(self._groups):
            await group.cancel_remaining()
        while self.open:
            await curio.sleep(STOP_CHECK_INTERVAL_S)

    async def _splice(
        self, asker: Connection, target: Connection, early: bytes, is_framed: bool
    ) -> bool:
        """Pass bytes both ways until either side closes.

        :param asker: the connection to the host that asked.
        :param target: the connection to the target.
        :param early: bytes that the asker has sent already.
        :param is_framed: whether the target's bytes are framed.
        :returns: whether the asker's connection was reset, since the target has not
            closed its own in the ordinary way.
        """
        asker.enable_peer_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
        backward = _BackwardPump(target, asker, is_framed)
        try:
            async with curio.TaskGroup(wait=any) as group:
                self._groups.add(group)
                await group.spawn(_pump, asker, target, early)
                await group.spawn(backward.run)
        finally:
            self._groups.discard(group)
            if not backward.has_ended:
                await asker.reset()
            self.open -= 1
            await target.reset()
        return not backward.has_ended


class _BackwardPump:
    """Passes on what a target sends to the host that asked.

    :param target: the connection to the target.
    :param asker: the connection to the host that asked.
    :param is_framed: whether the bytes are framed.
    """

    def __init__(self, target: Connection, asker: Connection, is_framed: bool) -> None:
        self._target = target
        self._asker = asker
        self._is_framed = is_framed
        #: Whether the target has closed in the ordinary way, and all was passed on.
        self.has_ended = False

    async def run(self) -> None:
        """Pass bytes on until either side closes."""
        with contextlib.suppress(OSError):
            while data := await self._target.read():
                await self._asker.send_all(
                    encode_part(data) if self._is_framed else data
                )
            if self._target.was_reset:
                return
            if self._is_framed:
                await self._asker.send_all(END)
            self.has_ended = True


async def _pump(source: Connection, sink: Connection, early: bytes) -> None:
    with contextlib.suppress(OSError):
        if early:
            await sink.send_all(early)
        while data := await source.read():
            await sink.send_all(data)


def _read_revision(headers: Mapping[str, str]) -> int:
    """Read the revision of the zone drains that the asker obeys."""
    text = headers.get(DRAINS_HEADER, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_REVISION_DIGITS
    return int(text) if is_number else 0


def _list_protocols(headers: Mapping[str, str]) -> list[str]:
    """List the protocols that a peer offers to switch to, the preferred one first."""
    return [each.strip() for each in headers.get("upgrade", "").split(",")]


async def open_relayed(
    relay: Address, target: Address, drains_revision: int = 0
) -> Connection:
    """Connect to a target through another host.

    :param relay: address of the host.
    :param target: address of the target.
    :param drains_revision: revision of the zone drains that this host obeys.
    :returns: a connection whose peer is the target.
    :raises TargetRefusedError: if the target refuses connections there.
    :raises RelayUnavailableError: if that host does not relay, or doesn't answer.
    :raises RequestNotSentError: if that host doesn't reach the target.
    """
    try:
        connection: Connection = await timeout_after(
            ASK_TIMEOUT_S, _ask, relay, target, drains_revision
        )
    except curio.TaskTimeout:
        raise RelayUnavailableError("no answer from the relay") from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise RelayUnavailableError(f"no relay: {error}") from None
    connection.enable_peer_timeout(UNACKNOWLEDGED_TIMEOUT_MS)
    return connection


async def _ask(relay: Address, target: Address, drains_revision: int) -> Connection:
    connection = await Connection.open(relay)
    switched: RelayedConnection | None = None
    try:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        answer = await _request_switch(connection, http, relay, target, drains_revision)
        if answer.status_code == 101:
            headers = {k.decode(): v.decode("latin-1") for k, v in answer.headers}
            switched = RelayedConnection(
                connection.detach_socket(),
                relay,
                http.trailing_data[0],
                is_framed=RELAY_PROTOCOL in _list_protocols(headers),
            )
    finally:
        if switched is None:
            await connection.reset()
    if answer.status_code == REFUSED_STATUS:
        raise TargetRefusedError("refused, also at the relay")
    if answer.status_code == UNREACHED_STATUS:
        raise RequestNotSentError("not reached, also at the relay")
    if switched is None:
        raise RelayUnavailableError(f"status {answer.status_code}")
    return switched


async def _request_switch(
    connection: Connection,
    http: h11.Connection,
    relay: Address,
    target: Address,
    drains_revision: int,
) -> h11.InformationalResponse | h11.Response:
    """Ask to relay, and return the head of the answer."""
    headers = [
        ("host", str(relay)),
        ("connection", "upgrade"),
        ("upgrade", f"{RELAY_PROTOCOL}, {UNFRAMED_PROTOCOL}"),
        (DRAINS_HEADER, str(drains_revision)),
    ]
    head = h11.Request(method="GET", target=f"{RELAY_PATH}?{target}", headers=headers)
    await connection.send_all(
        (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")
    )
    while True:
        event = http.next_event()
        if isinstance(event, h11.InformationalResponse | h11.Response):
            return event
        if event is not h11.NEED_DATA:
            raise ConnectionResetError("closed before the answer")
        http.receive_data(await connection.read())

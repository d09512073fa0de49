"""Client for the HTTP interface of the control hosts."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from bramleyspread_core import (
    Address,
    Command,
    CommandResult,
    ControlStatus,
    DocumentText,
    Fault,
    MessageError,
    NotLeader,
    Reason,
    Undecided,
    ZoneDrainsReport,
    ZoneOrder,
    decode_json,
    encode_json,
)
from bramleyspread_tool._http import Reply, exchange

T = TypeVar("T")

#: How long a command is retried, in seconds.
COMMAND_TIMEOUT_S = 10.0
#: Pause between two rounds over the control hosts, in seconds.
RETRY_PAUSE_S = 0.2
#: Path at which the control hosts read and take orders to drain zones.
ZONE_DRAINS_PATH = "/v1/control/zone-drains"
HTTP_OK = 200

#: Sends one HTTP request and returns the reply; replaced in tests.
Exchange = Callable[[Address, str, str, bytes], Reply | Fault]


class ControlClient:
    """Sends queries and commands to the control hosts.

    Commands are handled by the leader; a host that is not the leader replies with
    the leader's address. A command is resent with the same change id until a host
    decides it. Resending is safe because a change id is applied only once.
    """

    __slots__ = ("_addresses", "_exchange", "_sleep", "_clock")

    def __init__(
        self,
        addresses: Sequence[Address],
        exchange: Exchange = exchange,
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._addresses = tuple(addresses)
        self._exchange = exchange
        self._sleep = sleep
        self._clock = clock

    def run_command(self, command: Command) -> CommandResult | Fault:
        """Send a command and retry until it is decided or the time limit is reached.

        :param command: the command.
        :returns: the result; a fault if it is certain that no host received the
            command; ``Undecided`` if a host may have received it.
        """
        return self._run("/v1/control/commands", encode_json(command))

    def order_zone(self, order: ZoneOrder) -> CommandResult | Fault:
        """Give an order to drain or undrain a zone, and retry as for commands.

        :param order: the order; giving it again is harmless.
        :returns: as :meth:`run_command`.
        """
        return self._run(ZONE_DRAINS_PATH, encode_json(order))

    def _run(self, path: str, body: bytes) -> CommandResult | Fault:
        deadline = self._clock() + COMMAND_TIMEOUT_S
        may_have_arrived = False
        leader: Address | None = None
        fault = Fault(Reason.CONNECT, "command", "-", "no control host")
        while True:
            for address in (leader, *self._addresses) if leader else self._addresses:
                answer = self._post(address, path, body, CommandResult)
                if isinstance(answer, NotLeader):
                    leader = answer.leader
                    continue
                if isinstance(answer, Fault):
                    fault = answer
                    may_have_arrived |= answer.reason is not Reason.CONNECT
                    leader = None
                    continue
                if not isinstance(answer, Undecided):
                    return answer
                may_have_arrived = True
            if self._clock() >= deadline:
                return Undecided(str(fault)) if may_have_arrived else fault
            self._sleep(RETRY_PAUSE_S)

    def list_documents(self) -> tuple[DocumentText, ...] | Fault:
        """List the documents in force, from the host with the latest revision.

        :returns: the list with the highest revision among the control hosts'
            replies, or the last fault if no host replied.
        """
        newest: tuple[DocumentText, ...] | None = None
        fault = Fault(Reason.CONNECT, "documents", "-", "no control host")
        for address in self._addresses:
            answer = self._get(
                address,
                "/v1/control/documents-in-force",
                tuple[DocumentText, ...],
            )
            if isinstance(answer, Fault):
                fault = answer
            elif newest is None or _max_revision(answer) > _max_revision(newest):
                newest = answer
        return fault if newest is None else newest

    def list_statuses(self) -> tuple[ControlStatus | Fault, ...]:
        """Fetch the status of every control host.

        :returns: a status or a fault for each host, in the configured order.
        """
        return tuple(
            self._get(address, "/v1/control/status", ControlStatus)
            for address in self._addresses
        )

    def list_drain_reports(self) -> tuple[ZoneDrainsReport | Fault, ...]:
        """Fetch the zone drains from every control host.

        :returns: a report or a fault for each host, in the configured order.
        """
        return tuple(
            self._get(address, ZONE_DRAINS_PATH, ZoneDrainsReport)
            for address in self._addresses
        )

    def _get(self, address: Address, path: str, kind: type[T]) -> T | Fault:
        return self._decode_reply(
            address, path, self._exchange(address, "GET", path, b""), kind
        )

    def _post(
        self,
        address: Address,
        path: str,
        body: bytes,
        kind: object,
    ) -> CommandResult | Fault:
        reply = self._exchange(address, "POST", path, body)
        return self._decode_reply(address, path, reply, kind)  # type: ignore[arg-type]

    @staticmethod
    def _decode_reply(
        address: Address,
        path: str,
        reply: Reply | Fault,
        kind: type[T],
    ) -> T | Fault:
        if isinstance(reply, Fault):
            return reply
        if reply.status != HTTP_OK:
            detail = f"HTTP {reply.status}: {reply.body[:200]!r}"
            return Fault(Reason.REFUSED, path, str(address), detail)
        try:
            return decode_json(reply.body, kind)
        except MessageError as error:
            return Fault(Reason.PROTOCOL, path, str(address), str(error))


def _max_revision(documents: Sequence[DocumentText]) -> int:
    return max((each.revision for each in documents), default=0)

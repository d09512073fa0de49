"""Questions and commands to the control hosts."""

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
    decode_json,
    encode_json,
)
from bramleyspread_tool._http import Reply, exchange

T = TypeVar("T")

#: How long a command is tried for, in seconds.
COMMAND_TIMEOUT_S = 10.0
#: Pause before the control hosts are tried again, in seconds.
PAUSE_S = 0.2
#: The status of an answer that carries what was asked for.
HTTP_OK = 200

#: How one exchange is made; replaced in tests.
Exchange = Callable[[Address, str, str, bytes], Reply | Fault]


class ControlHosts:
    """The control hosts, as the tool reaches them.

    A command goes to the leader: a host that is not the leader says where it
    is. The same command, with the same change id, is sent again until some
    host decides; that is safe, because a change id counts once.
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
        """Send a command until it is decided or the time is up.

        :param command: the command.
        :returns: the result; a fault when certainly no host has seen it;
            ``Undecided`` when a host may have taken it.
        """
        body = encode_json(command)
        until = self._clock() + COMMAND_TIMEOUT_S
        perhaps_seen = False
        hint: Address | None = None
        fault = Fault(Reason.CONNECT, "command", "-", "no control host")
        while True:
            for address in (hint, *self._addresses) if hint else self._addresses:
                answer = self._ask(address, "/v1/control/commands", body, CommandResult)
                if isinstance(answer, NotLeader):
                    hint = answer.leader
                    continue
                if isinstance(answer, Fault):
                    fault = answer
                    perhaps_seen |= answer.reason is not Reason.CONNECT
                    hint = None
                    continue
                if not isinstance(answer, Undecided):
                    return answer
                perhaps_seen = True
            if self._clock() >= until:
                return Undecided(str(fault)) if perhaps_seen else fault
            self._sleep(PAUSE_S)

    def list_documents(self) -> tuple[DocumentText, ...] | Fault:
        """List the documents in force, from the host that knows the most.

        :returns: the newest list that any control host gave, or the last fault.
        """
        best: tuple[DocumentText, ...] | None = None
        fault = Fault(Reason.CONNECT, "documents", "-", "no control host")
        for address in self._addresses:
            answer = self._get(
                address,
                "/v1/control/documents-in-force",
                tuple[DocumentText, ...],
            )
            if isinstance(answer, Fault):
                fault = answer
            elif best is None or _newest(answer) > _newest(best):
                best = answer
        return fault if best is None else best

    def list_statuses(self) -> tuple[ControlStatus | Fault, ...]:
        """Ask every control host for its status.

        :returns: a status or a fault for each host, in the order given.
        """
        return tuple(
            self._get(address, "/v1/control/status", ControlStatus)
            for address in self._addresses
        )

    def _get(self, address: Address, path: str, kind: type[T]) -> T | Fault:
        return self._read(
            address, path, self._exchange(address, "GET", path, b""), kind
        )

    def _ask(
        self,
        address: Address,
        path: str,
        body: bytes,
        kind: object,
    ) -> CommandResult | Fault:
        reply = self._exchange(address, "POST", path, body)
        return self._read(address, path, reply, kind)  # type: ignore[arg-type]

    @staticmethod
    def _read(
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


def _newest(documents: Sequence[DocumentText]) -> int:
    return max((each.revision for each in documents), default=0)

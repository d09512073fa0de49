"""An entry host's client of the control hosts."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import curio

from bramleyspread_core import (
    Address,
    Command,
    CommandResult,
    DocumentsPage,
    DocumentsQuery,
    MessageError,
    NotLeader,
    TargetsReport,
    Undecided,
    ZoneName,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool

COMMANDS_PATH = "/v1/control/commands"
DOCUMENTS_PATH = "/v1/control/documents"
TARGETS_PATH = "/v1/control/targets"
#: Timeout for one attempt to send a command.
ATTEMPT_TIMEOUT_S = 0.5
#: Timeout for a documents query or a targets report.
QUERY_TIMEOUT_S = 1.0
#: Minimum and maximum pause before the next attempt while no leader is known.
RETRY_PAUSE_RANGE_S = (0.02, 0.06)


class ControlClient:
    """Finds the leader, and resends commands until they are decided or time out.

    Each command carries its own id, so resending it is safe.
    """

    def __init__(
        self,
        hosts: Sequence[tuple[Address, ZoneName]],
        zone: ZoneName,
        pool: ConnectionPool,
        rng: Random,
    ) -> None:
        own_zone = [address for address, host_zone in hosts if host_zone == zone]
        other_zones = [address for address, host_zone in hosts if host_zone != zone]
        rng.shuffle(other_zones)
        self._hosts = own_zone + other_zones
        self._pool = pool
        self._rng = rng
        self._leader: Address | None = None
        self._attempt_rotation = 0
        self._poll_rotation = 0
        #: Number of attempts to send a command.
        self.command_attempts = 0
        #: Number of those attempts that reached no leader or got no answer.
        self.failed_commands = 0

    @property
    def hosts(self) -> Sequence[Address]:
        """The control hosts; those of this availability zone come first."""
        return self._hosts

    async def submit(self, command: Command, timeout: float) -> CommandResult:
        """Send a command repeatedly until a leader decides it.

        :param command: the command.
        :param timeout: the timeout for all attempts together, in seconds.
        :returns: the result; ``Undecided`` when no leader answered in time.
        """
        body = encode_json(command)
        deadline = read_monotonic() + timeout
        why = "no control hosts in the settings"
        while self._hosts and (remaining_s := deadline - read_monotonic()) > 0:
            address = self._leader or self._next_host()
            self.command_attempts += 1
            result = await self._send_command(
                address, body, min(remaining_s, ATTEMPT_TIMEOUT_S)
            )
            if not isinstance(result, NotLeader | Undecided):
                self._leader = address
                return result
            self.failed_commands += 1
            why = self._update_leader(address, result)
            if self._leader is None:
                await curio.sleep(self._rng.uniform(*RETRY_PAUSE_RANGE_S))
        return Undecided(why)

    def _next_host(self) -> Address:
        self._attempt_rotation += 1
        return self._hosts[self._attempt_rotation % len(self._hosts)]

    def _update_leader(self, address: Address, result: NotLeader | Undecided) -> str:
        """Update the known leader after a failed attempt, and return its reason."""
        if isinstance(result, Undecided):
            self._leader = None
            return result.why
        hint = result.leader
        is_usable = hint is not None and hint in self._hosts and hint != address
        self._leader = hint if is_usable else None
        return f"{address} is not the leader"

    async def _send_command(
        self, address: Address, body: bytes, timeout: float
    ) -> CommandResult:
        try:
            response = await self._pool.request(address, COMMANDS_PATH, body, timeout)
            if response.status != 200:
                return Undecided(f"{address} answered status {response.status}")
            result: CommandResult = decode_json(response.body, CommandResult)
        except (RequestNotSentError, ConnectionClosedError, MessageError) as error:
            return Undecided(f"{address}: {error}")
        return result

    async def poll_documents(self, query: DocumentsQuery) -> DocumentsPage | None:
        """Query one control host for newer documents, rotating over the hosts.

        Every second query goes to the first host, which is in this availability zone
        if any is.

        :param query: the querying host and its revision.
        :returns: the page, or None when the host did not answer.
        """
        if not self._hosts:
            return None
        turn = self._poll_rotation
        self._poll_rotation += 1
        position = 0 if turn % 2 == 0 else (turn // 2 + 1)
        address = self._hosts[position % len(self._hosts)]
        return await self.query_documents(address, query)

    async def query_documents(
        self, address: Address, query: DocumentsQuery
    ) -> DocumentsPage | None:
        """Query one control host for newer documents.

        :param address: the address of the control host.
        :param query: the querying host and its revision.
        :returns: the page, or None when the host did not answer.
        """
        body = encode_json(query)
        try:
            response = await self._pool.request(
                address, DOCUMENTS_PATH, body, QUERY_TIMEOUT_S
            )
            if response.status != 200:
                return None
            page: DocumentsPage = decode_json(response.body, DocumentsPage)
        except (RequestNotSentError, ConnectionClosedError, MessageError):
            return None
        return page

    async def report_targets(self, report: TargetsReport) -> bool:
        """Report the targets that announce themselves to this host to the leader.

        :param report: their latest announcements.
        :returns: whether a leader accepted the report.
        """
        body = encode_json(report)
        for _ in range(len(self._hosts)):
            address = self._leader or self._next_host()
            try:
                response = await self._pool.request(
                    address, TARGETS_PATH, body, QUERY_TIMEOUT_S
                )
            except (RequestNotSentError, ConnectionClosedError):
                self._leader = None
                continue
            if response.status == 204:
                self._leader = address
                return True
            self._update_leader(address, _read_hint(response.body))
        return False


def _read_hint(body: bytes) -> NotLeader:
    try:
        hint: NotLeader = decode_json(body, NotLeader)
    except MessageError:
        return NotLeader()
    return hint

"""An entry host's link to the control hosts."""

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
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool

COMMANDS_PATH = "/v1/control/commands"
DOCUMENTS_PATH = "/v1/control/documents"
TARGETS_PATH = "/v1/control/targets"
#: Most time that one control host is waited for, in seconds.
TRY_S = 0.5
#: Most time for an answer to a question for documents, in seconds.
POLL_S = 1.0
#: Shortest and longest pause between tries that met no leader, in seconds.
PAUSE_S = (0.02, 0.06)


class ControlLink:
    """Finds the leader, and resends a command until its time is over.

    A command carries its own id, so that a resend is harmless.
    """

    def __init__(
        self,
        hosts: Sequence[tuple[Address, ZoneName]],
        zone: ZoneName,
        pool: ConnectionPool,
        rng: Random,
    ) -> None:
        own = [address for address, where in hosts if where == zone]
        others = [address for address, where in hosts if where != zone]
        rng.shuffle(others)
        self._hosts = own + others
        self._pool = pool
        self._rng = rng
        self._leader: Address | None = None
        self._next_try = 0
        self._next_poll = 0
        #: Commands sent, each try counted.
        self.tries = 0
        #: Tries that met no leader or no answer.
        self.misses = 0

    @property
    def hosts(self) -> Sequence[Address]:
        """The control hosts, this availability zone's first."""
        return self._hosts

    async def ask(self, command: Command, timeout: float) -> CommandResult:
        """Send a command until a leader decides it.

        :param command: the command.
        :param timeout: most time for it, in seconds.
        :returns: the result; ``Undecided`` when no leader answered in time.
        """
        body = encode_json(command)
        until = read_monotonic() + timeout
        why = "no control hosts in the settings"
        while self._hosts and (left := until - read_monotonic()) > 0:
            address = self._leader or self._rotate()
            self.tries += 1
            result = await self._try_once(address, body, min(left, TRY_S))
            if not isinstance(result, NotLeader | Undecided):
                self._leader = address
                return result
            self.misses += 1
            why = self._learn(address, result)
            if self._leader is None:
                await curio.sleep(self._rng.uniform(*PAUSE_S))
        return Undecided(why)

    def _rotate(self) -> Address:
        self._next_try += 1
        return self._hosts[self._next_try % len(self._hosts)]

    def _learn(self, address: Address, result: NotLeader | Undecided) -> str:
        """Take over what a miss says about the leader."""
        if isinstance(result, Undecided):
            self._leader = None
            return result.why
        hint = result.leader
        known = hint is not None and hint in self._hosts and hint != address
        self._leader = hint if known else None
        return f"{address} is not the leader"

    async def _try_once(
        self, address: Address, body: bytes, timeout: float
    ) -> CommandResult:
        try:
            response = await self._pool.ask(address, COMMANDS_PATH, body, timeout)
            if response.status != 200:
                return Undecided(f"{address} answered status {response.status}")
            result: CommandResult = decode_json(response.body, CommandResult)
        except (UnsentError, ClosedError, MessageError) as error:
            return Undecided(f"{address}: {error}")
        return result

    async def poll(self, query: DocumentsQuery) -> DocumentsPage | None:
        """Ask one control host for newer documents; another one each time.

        Every second question goes to a host of this availability zone.

        :param query: who asks, and what is known.
        :returns: the page, or None when it did not answer.
        """
        if not self._hosts:
            return None
        turn = self._next_poll
        self._next_poll += 1
        position = 0 if turn % 2 == 0 else (turn // 2 + 1)
        address = self._hosts[position % len(self._hosts)]
        return await self.ask_documents(address, query)

    async def ask_documents(
        self, address: Address, query: DocumentsQuery
    ) -> DocumentsPage | None:
        """Ask one control host for newer documents.

        :param address: the control host.
        :param query: who asks, and what is known.
        :returns: the page, or None when it did not answer.
        """
        body = encode_json(query)
        try:
            response = await self._pool.ask(address, DOCUMENTS_PATH, body, POLL_S)
            if response.status != 200:
                return None
            page: DocumentsPage = decode_json(response.body, DocumentsPage)
        except (UnsentError, ClosedError, MessageError):
            return None
        return page

    async def report_targets(self, report: TargetsReport) -> bool:
        """Tell the leader about the targets that this host heard itself.

        :param report: their newest announcements.
        :returns: whether a leader took it.
        """
        body = encode_json(report)
        for _ in range(len(self._hosts)):
            address = self._leader or self._rotate()
            try:
                response = await self._pool.ask(address, TARGETS_PATH, body, POLL_S)
            except (UnsentError, ClosedError):
                self._leader = None
                continue
            if response.status == 204:
                self._leader = address
                return True
            self._learn(address, _read_hint(response.body))
        return False


def _read_hint(body: bytes) -> NotLeader:
    try:
        hint: NotLeader = decode_json(body, NotLeader)
    except MessageError:
        return NotLeader()
    return hint

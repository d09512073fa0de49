"""A control host in virtual time: its decisions over a folder in memory."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from bramleyspread_control import (
    ControlConfig,
    ControlHost,
    ControlMember,
    CorruptFileError,
    MemoryDisk,
)
from bramleyspread_core import (
    Command,
    CommandResult,
    DocumentsPage,
    DocumentsQuery,
    Happening,
    PeerMessage,
)
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process

#: Between two ticks, in seconds.
TICK = 0.01


class ControlProcess(Process):
    """A control host, its data folder, and how the others reach it."""

    def __init__(
        self,
        member: ControlMember,
        members: tuple[ControlMember, ...],
        groups: int,
        agenda: Agenda,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(member.host, member.zone, agenda, rng)
        self._config = ControlConfig(
            member.host, member.zone, member.address, members, groups
        )
        self._network = network
        self._ledger = ledger
        self._disk = MemoryDisk()
        self._node: ControlHost | None = None
        self._replies: dict[int, Callable[[CommandResult], None]] = {}
        self._ticket = 0
        network.register(member.address, self)

    @property
    def node(self) -> ControlHost:
        """Its decisions; only while it is alive."""
        assert self._node is not None
        return self._node

    def start(self) -> None:
        """Start it on what its folder holds."""
        super().start()
        self._replies.clear()
        rng = Random(self.rng.getrandbits(64))
        try:
            self._node = ControlHost.from_config(
                self._config, self._disk, rng, self.now
            )
        except CorruptFileError as error:
            refused = Happening("start-refused", step="load", detail=str(error))
            self._ledger.note(self._agenda.now, self.name, refused)
            super().kill()
            return
        self.every(TICK, self._tick)

    def kill(self) -> None:
        """End it; what was not synced may be lost."""
        if self.alive:
            self._disk = self._disk.lose_power(self.rng)
        self._node = None
        super().kill()

    def lose_disk(self) -> None:
        """End it, and leave an empty folder in place of its own."""
        self.kill()
        self._disk = MemoryDisk()

    def hand_over(self) -> None:
        """Pass leadership on before a planned stop."""
        self.node.hand_over(self.now)
        self._flush()

    def leads(self) -> bool:
        """Whether it leads the documents' group, as far as it knows."""
        return self.alive and self.node.report_status(self.now).roles["0"] == "leader"

    def take_command(
        self, command: Command, reply: Callable[[CommandResult], None]
    ) -> None:
        """Take a command from another process.

        :param command: the command.
        :param reply: called at most once.
        """
        self._ticket += 1
        self._replies[self._ticket] = reply
        self.node.propose(self._ticket, command, self.now)
        self._flush()

    def take_query(
        self, query: DocumentsQuery, reply: Callable[[DocumentsPage], None]
    ) -> None:
        """Take an entry host's question for newer documents.

        :param query: the question.
        :param reply: called once.
        """
        reply(self.node.answer_query(query, self.now))

    def _take_message(self, message: PeerMessage) -> None:
        self.node.receive(message, self.now)
        self._flush()

    def _tick(self) -> None:
        self.node.tick(self.now)
        self._flush()

    def _flush(self) -> None:
        output = self.node.flush(self.now)
        for send in output.sends:
            peer = self._network.find(send.address)
            assert isinstance(peer, ControlProcess)
            self._network.send(self, peer, _bind(peer, send.message))
        for happening in output.happenings:
            self._ledger.note(self._agenda.now, self.name, happening)
        for each in output.replies:
            reply = self._replies.pop(each.ticket, None)
            if reply is not None:
                reply(each.result)


def _bind(peer: ControlProcess, message: PeerMessage) -> Callable[[], None]:
    return lambda: peer._take_message(message)

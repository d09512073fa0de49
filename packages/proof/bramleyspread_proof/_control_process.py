"""A simulated control host: the real control logic over an in-memory disk."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from bramleyspread_control import (
    ControlConfig,
    ControlHost,
    ControlMember,
    CorruptFileError,
    MemoryDisk,
    RecoveringControlHost,
)
from bramleyspread_core import (
    Command,
    CommandResult,
    DocumentsPage,
    DocumentsQuery,
    PeerMessage,
    UnstampedEvent,
)
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process

#: Interval between two ticks, in seconds.
TICK_S = 0.01


class ControlProcess(Process):
    """A control host with its disk and its network endpoint."""

    def __init__(
        self,
        member: ControlMember,
        members: tuple[ControlMember, ...],
        groups: int,
        scheduler: Scheduler,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(member.host, member.zone, scheduler, rng)
        self._config = ControlConfig(
            member.host, member.zone, member.address, members, groups
        )
        #: Address at which it listens.
        self.address = member.address
        self._network = network
        self._ledger = ledger
        self._disk = MemoryDisk()
        self._node: RecoveringControlHost | None = None
        self._replies: dict[int, Callable[[CommandResult], None]] = {}
        self._last_ticket = 0
        network.register(member.address, self)

    @property
    def node(self) -> RecoveringControlHost:
        """The control logic; available only while the process is alive."""
        assert self._node is not None
        return self._node

    def start(self) -> None:
        """Start the host from the contents of its disk."""
        super().start()
        self._replies.clear()
        try:
            self._node = RecoveringControlHost.from_config(
                self._config, self._open_host, self.now
            )
        except CorruptFileError as error:
            refused = UnstampedEvent("start-refused", step="load", detail=str(error))
            self._ledger.record_event(self._scheduler.now, self.name, refused)
            super().kill()
            return
        self.call_every(TICK_S, self._tick)

    def _open_host(self, now: float) -> ControlHost:
        rng = Random(self.rng.getrandbits(64))
        return ControlHost.from_config(self._config, self._disk, rng, now)

    def fill_disk(self) -> None:
        """Leave no space on the disk, so that every write fails."""
        self._disk.free_bytes = 0

    def free_disk(self) -> None:
        """Remove the limit on the space of the disk."""
        self._disk.free_bytes = None

    def kill(self) -> None:
        """End the process; writes that were not synced may be lost."""
        if self.alive:
            self._disk = self._disk.lose_power(self.rng)
        self._node = None
        super().kill()

    def lose_disk(self) -> None:
        """End the process and replace its disk with an empty one."""
        self.kill()
        self._disk = MemoryDisk()

    def transfer_leadership(self) -> None:
        """Transfer leadership to another host before a planned stop."""
        self.node.transfer_leadership(self.now)
        self._flush()

    def is_leader(self) -> bool:
        """Whether the host believes that it leads the consensus group of documents."""
        return self.alive and self.node.report_status(self.now).roles["0"] == "leader"

    def handle_command(
        self, command: Command, reply: Callable[[CommandResult], None]
    ) -> None:
        """Handle a command from another process.

        :param command: the command.
        :param reply: called at most once, with the result.
        """
        self._last_ticket += 1
        self._replies[self._last_ticket] = reply
        self.node.propose(self._last_ticket, command, self.now)
        self._flush()

    def handle_query(
        self, query: DocumentsQuery, reply: Callable[[DocumentsPage], None]
    ) -> None:
        """Handle an entry host's query for newer documents.

        :param query: the query.
        :param reply: called once, with the response.
        """
        reply(self.node.answer_query(query, self.now))

    def _handle_message(self, message: PeerMessage) -> None:
        self.node.receive(message, self.now)
        self._flush()

    def _tick(self) -> None:
        self.node.tick(self.now)
        self._flush()

    def _flush(self) -> None:
        output = self.node.flush(self.now)
        for send in output.sends:
            peer = self._network.find_process(send.address)
            assert isinstance(peer, ControlProcess)
            self._network.send(self, peer, _make_delivery(peer, send.message))
        for event in output.events:
            self._ledger.record_event(self._scheduler.now, self.name, event)
        for each in output.replies:
            reply = self._replies.pop(each.ticket, None)
            if reply is not None:
                reply(each.result)


def _make_delivery(peer: ControlProcess, message: PeerMessage) -> Callable[[], None]:
    return lambda: peer._handle_message(message)

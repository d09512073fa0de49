"""The simulated network between processes: delays and one-way partitions."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from bramleyspread_core import Address
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._process import Action, Process

#: One-way delay within an availability zone, in seconds.
INTRA_ZONE_DELAY_S = 0.0003
#: One-way delay between availability zones, in seconds.
INTER_ZONE_DELAY_S = 0.0015
#: Maximum random addition to a delay, as a share of that delay.
MAX_JITTER_SHARE = 1.0


class Network:
    """Delivers messages between processes, unless a cut drops them."""

    def __init__(self, scheduler: Scheduler, rng: Random) -> None:
        self._scheduler = scheduler
        self._rng = Random(rng.getrandbits(64))
        self._cut_links: set[tuple[str, str]] = set()
        self._addresses: dict[Address, Process] = {}

    def register(self, address: Address, process: Process) -> None:
        """Register the process that listens at an address.

        :param address: the address.
        :param process: the process.
        """
        self._addresses[address] = process

    def find_process(self, address: Address) -> Process:
        """Return the process that listens at an address.

        :param address: the address.
        :returns: the process, which may be dead.
        """
        return self._addresses[address]

    def cut(self, sources: Iterable[Process], targets: Iterable[Process]) -> None:
        """Drop all messages from some processes to others, in this direction only.

        :param sources: the senders.
        :param targets: the receivers.
        """
        targets = tuple(targets)
        for source in sources:
            for target in targets:
                if source is not target:
                    self._cut_links.add((source.name, target.name))

    def heal(self) -> None:
        """Remove all cuts."""
        self._cut_links.clear()

    @property
    def has_no_cuts(self) -> bool:
        """Whether no messages are dropped."""
        return not self._cut_links

    def is_cut(self, source: Process, target: Process) -> bool:
        """Whether messages from one process to another are dropped.

        :param source: the sender.
        :param target: the receiver.
        :returns: True if they are dropped.
        """
        return (source.name, target.name) in self._cut_links

    def can_connect(self, source: Process, target: Process) -> bool:
        """Whether a connection between two processes can be established.

        :param source: the process that connects.
        :param target: the process that listens.
        :returns: True if neither direction is cut.
        """
        return not (self.is_cut(source, target) or self.is_cut(target, source))

    def draw_delay(self, source: Process, target: Process) -> float:
        """Draw the random one-way delay of a message, in seconds."""
        base = INTRA_ZONE_DELAY_S if source.zone == target.zone else INTER_ZONE_DELAY_S
        return base * (1.0 + MAX_JITTER_SHARE * self._rng.random())

    def send(self, source: Process, target: Process, action: Action) -> None:
        """Send a one-way message.

        :param source: the sender.
        :param target: the receiver.
        :param action: the action to run at the receiver.
        """
        if self.is_cut(source, target):
            return
        delay = self.draw_delay(source, target)
        self._scheduler.call_later(delay, lambda: target.deliver(action))

"""The network between processes: delays, cuts in either direction, resets."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from bramleyspread_core import Address
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._process import Action, Process

#: One way within an availability zone, in seconds.
NEAR = 0.0003
#: One way between availability zones, in seconds.
FAR = 0.0015
#: Most added by chance, as a share of the delay.
JITTER = 1.0


class Network:
    """Carries what processes send one another, if no cut is in the way."""

    def __init__(self, agenda: Agenda, rng: Random) -> None:
        self._agenda = agenda
        self._rng = Random(rng.getrandbits(64))
        self._cuts: set[tuple[str, str]] = set()
        self._addresses: dict[Address, Process] = {}

    def register(self, address: Address, process: Process) -> None:
        """Give a process its address.

        :param address: where it listens.
        :param process: the process.
        """
        self._addresses[address] = process

    def find(self, address: Address) -> Process:
        """Find who listens at an address.

        :param address: the address.
        :returns: the process, dead or alive.
        """
        return self._addresses[address]

    def cut(self, sources: Iterable[Process], targets: Iterable[Process]) -> None:
        """Lose everything from some processes to others; not the way back.

        :param sources: who sends.
        :param targets: who no longer receives.
        """
        targets = tuple(targets)
        for source in sources:
            for target in targets:
                if source is not target:
                    self._cuts.add((source.name, target.name))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    @property
    def whole(self) -> bool:
        """Whether nothing is cut."""
        return not self._cuts

    def is_cut(self, source: Process, target: Process) -> bool:
        """Whether what one process sends is lost to another.

        :param source: who sends.
        :param target: who receives.
        :returns: True when it is lost.
        """
        return (source.name, target.name) in self._cuts

    def can_connect(self, source: Process, target: Process) -> bool:
        """Whether a handshake between two processes goes through.

        :param source: who connects.
        :param target: who listens.
        :returns: True when neither direction is cut.
        """
        return not (self.is_cut(source, target) or self.is_cut(target, source))

    def draw_delay(self, source: Process, target: Process) -> float:
        """Draw the time that one message takes, in seconds."""
        base = NEAR if source.zone == target.zone else FAR
        return base * (1.0 + JITTER * self._rng.random())

    def send(self, source: Process, target: Process, action: Action) -> None:
        """Send something that nobody waits for.

        :param source: who sends.
        :param target: who receives.
        :param action: what happens at the receiver.
        """
        if self.is_cut(source, target):
            return
        delay = self.draw_delay(source, target)
        self._agenda.after(delay, lambda: target.deliver(action))

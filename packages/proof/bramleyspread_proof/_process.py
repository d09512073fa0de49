"""A process in virtual time: alive, frozen or dead, with a clock of its own."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from bramleyspread_proof._agenda import Agenda

#: What is done at a moment of virtual time.
Action = Callable[[], None]
#: Most by which a process's monotonic clock differs from virtual time, in seconds.
CLOCK_OFFSET = 100_000.0


class Process:
    """What every process of a deployment has, whatever its role.

    A frozen process does nothing; what reached it in the meantime happens when it
    is thawed, in the order in which it came. A killed one never hears of it.
    """

    def __init__(self, name: str, zone: str, agenda: Agenda, rng: Random) -> None:
        #: Its name, unique in the deployment.
        self.name = name
        #: Its availability zone.
        self.zone = zone
        #: Where chance comes from, for this process alone.
        self.rng = Random(rng.getrandbits(64))
        #: Whether it runs, or is frozen in the middle of running.
        self.alive = False
        #: Whether it is frozen.
        self.frozen = False
        #: How often it was started.
        self.life = 0
        self._agenda = agenda
        self._offset = self.rng.uniform(0.0, CLOCK_OFFSET)
        self._backlog: list[Action] = []

    @property
    def now(self) -> float:
        """The process's monotonic clock, in seconds."""
        return self._agenda.now + self._offset

    def start(self) -> None:
        """Start it, or start it again."""
        self.life += 1
        self.alive = True
        self.frozen = False
        self._backlog.clear()

    def kill(self) -> None:
        """End it at once, as SIGKILL does."""
        self.alive = False
        self.frozen = False
        self._backlog.clear()

    def freeze(self) -> None:
        """Stop it in its tracks, as SIGSTOP does."""
        self.frozen = self.alive

    def thaw(self) -> None:
        """Let it go on; what came in the meantime happens now."""
        if not self.frozen:
            return
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.deliver(action)

    def deliver(self, action: Action) -> None:
        """Let something reach the process.

        :param action: what happens in it.
        """
        if self.frozen:
            self._backlog.append(action)
        elif self.alive:
            action()

    def later(self, delay: float, action: Action) -> None:
        """Set a timer that only this life of the process sees.

        :param delay: seconds.
        :param action: what happens then.
        """
        life = self.life

        def fire() -> None:
            if self.life == life:
                self.deliver(action)

        self._agenda.after(delay, fire)

    def every(self, interval: float, action: Action) -> None:
        """Do something again and again, but not while frozen.

        :param interval: seconds.
        :param action: what to do.
        """
        life = self.life

        def fire() -> None:
            if self.life != life or not self.alive:
                return
            if not self.frozen:
                action()
            self._agenda.after(interval, fire)

        self._agenda.after(self.rng.uniform(0.0, interval), fire)

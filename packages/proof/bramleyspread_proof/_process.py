"""A simulated process that can be killed, frozen and restarted."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from bramleyspread_proof._agenda import Scheduler

#: A callback that runs at a point of virtual time.
Action = Callable[[], None]
#: Largest offset of a process's monotonic clock from virtual time, in seconds.
MAX_CLOCK_OFFSET_S = 100_000.0


class Process:
    """Base class of all simulated processes.

    Actions delivered to a frozen process are queued and run in order of arrival when
    it is thawed. Actions delivered to a dead process are dropped.
    """

    def __init__(self, name: str, zone: str, scheduler: Scheduler, rng: Random) -> None:
        #: Name, unique in the deployment.
        self.name = name
        #: Availability zone.
        self.zone = zone
        #: Random source of this process alone.
        self.rng = Random(rng.getrandbits(64))
        #: Whether the process is running or frozen, rather than dead.
        self.alive = False
        #: Whether the process is frozen.
        self.frozen = False
        #: Number of times the process was started.
        self.incarnation = 0
        self._scheduler = scheduler
        self._offset = self.rng.uniform(0.0, MAX_CLOCK_OFFSET_S)
        self._backlog: list[Action] = []

    @property
    def now(self) -> float:
        """The process's monotonic clock, in seconds."""
        return self._scheduler.now + self._offset

    def start(self) -> None:
        """Start or restart the process."""
        self.incarnation += 1
        self.alive = True
        self.frozen = False
        self._backlog.clear()

    def kill(self) -> None:
        """End the process at once, as SIGKILL does."""
        self.alive = False
        self.frozen = False
        self._backlog.clear()

    def freeze(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.frozen = self.alive

    def thaw(self) -> None:
        """Resume the process and run the actions queued while it was frozen."""
        if not self.frozen:
            return
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.deliver(action)

    def deliver(self, action: Action) -> None:
        """Run an action in the process; queue it while frozen, drop it when dead.

        :param action: the action to run.
        """
        if self.frozen:
            self._backlog.append(action)
        elif self.alive:
            action()

    def call_later(self, delay: float, action: Action) -> None:
        """Set a timer, which a restart of the process cancels.

        :param delay: seconds from now.
        :param action: the action to run.
        """
        incarnation = self.incarnation

        def fire() -> None:
            if self.incarnation == incarnation:
                self.deliver(action)

        self._scheduler.call_later(delay, fire)

    def call_every(self, interval: float, action: Action) -> None:
        """Run an action periodically until the process ends, skipping it while frozen.

        The first run comes after a random part of the interval.

        :param interval: seconds between two runs.
        :param action: the action to run.
        """
        incarnation = self.incarnation

        def fire() -> None:
            if self.incarnation != incarnation or not self.alive:
                return
            if not self.frozen:
                action()
            self._scheduler.call_later(interval, fire)

        self._scheduler.call_later(self.rng.uniform(0.0, interval), fire)

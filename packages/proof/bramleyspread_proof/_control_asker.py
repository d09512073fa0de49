"""How a simulated process asks the control hosts."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bramleyspread_core import Address, Command, CommandResult, NotLeader, Undecided
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process

#: Most time that one control host is waited for, in seconds.
TRY = 0.5
#: Pause before another control host is tried, in seconds.
PAUSE = 0.05


class ControlAsker:
    """Sends a command to one control host after the other until one decides."""

    def __init__(
        self, owner: Process, hosts: Sequence[ControlProcess], network: Network
    ) -> None:
        self._owner = owner
        self._hosts = hosts
        self._network = network
        self._next = owner.rng.randrange(len(hosts))
        self._leader: ControlProcess | None = None

    def ask(
        self,
        command: Command,
        timeout: float,
        done: Callable[[CommandResult], None],
    ) -> None:
        """Ask until a control host decides or the time is over.

        :param command: the command; its own id makes a resend harmless.
        :param timeout: seconds.
        :param done: called once with the result.
        """
        self._try(command, self._owner.now + timeout, done)

    def pick(self) -> ControlProcess:
        """Pick the control host to ask next."""
        if self._leader is not None:
            return self._leader
        self._next = (self._next + 1) % len(self._hosts)
        return self._hosts[self._next]

    def _try(
        self, command: Command, until: float, done: Callable[[CommandResult], None]
    ) -> None:
        owner, network, host = self._owner, self._network, self.pick()
        answered: list[bool] = []

        def settle(result: CommandResult) -> None:
            if answered:
                return
            answered.append(True)
            if not isinstance(result, NotLeader | Undecided):
                self._leader = host
                done(result)
                return
            self._leader = self._follow(host, result)
            if owner.now >= until:
                done(Undecided("no control host decided in time"))
            else:
                owner.later(PAUSE, lambda: self._try(command, until, done))

        def reply(result: CommandResult) -> None:
            network.send(host, owner, lambda: settle(result))

        network.send(owner, host, lambda: host.take_command(command, reply))
        owner.later(
            min(TRY, max(0.0, until - owner.now)),
            lambda: settle(Undecided("no answer")),
        )

    def _follow(
        self, host: ControlProcess, result: NotLeader | Undecided
    ) -> ControlProcess | None:
        hint: Address | None = getattr(result, "leader", None)
        if hint is None:
            return None
        leader = self._network.find(hint)
        known = isinstance(leader, ControlProcess) and leader is not host
        return leader if known and isinstance(leader, ControlProcess) else None

"""The client with which a simulated process sends commands to control hosts."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bramleyspread_core import Address, Command, CommandResult, NotLeader, Undecided
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process

#: Timeout of an attempt at one control host, in seconds.
ATTEMPT_TIMEOUT_S = 0.5
#: Delay before the next attempt, in seconds.
RETRY_DELAY_S = 0.05


class ControlClient:
    """Sends a command to one control host after another until one decides it."""

    def __init__(
        self, owner: Process, hosts: Sequence[ControlProcess], network: Network
    ) -> None:
        self._owner = owner
        self._hosts = hosts
        self._network = network
        self._next = owner.rng.randrange(len(hosts))
        self._leader: ControlProcess | None = None

    def send_command(
        self,
        command: Command,
        timeout: float,
        on_result: Callable[[CommandResult], None],
    ) -> None:
        """Send a command, retrying until it is decided or the timeout expires.

        :param command: the command; its id makes it safe to resend.
        :param timeout: seconds for all attempts together.
        :param on_result: called once with the result; with :class:`Undecided` if no
            control host decided before the timeout.
        """
        self._send_attempt(command, self._owner.now + timeout, on_result)

    def _pick_host(self) -> ControlProcess:
        """Return the known leader, or else the next control host in turn."""
        if self._leader is not None:
            return self._leader
        self._next = (self._next + 1) % len(self._hosts)
        return self._hosts[self._next]

    def _send_attempt(
        self,
        command: Command,
        deadline: float,
        on_result: Callable[[CommandResult], None],
    ) -> None:
        owner, network, host = self._owner, self._network, self._pick_host()
        answered: list[bool] = []

        def handle_once(result: CommandResult) -> None:
            if answered:
                return
            answered.append(True)
            if not isinstance(result, NotLeader | Undecided):
                self._leader = host
                on_result(result)
                return
            self._leader = self._find_hinted_leader(host, result)
            if owner.now >= deadline:
                on_result(Undecided("no control host decided in time"))
            else:
                owner.call_later(
                    RETRY_DELAY_S,
                    lambda: self._send_attempt(command, deadline, on_result),
                )

        def reply(result: CommandResult) -> None:
            network.send(host, owner, lambda: handle_once(result))

        network.send(owner, host, lambda: host.handle_command(command, reply))
        owner.call_later(
            min(ATTEMPT_TIMEOUT_S, max(0.0, deadline - owner.now)),
            lambda: handle_once(Undecided("no answer")),
        )

    def _find_hinted_leader(
        self, host: ControlProcess, result: NotLeader | Undecided
    ) -> ControlProcess | None:
        hint: Address | None = getattr(result, "leader", None)
        if hint is None:
            return None
        leader = self._network.find_process(hint)
        is_other_host = isinstance(leader, ControlProcess) and leader is not host
        return leader if is_other_host and isinstance(leader, ControlProcess) else None

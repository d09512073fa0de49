"""The leader's decisions on orders to drain availability zones."""

from __future__ import annotations

from collections import deque

import msgspec
import xxhash

from bramleyspread_control._documents import DocumentStateMachine
from bramleyspread_control._entries import encode_change
from bramleyspread_control._replica import Replica
from bramleyspread_control._tickets import PendingCommands
from bramleyspread_core import (
    MAX_DRAINED_ZONES,
    CommandResult,
    NotLeader,
    Rejected,
    SetZoneDrain,
    Undecided,
    ZoneDrainAccepted,
    ZoneDrainsChanged,
    find_zone_fault,
)

#: Maximum number of commands that wait while a change is being committed.
MAX_WAITING_COMMANDS = 1_000
#: Number of counters of repeats. Zones that share one only cause further attempts.
REPEAT_COUNTERS = 64


class DrainDecisions:
    """Decides on zone drains, one change after the other.

    A repeat of the state in force is acknowledged without an entry and leaves the
    revision as it is. Compare-and-set on the revision alone would then accept a command
    that was delayed since before the repeat. Therefore a command must also name the
    leader's marker, which changes with each repeat and each term.
    """

    __slots__ = ("_entry", "_machine", "_pending", "_repeats", "_waiting")

    def __init__(self, machine: DocumentStateMachine, pending: PendingCommands) -> None:
        self._machine = machine
        self._pending = pending
        # Term and index of the last change that was appended to the log.
        self._entry = (0, 0)
        # Number of acknowledged repeats, by a digest of the zone's name.
        self._repeats = [0] * REPEAT_COUNTERS
        # Tickets and commands that wait until that change is applied.
        self._waiting: deque[tuple[int, SetZoneDrain]] = deque()

    def propose(
        self, ticket: int, command: SetZoneDrain, replica: Replica, now: float
    ) -> None:
        """Decide on a command, or let it wait for the change before it.

        :param ticket: the ticket of the command.
        :param command: the command.
        :param replica: this host's replica, which leads.
        :param now: monotonic seconds.
        """
        if not self._is_change_pending(replica):
            self._decide(ticket, command, replica, now)
        elif len(self._waiting) < MAX_WAITING_COMMANDS:
            self._waiting.append((ticket, command))
        else:
            self._pending.add_reply(ticket, Undecided("too many orders are waiting"))

    def resume(self, replica: Replica, now: float) -> None:
        """Decide on the commands that waited for a change which is applied now.

        :param replica: this host's replica.
        :param now: monotonic seconds.
        """
        while self._waiting:
            if replica.leader_state is None:
                ticket, _ = self._waiting.popleft()
                self._pending.add_reply(ticket, NotLeader())
            elif self._is_change_pending(replica):
                return
            else:
                self._decide(*self._waiting.popleft(), replica, now)

    def _is_change_pending(self, replica: Replica) -> bool:
        term, index = self._entry
        return term == replica.consensus.term and index > replica.log.applied_index

    def _decide(
        self, ticket: int, command: SetZoneDrain, replica: Replica, now: float
    ) -> None:
        result = self._find_result(command, replica, now)
        if result is None:
            change = msgspec.structs.replace(command, marker="")
            index = replica.propose(encode_change(change), now)
            if index is not None:
                self._entry = (replica.consensus.term, index)
                self._pending.add(ticket, replica, index)
                return
            result = NotLeader()
        self._pending.add_reply(ticket, result)

    def _find_result(
        self, command: SetZoneDrain, replica: Replica, now: float
    ) -> CommandResult | None:
        """Find the result of a command; None if it is to be replicated."""
        zone, drains = command.zone, self._machine.zone_drains
        fault = find_zone_fault(zone)
        if fault:
            return Rejected((fault,))
        if not replica.has_newest_state(now):
            return Undecided("the newest drains are not confirmed yet; ask again")
        counter = xxhash.xxh3_64_intdigest(zone.encode()) % REPEAT_COUNTERS
        if drains.is_drained(zone) == command.drained:
            self._repeats[counter] += 1
            return ZoneDrainAccepted(drains.revision, is_repeat=True)
        if command.drained and len(drains.drained) >= MAX_DRAINED_ZONES:
            return Rejected((f"zone: {MAX_DRAINED_ZONES} zones are drained already",))
        marker = f"{replica.consensus.term}.{self._repeats[counter]}"
        if (command.revision, command.marker) != (drains.revision, marker):
            return ZoneDrainsChanged(drains.revision, marker)
        leader_state = replica.leader_state
        if leader_state is not None and leader_state.has_earlier_build(now):
            return Undecided("a control host runs a build without zone drains")
        return None

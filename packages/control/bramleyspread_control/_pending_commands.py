"""Commands that wait for their entries to be committed."""

from __future__ import annotations

from bramleyspread_control._replica import AppliedEntry, Replica
from bramleyspread_core import CommandReply, CommandResult, Undecided


class PendingCommands:
    """Tickets by the entry that each one waits for, and replies ready to go."""

    __slots__ = ("_pending", "_replies")

    def __init__(self) -> None:
        self._pending: dict[int, dict[int, tuple[int, int]]] = {}
        self._replies: list[CommandReply] = []

    def add(self, ticket: int, replica: Replica, index: int) -> None:
        """Let a ticket wait for an entry.

        :param ticket: the ticket.
        :param replica: the leader that made the entry.
        :param index: the entry's position.
        """
        consensus = replica.consensus
        pending = self._pending.setdefault(consensus.group, {})
        pending[index] = (consensus.term, ticket)

    def add_reply(self, ticket: int, result: CommandResult) -> None:
        """Give a ticket its result."""
        self._replies.append(CommandReply(ticket, result))

    def resolve(self, group: int, applied: AppliedEntry) -> None:
        """Give the ticket of an entry its result, if one waits for it."""
        pending = self._pending.get(group, {})
        pending_ticket = pending.pop(applied.entry.index, None)
        if pending_ticket is None:
            return
        term, ticket = pending_ticket
        if term == applied.entry.term and applied.result is not None:
            self.add_reply(ticket, applied.result)
        else:
            self.add_reply(ticket, Undecided("another entry took its place; resend it"))

    def abandon_after_leadership_loss(self, group: int, replica: Replica) -> None:
        """Reply to those whose leader is no longer one: nobody knows yet."""
        pending = self._pending.get(group)
        if not pending:
            return
        term = replica.consensus.term if replica.leader_state is not None else -1
        for index, (proposal_term, ticket) in list(pending.items()):
            if proposal_term != term:
                del pending[index]
                self.add_reply(ticket, Undecided("leadership was lost; resend it"))

    def pop_replies(self) -> tuple[CommandReply, ...]:
        """Take the replies that may leave."""
        replies = tuple(self._replies)
        self._replies.clear()
        return replies

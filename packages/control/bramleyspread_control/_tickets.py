"""Commands whose log entries are not committed yet."""

from __future__ import annotations

from bramleyspread_control._replica import AppliedEntry, Replica
from bramleyspread_core import CommandReply, CommandResult, Undecided


class PendingCommands:
    """Commands that wait for their log entries to be committed, and replies to send.

    A ticket is the number by which the caller matches a reply to its command.
    """

    __slots__ = ("_pending", "_replies")

    def __init__(self) -> None:
        # Term and tickets by group and log index.
        self._pending: dict[int, dict[int, tuple[int, list[int]]]] = {}
        self._replies: list[CommandReply] = []

    def add(self, ticket: int, replica: Replica, index: int) -> None:
        """Register a ticket that waits for an entry to be committed.

        :param ticket: the ticket.
        :param replica: the leader that appended the entry.
        :param index: log index of the entry.
        """
        consensus = replica.consensus
        pending = self._pending.setdefault(consensus.group, {})
        term, tickets = pending.setdefault(index, (consensus.term, []))
        if term == consensus.term:
            tickets.append(ticket)
        else:
            pending[index] = (consensus.term, [ticket])

    def add_reply(self, ticket: int, result: CommandResult) -> None:
        """Queue the reply for a ticket."""
        self._replies.append(CommandReply(ticket, result))

    def resolve(self, group: int, applied: AppliedEntry) -> None:
        """Queue the replies for the tickets that wait for an applied entry."""
        pending = self._pending.get(group, {})
        term, tickets = pending.pop(applied.entry.index, (0, []))
        result = applied.result
        if term != applied.entry.term or result is None:
            result = Undecided("another entry took its place; resend it")
        for ticket in tickets:
            self.add_reply(ticket, result)

    def abandon_after_leadership_loss(self, group: int, replica: Replica) -> None:
        """Reply to tickets of terms that this replica no longer leads.

        The outcome of their commands is undecided: another leader may still commit
        them.
        """
        pending = self._pending.get(group)
        if not pending:
            return
        term = replica.consensus.term if replica.leader_state is not None else -1
        for index, (proposal_term, tickets) in list(pending.items()):
            if proposal_term == term:
                continue
            del pending[index]
            for ticket in tickets:
                self.add_reply(ticket, Undecided("leadership was lost; resend it"))

    def pop_replies(self) -> tuple[CommandReply, ...]:
        """Remove and return the replies to send."""
        replies = tuple(self._replies)
        self._replies.clear()
        return replies

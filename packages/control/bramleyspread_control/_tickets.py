"""Commands that wait for their entries to be committed."""

from __future__ import annotations

from bramleyspread_control._replica import Applied, Replica
from bramleyspread_core import CommandReply, CommandResult, Undecided


class Tickets:
    """Tickets by the entry that each one waits for, and replies ready to go."""

    __slots__ = ("_replies", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[int, dict[int, tuple[int, int]]] = {}
        self._replies: list[CommandReply] = []

    def wait(self, ticket: int, replica: Replica, index: int) -> None:
        """Let a ticket wait for an entry.

        :param ticket: the ticket.
        :param replica: the leader that made the entry.
        :param index: the entry's position.
        """
        standing = replica.standing
        waiting = self._waiting.setdefault(standing.group, {})
        waiting[index] = (standing.term, ticket)

    def reply(self, ticket: int, result: CommandResult) -> None:
        """Give a ticket its result."""
        self._replies.append(CommandReply(ticket, result))

    def take_applied(self, group: int, applied: Applied) -> None:
        """Give the ticket of an entry its result, if one waits for it."""
        waiting = self._waiting.get(group, {})
        known = waiting.pop(applied.entry.index, None)
        if known is None:
            return
        term, ticket = known
        if term == applied.entry.term and applied.result is not None:
            self.reply(ticket, applied.result)
        else:
            self.reply(ticket, Undecided("another entry took its place; resend it"))

    def give_up(self, group: int, replica: Replica) -> None:
        """Reply to those whose leader is no longer one: nobody knows yet."""
        waiting = self._waiting.get(group)
        if not waiting:
            return
        term = replica.standing.term if replica.leading is not None else -1
        for index, (its_term, ticket) in list(waiting.items()):
            if its_term != term:
                del waiting[index]
                self.reply(ticket, Undecided("leadership was lost; resend it"))

    def take_replies(self) -> tuple[CommandReply, ...]:
        """Take the replies that may leave."""
        replies = tuple(self._replies)
        self._replies.clear()
        return replies

"""A group's log in memory: the entries after a base index, and its commit state."""

from __future__ import annotations

import msgspec

from bramleyspread_control._entries import Entry
from bramleyspread_control._members import Members

#: Maximum size of the entries in one message, in bytes.
MAX_BATCH_BYTES = 1_000_000
#: Maximum number of entries in one message.
MAX_BATCH_ENTRIES = 1_000


class Log:
    """The entries from ``base_index`` + 1 on; the state includes all earlier ones.

    ``applied_index`` ≤ ``commit_index`` ≤ ``last_index``, and ``synced_index`` ≤
    ``last_index``.

    >>> log = Log(0, 0, Members())
    >>> log.last_index, log.last_term
    (0, 0)
    """

    def __init__(self, base_index: int, base_term: int, members: Members) -> None:
        #: Index of the last entry that was removed from the log; the state includes it.
        self.base_index = base_index
        #: Term of the entry at the base index.
        self.base_term = base_term
        #: The members at the base index.
        self.base_members = members
        #: The current members, including a change that is not committed yet.
        self.members = members
        #: Index of the entry with the newest change of members; 0 when the log contains
        #: none.
        self.members_index = 0
        #: Index of the last committed entry.
        self.commit_index = base_index
        #: Index of the last entry applied to the state.
        self.applied_index = base_index
        #: Index of the last entry that is durable on this host.
        self.synced_index = base_index
        self._entries: list[Entry] = []
        self._first_unwritten = base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def find_term(self, index: int) -> int | None:
        """Find the term of an entry.

        :param index: index of the entry.
        :returns: the term; None when the log does not contain the entry.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        """Return an entry that the log contains."""
        return self._entries[index - self.base_index - 1]

    def find_unapplied(self, change: msgspec.Raw, term: int) -> int | None:
        """Find an entry that is not applied yet by its change.

        :param change: the encoded change.
        :param term: term of the entry.
        :returns: index of the entry; None when there is none.
        """
        for index in range(self.applied_index + 1, self.last_index + 1):
            entry = self.get(index)
            if entry.term == term and entry.has_change(change):
                return index
        return None

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        assert entry.index == self.last_index + 1, "entries must be appended in order"
        self._entries.append(entry)
        if entry.members is not None:
            self.members = entry.members
            self.members_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Remove an entry and all later ones.

        :param index: index of the first entry to remove, above ``commit_index``.
        """
        assert index > self.commit_index, "committed entries must not be truncated"
        del self._entries[index - self.base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)
        self._first_unwritten = min(self._first_unwritten, index)
        self._update_members()

    def get_batch(self, first: int) -> tuple[Entry, ...]:
        """Return the next entries to send to a replica in one message.

        :param first: index of the first entry.
        :returns: as many entries as fit, and at least one if the log contains the
            first.
        """
        batch: list[Entry] = []
        size = 0
        start = first - self.base_index - 1
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size += entry.size
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def pop_unwritten(self) -> list[Entry]:
        """Return the entries not in the journal yet, and count them as written."""
        unwritten = self._entries[self._first_unwritten - self.base_index - 1 :]
        self._first_unwritten = self.last_index + 1
        return unwritten

    def list_entries(self) -> list[Entry]:
        """List the entries after the base index."""
        return list(self._entries)

    def mark_written(self) -> None:
        """Record that a checkpoint contains the whole log."""
        self._first_unwritten = self.last_index + 1

    def mark_synced(self) -> None:
        """Record that all written entries are durable."""
        self.synced_index = self._first_unwritten - 1

    def find_members_at(self, index: int) -> Members:
        """Find the members at an entry.

        :param index: index of the entry, at the base index or above.
        :returns: the members.
        """
        for entry in reversed(self._entries[: index - self.base_index]):
            if entry.members is not None:
                return entry.members
        return self.base_members

    def compact(self, index: int) -> None:
        """Remove entries from the start of the log.

        :param index: the new base index, at most ``applied_index``.
        """
        if index <= self.base_index:
            return
        members = self.find_members_at(index)
        term = self.find_term(index)
        assert term is not None, "the log must contain the new base entry"
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term, self.base_members = index, term, members
        self._first_unwritten = max(self._first_unwritten, index + 1)

    def compact_applied(self, max_entries: int, max_bytes: int) -> None:
        """Remove applied entries from the start of the log, but for the newest ones.

        :param max_entries: maximum number of applied entries that stay.
        :param max_bytes: maximum size of their changes.
        """
        index, size = self.applied_index, 0
        oldest = max(self.base_index, self.applied_index - max_entries)
        while index > oldest:
            size += self.get(index).size
            if size > max_bytes:
                break
            index -= 1
        self.compact(index)

    def reset(self, index: int, term: int, members: Members) -> None:
        """Replace the whole log by a base, for a snapshot that was received.

        :param index: the new base index.
        :param term: term of the entry at that index.
        :param members: the members at that index.
        """
        self._entries.clear()
        self.base_index, self.base_term, self.base_members = index, term, members
        self.commit_index = self.applied_index = index
        self.synced_index = min(self.synced_index, index)
        self._first_unwritten = index + 1
        self._update_members()

    def _update_members(self) -> None:
        self.members, self.members_index = self.base_members, 0
        for entry in reversed(self._entries):
            if entry.members is not None:
                self.members, self.members_index = entry.members, entry.index
                return

"""A group's log in memory: a base, the entries behind it, and three marks."""

from __future__ import annotations

from bramleyspread_control._entries import Entry
from bramleyspread_control._members import Members

#: Most bytes of entries in one message.
MAX_BATCH_BYTES = 1_000_000
#: Most entries in one message.
MAX_BATCH_ENTRIES = 1_000


class Log:
    """Entries from ``base_index`` + 1 on.

    ``applied`` ≤ ``commit`` ≤ ``last_index``, and ``synced`` ≤ ``last_index``.

    >>> log = Log(0, 0, Members())
    >>> log.last_index, log.last_term
    (0, 0)
    """

    def __init__(self, base_index: int, base_term: int, members: Members) -> None:
        #: Everything up to here is in the state only.
        self.base_index = base_index
        #: Term of the entry at the base.
        self.base_term = base_term
        #: The members at the base.
        self.base_members = members
        #: The members now, committed or not.
        self.members = members
        #: Where the newest change of members stands; 0 for at the base or before.
        self.members_index = 0
        #: Everything up to here is committed.
        self.commit_index = base_index
        #: Everything up to here is in the state.
        self.applied_index = base_index
        #: Everything up to here is durable on this host.
        self.synced_index = base_index
        self._entries: list[Entry] = []
        self._first_unwritten = base_index + 1

    @property
    def last_index(self) -> int:
        """Position of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def find_term(self, index: int) -> int | None:
        """Find an entry's term.

        :param index: its position.
        :returns: the term; None when the log does not hold the entry.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        """Get an entry that the log holds."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one."""
        assert entry.index == self.last_index + 1, "entries must be added in order"
        self._entries.append(entry)
        if entry.members is not None:
            self.members = entry.members
            self.members_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Drop an entry and all behind it.

        :param index: the entry's position, above ``commit``.
        """
        assert index > self.commit_index, "a committed entry is never dropped"
        del self._entries[index - self.base_index - 1 :]
        self.synced_index = min(self.synced_index, index - 1)
        self._first_unwritten = min(self._first_unwritten, index)
        self._update_members()

    def get_batch(self, first: int) -> tuple[Entry, ...]:
        """Take entries for one message.

        :param first: position of the first one.
        :returns: as many as fit, at least one where there is one.
        """
        batch: list[Entry] = []
        size = 0
        start = first - self.base_index - 1
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size += len(memoryview(entry.change))
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def pop_unwritten(self) -> list[Entry]:
        """Take the entries that the journal has not got yet."""
        fresh = self._entries[self._first_unwritten - self.base_index - 1 :]
        self._first_unwritten = self.last_index + 1
        return fresh

    def list_entries(self) -> list[Entry]:
        """List the entries behind the base."""
        return list(self._entries)

    def mark_written(self) -> None:
        """Take note that a checkpoint holds the whole log."""
        self._first_unwritten = self.last_index + 1

    def mark_synced(self) -> None:
        """Take note that all that was written is durable."""
        self.synced_index = self._first_unwritten - 1

    def find_members_at(self, index: int) -> Members:
        """Find who was a member at an entry.

        :param index: its position, at the base or behind it.
        :returns: the members.
        """
        for entry in reversed(self._entries[: index - self.base_index]):
            if entry.members is not None:
                return entry.members
        return self.base_members

    def compact(self, index: int) -> None:
        """Move the base up.

        :param index: the new base, at most ``applied``.
        """
        if index <= self.base_index:
            return
        members = self.find_members_at(index)
        term = self.find_term(index)
        assert term is not None, "the new base must be in the log"
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term, self.base_members = index, term, members
        self._first_unwritten = max(self._first_unwritten, index + 1)

    def reset(self, index: int, term: int, members: Members) -> None:
        """Replace the whole log by a base, after a snapshot came.

        :param index: the new base.
        :param term: its term.
        :param members: the members there.
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

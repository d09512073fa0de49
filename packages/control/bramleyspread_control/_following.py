"""A follower's or learner's work: take entries and snapshots from the leader."""

from __future__ import annotations

from collections.abc import Callable

import crc32c

from bramleyspread_control._entries import Entry
from bramleyspread_control._messages import (
    Append,
    Appended,
    SnapshotPiece,
    SnapshotWanted,
)
from bramleyspread_control._standing import Standing
from bramleyspread_core import HostName, MessageError


class _Incoming:
    """A snapshot that is coming in pieces."""

    __slots__ = ("checksum", "data", "index")

    def __init__(self, index: int, checksum: int) -> None:
        #: What it holds everything up to.
        self.index = index
        #: Checksum of the whole.
        self.checksum = checksum
        #: The pieces so far.
        self.data = bytearray()


class Following:
    """What a replica does when it hears a leader of its term."""

    def __init__(self, standing: Standing, restore: Callable[[bytes], None]) -> None:
        self._standing = standing
        self._restore = restore
        self._incoming: _Incoming | None = None
        #: True when a snapshot replaced the log and no checkpoint holds it yet.
        self.replaced = False

    def take_append(
        self, sender: HostName, append: Append, now: float, current: bool
    ) -> None:
        """Take entries, and answer once they are synced.

        :param sender: the leader.
        :param append: its message.
        :param now: monotonic seconds.
        :param current: whether the leader knows this process, not only its folder.
        """
        standing = self._standing
        if append.term < standing.term:
            self._answer(sender, False, standing.log.last_index, append.sent_at)
            return
        entries = append.entries
        if not _are_sound(append, entries):
            standing.report("message-refused", sender, "entries out of order")
            return
        self._hear(sender, append.term, now)
        log = standing.log
        behind = log.base_index - append.prev_index
        if behind <= 0 and log.find_term(append.prev_index) != append.prev_term:
            hint = self._find_hint(append.prev_index)
            self._answer(sender, False, hint, append.sent_at)
            return
        if not self._add(entries[max(behind, 0) :]):
            standing.report("log-diverged", sender, f"below {log.commit}")
            return
        agreed = max(append.prev_index + len(entries), log.base_index)
        log.commit = max(log.commit, min(append.commit, agreed))
        if append.settled and current and agreed >= append.commit:
            self._confirm(sender)
            standing.in_touch = now
        self._answer(sender, True, agreed, append.sent_at)

    def take_piece(self, sender: HostName, piece: SnapshotPiece, now: float) -> None:
        """Take a piece of a snapshot, and put it in place with the last one.

        :param sender: the leader.
        :param piece: its message.
        :param now: monotonic seconds.
        """
        standing = self._standing
        if piece.term < standing.term:
            self._answer(sender, False, standing.log.last_index, piece.sent_at)
            return
        self._hear(sender, piece.term, now)
        if piece.index <= standing.log.commit:
            self._answer(sender, True, piece.index, piece.sent_at)
            return
        incoming = self._incoming
        if incoming is None or incoming.index != piece.index:
            incoming = self._incoming = _Incoming(piece.index, piece.checksum)
        if piece.offset == len(incoming.data):
            incoming.data += piece.data
        if len(incoming.data) < piece.size:
            wanted = SnapshotWanted(
                standing.group,
                standing.term,
                piece.index,
                len(incoming.data),
                piece.sent_at,
            )
            standing.send(sender, wanted)
            return
        self._incoming = None
        if self._install(sender, piece, bytes(incoming.data)):
            self._answer(sender, True, piece.index, piece.sent_at)

    def _install(self, sender: HostName, piece: SnapshotPiece, data: bytes) -> bool:
        standing = self._standing
        if crc32c.crc32c(data) != piece.checksum:
            standing.report("snapshot-refused", sender, "checksum differs")
            return False
        try:
            self._restore(data)
        except MessageError as error:
            standing.report("snapshot-refused", sender, str(error))
            return False
        standing.log.reset(piece.index, piece.index_term, piece.members)
        standing.report("snapshot-installed", sender, f"up to {piece.index}")
        self.replaced = True
        return True

    def _hear(self, leader: HostName, term: int, now: float) -> None:
        self._standing.follow(term, leader, now)
        self._standing.heard = now

    def _add(self, entries: tuple[Entry, ...]) -> bool:
        log = self._standing.log
        for entry in entries:
            term = log.find_term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                if entry.index <= log.commit:
                    return False
                log.cut_from(entry.index)
            log.append(entry.detach())
        return True

    def _find_hint(self, prev_index: int) -> int:
        """Find where the logs may agree: before the term that differs."""
        log = self._standing.log
        if prev_index > log.last_index:
            return log.last_index
        term = log.find_term(prev_index)
        index = prev_index - 1
        while index > log.commit and log.find_term(index) == term:
            index -= 1
        return index

    def _confirm(self, leader: HostName) -> None:
        standing = self._standing
        if not standing.confirmed:
            standing.confirmed = True
            standing.report("log-confirmed", leader)

    def _answer(
        self, leader: HostName, matched: bool, index: int, sent_at: float
    ) -> None:
        standing = self._standing
        standing.send(
            leader, Appended(standing.group, standing.term, matched, index, sent_at)
        )


def _are_sound(append: Append, entries: tuple[Entry, ...]) -> bool:
    """Whether entries follow one another and can be read."""
    for position, entry in enumerate(entries, append.prev_index + 1):
        if entry.index != position or entry.term > append.term:
            return False
        try:
            entry.read_change()
        except MessageError:
            return False
    return True

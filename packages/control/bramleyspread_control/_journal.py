"""Durable state of a host: a checkpoint, and a journal of the changes since then.

``checkpoint-N`` contains the state and the log of every group at the time when it was
written. ``journal-N`` contains the later records of all groups, so that one sync makes
them durable together. A new pair of files is created in this order: write the
checkpoint under a temporary name, sync it, create the empty journal, rename the
checkpoint, and sync the folder. Only then is the old pair removed.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from functools import partial
from typing import Any

from bramleyspread_control._disk import CorruptFileError, Disk
from bramleyspread_control._journal_records import (
    CheckpointRecord,
    EndRecord,
    EntryRecord,
    FolderFingerprint,
    GroupStateRecord,
    HeaderRecord,
    JournalRecord,
    LoadedCheckpoint,
    LocatedRecord,
    SyncedRecord,
)
from bramleyspread_control._records import (
    RecordReader,
    encode_record,
    find_later_records,
    read_records,
)
from bramleyspread_core import MessageError, decode_json, encode_json

#: File with the fingerprint of the folder after this host's last write.
FINGERPRINT_FILE = "witness"
_FILE_NAME = re.compile(r"^(checkpoint|journal)-(\d{8})$")


class Journal:
    """The checkpoint and journal files of one data folder."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._number = 0
        self._size = 0
        #: Number of records in the journal, that is, since the checkpoint.
        self.record_count = 0
        #: Size of the checkpoint in bytes.
        self.checkpoint_bytes = 0
        #: Groups whose logs were complete after the last write of the previous process;
        #: empty if the folder has changed since then.
        self.complete_groups: tuple[int, ...] = ()

    @property
    def size(self) -> int:
        """Size of the journal in bytes."""
        return self._size

    @property
    def name(self) -> str:
        """File name of the journal."""
        return f"journal-{self._number:08d}"

    @property
    def checkpoint_name(self) -> str:
        """File name of the checkpoint."""
        return f"checkpoint-{self._number:08d}"

    def load(self) -> LoadedCheckpoint | None:
        """Read the checkpoint; :meth:`read_records` must follow.

        :returns: the content of the checkpoint; None when the folder has never been
            used.
        :raises CorruptFileError: when a file is damaged or missing.
        :raises DiskError: when an operation on the data folder fails.
        """
        names = [
            match
            for name in self._disk.list_names()
            if (match := _FILE_NAME.match(name))
        ]
        checkpoints = [int(m[2]) for m in names if m[1] == "checkpoint"]
        journals = [int(m[2]) for m in names if m[1] == "journal"]
        if not checkpoints:
            self._reject_orphans(journals)
            return None
        self._number = max(checkpoints)
        if self._number not in journals:
            raise CorruptFileError(self.name, 0, "the journal file is missing")
        self.complete_groups = self._read_fingerprint()
        return self._read_checkpoint(self.checkpoint_name)

    def write_fingerprint(self, complete_groups: tuple[int, ...]) -> None:
        """Write the current fingerprint of the folder for the next start.

        :param complete_groups: groups whose logs are known to be complete on this host.
        """
        fingerprint = FolderFingerprint(self._fingerprint_folder(), complete_groups)
        self._disk.overwrite(FINGERPRINT_FILE, encode_json(fingerprint))

    def write(self, records: list[JournalRecord], sync: bool) -> None:
        """Append records to the journal.

        :param records: the records.
        :param sync: whether the records must be durable on return.
        :raises DiskError: when an operation on the data folder fails.
        """
        data = b"".join(encode_record(encode_json(record)) for record in records)
        self._append(data)
        self.record_count += len(records)
        if sync:
            self._disk.sync(self.name)
            self._append(encode_record(encode_json(SyncedRecord(self._size))))

    def write_checkpoint(self, records: list[CheckpointRecord]) -> None:
        """Write a new checkpoint and start an empty journal.

        :param records: all records of the checkpoint except its end record.
        :raises DiskError: when an operation on the data folder fails.
        """
        previous = self._number
        self._number = previous + 1
        name = self.checkpoint_name
        parts = [encode_record(encode_json(record)) for record in records]
        parts.append(encode_record(encode_json(EndRecord(len(records)))))
        data = b"".join(parts)
        disk = self._disk
        for stale in (f"{name}.new", self.name):
            if stale in disk.list_names():
                disk.remove(stale)
        disk.append(f"{name}.new", data)
        disk.sync(f"{name}.new")
        disk.append(self.name, b"")
        disk.sync(self.name)
        disk.sync_folder()
        disk.rename(f"{name}.new", name)
        disk.sync_folder()
        self._size = self.record_count = 0
        self.checkpoint_bytes = len(data)
        if previous:
            disk.remove(f"checkpoint-{previous:08d}")
            disk.remove(f"journal-{previous:08d}")

    def _read_fingerprint(self) -> tuple[int, ...]:
        if FINGERPRINT_FILE not in self._disk.list_names():
            return ()
        try:
            fingerprint: FolderFingerprint = decode_json(
                self._disk.read(FINGERPRINT_FILE), FolderFingerprint
            )
        except MessageError:
            return ()
        is_unchanged = (
            bool(fingerprint.stamp) and fingerprint.stamp == self._fingerprint_folder()
        )
        return fingerprint.groups if is_unchanged else ()

    def _fingerprint_folder(self) -> str:
        return self._disk.fingerprint((self.name, self.checkpoint_name))

    def _append(self, data: bytes) -> None:
        self._disk.append(self.name, data)
        self._size += len(data)

    def _reject_orphans(self, journals: list[int]) -> None:
        for number in journals:
            name = f"journal-{number:08d}"
            if self._disk.read(name):
                raise CorruptFileError(
                    name, 0, "the checkpoint file for this journal is missing"
                )

    def _read_checkpoint(self, name: str) -> LoadedCheckpoint:
        data = self._disk.read(name)
        self.checkpoint_bytes = len(data)
        contents, end = read_records(data)
        if end != len(data):
            raise CorruptFileError(name, end, "no valid record at this offset")
        records: list[CheckpointRecord] = [
            _decode(name, offset, content, CheckpointRecord)
            for offset, content in contents
        ]
        if not records or records[-1] != EndRecord(len(records) - 1):
            raise CorruptFileError(name, end, "the end record is missing")
        header = records[0]
        if not isinstance(header, HeaderRecord):
            raise CorruptFileError(name, 0, "the header record is missing")
        states = [each for each in records if isinstance(each, GroupStateRecord)]
        entry_records = [
            LocatedRecord(name, offset, each)
            for (offset, _), each in zip(contents, records, strict=True)
            if isinstance(each, EntryRecord)
        ]
        return LoadedCheckpoint(header, states, entry_records)

    def read_records(self) -> Iterator[LocatedRecord]:
        """Read the records of the journal, one after the other.

        Then remove files left by an interrupted checkpoint.

        :raises CorruptFileError: when the file is damaged.
        :raises DiskError: when an operation on the data folder fails.
        """
        reader = RecordReader(partial(self._disk.read_part, self.name))
        for offset, content in reader:
            record: JournalRecord = _decode(self.name, offset, content, JournalRecord)
            self.record_count += 1
            if not isinstance(record, SyncedRecord):
                yield LocatedRecord(self.name, offset, record)
        self._size = reader.offset
        if self._disk.read_part(self.name, self._size, 1):
            self._truncate_tail(self._disk.read(self.name)[self._size :])
        self._remove_leftovers()

    def _truncate_tail(self, tail: bytes) -> None:
        """Truncate bytes that were never synced.

        :param tail: the bytes after the last valid record.
        :raises CorruptFileError: when bytes that were synced are damaged.
        """
        end = self._size
        for content in find_later_records(tail, 0):
            try:
                record: JournalRecord = decode_json(content, JournalRecord)
            except MessageError:
                continue
            if isinstance(record, SyncedRecord) and record.synced > end:
                raise CorruptFileError(self.name, end, "no valid record at this offset")
        self._disk.truncate(self.name, end)
        self._disk.sync(self.name)

    def _remove_leftovers(self) -> None:
        current_files = {self.name, self.checkpoint_name}
        for name in self._disk.list_names():
            is_own = _FILE_NAME.match(name.removesuffix(".new"))
            if is_own and name not in current_files:
                self._disk.remove(name)


def _decode(name: str, offset: int, content: bytes, record_type: Any) -> Any:  # noqa: ANN401
    try:
        record = decode_json(content, record_type)
        if isinstance(record, EntryRecord):
            record.entry.read_change()
    except MessageError as error:
        raise CorruptFileError(name, offset, str(error)) from None
    return record

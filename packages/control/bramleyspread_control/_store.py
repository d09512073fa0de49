"""A host's replicas of all groups, stored in one data folder."""

from __future__ import annotations

import random
from collections.abc import Iterable
from itertools import chain

import msgspec

from bramleyspread_control._claims import ClaimStateMachine
from bramleyspread_control._config import ControlConfig
from bramleyspread_control._disk import CorruptFileError, Disk
from bramleyspread_control._documents import DocumentStateMachine
from bramleyspread_control._journal import Journal
from bramleyspread_control._journal_records import (
    CheckpointRecord,
    CommitRecord,
    EntryRecord,
    GroupStateRecord,
    HeaderRecord,
    JournalRecord,
    LocatedRecord,
    VoteRecord,
)
from bramleyspread_control._log import Log
from bramleyspread_control._members import Members
from bramleyspread_control._replica import Replica, StateMachine
from bramleyspread_core import MessageError

#: Id of the group that replicates documents, orders and the deployment document.
DOCUMENTS_GROUP = 0
#: Weight of the latest sync in the smoothed duration of syncs.
SYNC_SMOOTHING = 0.3


class SettingsError(ValueError):
    """The settings do not fit the data folder."""


class Store:
    """The replicas of all groups, and the journal that makes their state durable."""

    def __init__(
        self,
        config: ControlConfig,
        disk: Disk,
        rng: random.Random,
        now: float,
    ) -> None:
        self._config = config
        self._disk = disk
        self._sync_s = 0.0
        self._journal = Journal(disk)
        loaded = self._journal.load()
        if loaded is None:
            incarnation = f"{rng.getrandbits(96):024x}"
            self._header = HeaderRecord(incarnation, "", Members(), config.groups)
        else:
            self._header = loaded.header
        self._check_settings()
        #: Replicated state of documents and orders.
        self.documents = DocumentStateMachine(config.timings.retained_change_ids)
        #: Replicated state of the claims, by group.
        self.claims = {
            group: ClaimStateMachine(
                config.timings.max_claims, config.timings.max_claim_answer_bytes
            )
            for group in range(1, config.groups + 1)
        }
        states = {state.group: state for state in loaded.states} if loaded else {}
        #: The replicas, by group.
        self.replicas = {
            group: self._make_replica(group, states.get(group), rng, now)
            for group in range(config.groups + 1)
        }
        self._folder_changed = False
        self._fingerprinted_groups: tuple[int, ...] = ()
        # By group: the commit index in the newest record or checkpoint.
        self._written_commit_indexes: dict[int, int] = {}
        #: Whether the next write must be a checkpoint.
        self.checkpoint_due = False
        if loaded is not None:
            self._replay_all(chain(loaded.records, self._journal.read_records()))
        self._finish_loading()
        if loaded is None:
            self._write_checkpoint()
        self._write_fingerprint()

    @property
    def header(self) -> HeaderRecord:
        """Identity of the data folder and of its deployment."""
        return self._header

    @property
    def journal(self) -> Journal:
        """The checkpoint and journal files of this host."""
        return self._journal

    def join(self, deployment: str, founders: Members) -> None:
        """Record the deployment that the data folder belongs to from now on.

        :param deployment: id of the deployment.
        :param founders: its founding members if this host is one of them, else none.
        """
        self._header = msgspec.structs.replace(
            self._header, deployment=deployment, founders=founders
        )
        if founders.listed:
            for replica in self.replicas.values():
                replica.log.reset(0, 0, founders)
        self.checkpoint_due = True

    def write(self) -> None:
        """Make all changes of all replicas durable, with at most one journal sync.

        :raises DiskError: when an operation on the data folder fails; nothing may be
            sent after that.
        """
        if self._is_checkpoint_due():
            self._write_checkpoint()
            self._folder_changed = True
            return
        records = self._collect_records()
        if records:
            self._journal.write(records, sync=True)
            self._folder_changed = True
            self._record_sync_time()

    def _record_sync_time(self) -> None:
        """Tell all replicas how long syncs take, smoothed."""
        latest_s = self._disk.last_sync_s
        self._sync_s += SYNC_SMOOTHING * (latest_s - self._sync_s)
        for replica in self.replicas.values():
            replica.consensus.sync_s = self._sync_s

    def write_commits(self) -> None:
        """Write changed commit indexes without a sync, since their loss is harmless."""
        records: list[JournalRecord] = []
        for group, replica in self.replicas.items():
            if self._written_commit_indexes.get(group) != replica.log.commit_index:
                self._written_commit_indexes[group] = replica.log.commit_index
                records.append(CommitRecord(group, replica.log.commit_index))
        if records:
            self._journal.write(records, sync=False)
            self._folder_changed = True
        if (
            self._folder_changed
            or self._list_complete_groups() != self._fingerprinted_groups
        ):
            self._write_fingerprint()

    def _list_complete_groups(self) -> tuple[int, ...]:
        return tuple(
            group
            for group, replica in self.replicas.items()
            if replica.consensus.log_complete
        )

    def _write_fingerprint(self) -> None:
        self._fingerprinted_groups = self._list_complete_groups()
        self._journal.write_fingerprint(self._fingerprinted_groups)
        self._folder_changed = False

    def _check_settings(self) -> None:
        header = self._header
        if header.deployment and header.groups != self._config.groups:
            raise SettingsError(
                f"groups: the settings say {self._config.groups}, but the deployment "
                f"was founded with {header.groups}; set it back to {header.groups}"
            )

    def _make_replica(
        self,
        group: int,
        state: GroupStateRecord | None,
        rng: random.Random,
        now: float,
    ) -> Replica:
        state_machine: StateMachine = self.claims[group] if group else self.documents
        log = Log(0, 0, Members())
        if state is not None:
            log = Log(state.index, state.index_term, state.members)
            try:
                state_machine.restore(bytes(state.state))
            except MessageError as error:
                name = self._journal.checkpoint_name
                raise CorruptFileError(
                    name, 0, f"state of group {group}: {error}"
                ) from None
        replica = Replica(
            group,
            self._config.host,
            self._header.incarnation,
            log,
            state_machine,
            self._config.timings,
            rng,
            now,
        )
        if state is not None:
            replica.consensus.term, replica.consensus.vote = state.term, state.vote
        replica.consensus.log_complete = (
            state is None
            or group in self._journal.complete_groups
            or self._config.trust_folder
        )
        return replica

    def _replay_all(self, records: Iterable[LocatedRecord]) -> None:
        """Replay records, and keep no more of them in memory than is needed."""
        replayed_bytes = 0
        for located in records:
            self._replay(located)
            if (
                located.offset - replayed_bytes
                >= self._config.timings.max_journal_bytes
            ):
                replayed_bytes = located.offset
                for replica in self.replicas.values():
                    replica.apply_committed()
                    self._compact(replica.log)

    def _compact(self, log: Log) -> None:
        timings = self._config.timings
        log.compact_applied(timings.retained_log_entries, timings.retained_log_bytes)

    def _replay(self, located: LocatedRecord) -> None:
        record = located.record
        replica = self.replicas.get(record.group)
        if replica is None:
            raise CorruptFileError(
                located.name, located.offset, f"record of unknown group {record.group}"
            )
        log = replica.log
        match record:
            case VoteRecord():
                replica.consensus.term, replica.consensus.vote = (
                    record.term,
                    record.vote,
                )
            case CommitRecord():
                log.commit_index = max(
                    log.commit_index, min(record.index, log.last_index)
                )
            case EntryRecord():
                index = record.entry.index
                if not log.commit_index < index <= log.last_index + 1:
                    detail = f"log entry {index} does not follow {log.last_index}"
                    raise CorruptFileError(located.name, located.offset, detail)
                if index <= log.last_index:
                    log.truncate_from(index)
                log.append(record.entry.detach())

    def _finish_loading(self) -> None:
        for group, replica in self.replicas.items():
            replica.consensus.vote_unwritten = False
            replica.log.mark_written()
            replica.log.mark_synced()
            replica.apply_committed()
            self._written_commit_indexes[group] = replica.log.commit_index

    def _collect_records(self) -> list[JournalRecord]:
        records: list[JournalRecord] = []
        for group, replica in self.replicas.items():
            consensus = replica.consensus
            if consensus.vote_unwritten:
                consensus.vote_unwritten = False
                records.append(VoteRecord(group, consensus.term, consensus.vote))
            entries = replica.log.pop_unwritten()
            records.extend(EntryRecord(group, entry) for entry in entries)
        return records

    def _is_checkpoint_due(self) -> bool:
        journal = self._journal
        timings = self._config.timings
        has_many_records = journal.record_count >= timings.checkpoint_min_records
        is_large = journal.size >= timings.max_journal_bytes
        journal_is_long = (
            has_many_records or is_large
        ) and journal.size >= journal.checkpoint_bytes
        snapshot_installed = any(
            each.follower_state.snapshot_installed for each in self.replicas.values()
        )
        return journal_is_long or snapshot_installed or self.checkpoint_due

    def _write_checkpoint(self) -> None:
        records: list[CheckpointRecord] = [self._header]
        for group, replica in self.replicas.items():
            records.append(self._make_group_record(group, replica))
            entries = replica.log.list_entries()
            records.extend(
                EntryRecord(group, entry)
                for entry in entries
                if entry.index > replica.log.applied_index
            )
        self._journal.write_checkpoint(records)
        self.checkpoint_due = False
        for group, replica in self.replicas.items():
            replica.consensus.vote_unwritten = False
            replica.follower_state.snapshot_installed = False
            replica.log.mark_written()
            self._compact(replica.log)
            self._written_commit_indexes[group] = replica.log.applied_index

    def _make_group_record(self, group: int, replica: Replica) -> GroupStateRecord:
        log = replica.log
        term = log.find_term(log.applied_index)
        assert term is not None, "the log must contain the last applied entry"
        return GroupStateRecord(
            group,
            replica.consensus.term,
            replica.consensus.vote,
            log.applied_index,
            term,
            log.find_members_at(log.applied_index),
            msgspec.Raw(replica.state_machine.encode()),
        )

"""A host's replicas of all groups, on one data folder."""

from __future__ import annotations

import random

import msgspec

from bramleyspread_control._claims import ClaimsMachine
from bramleyspread_control._config import ControlConfig
from bramleyspread_control._disk import CorruptFileError, Disk
from bramleyspread_control._documents import DocumentsMachine
from bramleyspread_control._journal import Journal
from bramleyspread_control._journal_records import (
    CheckpointRecord,
    Committed,
    GroupState,
    Header,
    JournalRecord,
    Logged,
    Placed,
    Voted,
)
from bramleyspread_control._log import Log
from bramleyspread_control._members import Members
from bramleyspread_control._replica import Machine, Replica
from bramleyspread_core import MessageError

#: The group of documents, members and orders.
DOCUMENTS_GROUP = 0


class SettingsError(ValueError):
    """Settings that do not fit the data folder."""


class Store:
    """Replicas, and the one journal that makes them durable."""

    def __init__(
        self,
        config: ControlConfig,
        disk: Disk,
        rng: random.Random,
        now: float,
    ) -> None:
        self._config = config
        self._journal = Journal(disk)
        stored = self._journal.load()
        if stored is None:
            incarnation = f"{rng.getrandbits(96):024x}"
            self._header = Header(incarnation, "", Members(), config.groups)
        else:
            self._header = stored.header
        self._check_settings()
        #: The state of documents and orders.
        self.documents = DocumentsMachine(config.timings.changes_kept)
        #: The states of claims, by group.
        self.claims = {
            group: ClaimsMachine(
                config.timings.claims_at_most, config.timings.claim_bytes_at_most
            )
            for group in range(1, config.groups + 1)
        }
        states = {state.group: state for state in stored.states} if stored else {}
        #: The replicas, by group.
        self.replicas = {
            group: self._make_replica(group, states.get(group), rng, now)
            for group in range(config.groups + 1)
        }
        self._touched = False
        self._witnessed: tuple[int, ...] = ()
        self._written_commits: dict[int, int] = {}
        #: Whether the next write must be a checkpoint.
        self.checkpoint_due = False
        for placed in stored.records if stored else ():
            self._replay(placed)
        self._finish_loading()
        if stored is None:
            self._write_checkpoint()
        self._leave_witness()

    @property
    def header(self) -> Header:
        """Identity of the data folder and of the deployment."""
        return self._header

    @property
    def journal(self) -> Journal:
        """The files."""
        return self._journal

    def join(self, deployment: str, founders: Members) -> None:
        """Belong to a deployment from now on.

        :param deployment: its name.
        :param founders: its first members, where this host is one; else none.
        """
        self._header = msgspec.structs.replace(
            self._header, deployment=deployment, founders=founders
        )
        if founders.listed:
            for replica in self.replicas.values():
                replica.log.reset(0, 0, founders)
        self.checkpoint_due = True

    def write(self) -> None:
        """Make all changes of all replicas durable, with one sync at most.

        :raises DiskError: when the data folder fails; nothing may be sent then.
        """
        if self._is_checkpoint_due():
            self._write_checkpoint()
            self._touched = True
            return
        records = self._collect()
        if records:
            self._journal.write(records, sync=True)
            self._touched = True

    def write_commits(self) -> None:
        """Add how far the groups are committed; a loss of it harms nothing."""
        records: list[JournalRecord] = []
        for group, replica in self.replicas.items():
            if self._written_commits.get(group) != replica.log.commit:
                self._written_commits[group] = replica.log.commit
                records.append(Committed(group, replica.log.commit))
        if records:
            self._journal.write(records, sync=False)
            self._touched = True
        if self._touched or self._list_complete() != self._witnessed:
            self._leave_witness()

    def _list_complete(self) -> tuple[int, ...]:
        return tuple(
            group
            for group, replica in self.replicas.items()
            if replica.standing.confirmed
        )

    def _leave_witness(self) -> None:
        self._witnessed = self._list_complete()
        self._journal.leave_witness(self._witnessed)
        self._touched = False

    def _check_settings(self) -> None:
        header = self._header
        if header.deployment and header.groups != self._config.groups:
            raise SettingsError(
                f"groups: the settings say {self._config.groups}, but the deployment "
                f"was founded with {header.groups}; set it back"
            )

    def _make_replica(
        self,
        group: int,
        state: GroupState | None,
        rng: random.Random,
        now: float,
    ) -> Replica:
        machine: Machine = self.claims[group] if group else self.documents
        log = Log(0, 0, Members())
        if state is not None:
            log = Log(state.index, state.index_term, state.members)
            try:
                machine.restore(bytes(state.state))
            except MessageError as error:
                name = self._journal.checkpoint_name
                raise CorruptFileError(name, 0, f"group {group}: {error}") from None
        replica = Replica(
            group,
            self._config.host,
            self._header.incarnation,
            log,
            machine,
            self._config.timings,
            rng,
            now,
        )
        if state is not None:
            replica.standing.term, replica.standing.vote = state.term, state.vote
        replica.standing.confirmed = (
            state is None
            or group in self._journal.complete_groups
            or self._config.trust_folder
        )
        return replica

    def _replay(self, placed: Placed) -> None:
        record = placed.record
        replica = self.replicas.get(record.group)
        if replica is None:
            raise CorruptFileError(
                placed.name, placed.offset, f"group {record.group} is not known"
            )
        log = replica.log
        match record:
            case Voted():
                replica.standing.term, replica.standing.vote = record.term, record.vote
            case Committed():
                log.commit = max(log.commit, min(record.index, log.last_index))
            case Logged():
                index = record.entry.index
                if not log.commit < index <= log.last_index + 1:
                    detail = f"entry {index} does not follow {log.last_index}"
                    raise CorruptFileError(placed.name, placed.offset, detail)
                if index <= log.last_index:
                    log.cut_from(index)
                log.append(record.entry.detach())

    def _finish_loading(self) -> None:
        for group, replica in self.replicas.items():
            replica.standing.unwritten = False
            replica.log.mark_written()
            replica.log.mark_synced()
            replica.apply_committed()
            self._written_commits[group] = replica.log.commit

    def _collect(self) -> list[JournalRecord]:
        records: list[JournalRecord] = []
        for group, replica in self.replicas.items():
            standing = replica.standing
            if standing.unwritten:
                standing.unwritten = False
                records.append(Voted(group, standing.term, standing.vote))
            fresh = replica.log.take_unwritten()
            records.extend(Logged(group, entry) for entry in fresh)
        return records

    def _is_checkpoint_due(self) -> bool:
        journal = self._journal
        long = (
            journal.records >= self._config.timings.snapshot_every
            and journal.size >= journal.checkpoint_bytes
        )
        replaced = any(each.following.replaced for each in self.replicas.values())
        return long or replaced or self.checkpoint_due

    def _write_checkpoint(self) -> None:
        records: list[CheckpointRecord] = [self._header]
        for group, replica in self.replicas.items():
            records.append(self._describe(group, replica))
            fresh = replica.log.list_entries()
            records.extend(
                Logged(group, entry)
                for entry in fresh
                if entry.index > replica.log.applied
            )
        self._journal.replace(records)
        self.checkpoint_due = False
        for group, replica in self.replicas.items():
            replica.standing.unwritten = False
            replica.following.replaced = False
            replica.log.mark_written()
            replica.log.compact(replica.log.applied - self._config.timings.log_kept)
            self._written_commits[group] = replica.log.applied

    def _describe(self, group: int, replica: Replica) -> GroupState:
        log = replica.log
        term = log.find_term(log.applied)
        assert term is not None, "the applied entry must be in the log"
        return GroupState(
            group,
            replica.standing.term,
            replica.standing.vote,
            log.applied,
            term,
            log.find_members_at(log.applied),
            msgspec.Raw(replica.machine.encode()),
        )

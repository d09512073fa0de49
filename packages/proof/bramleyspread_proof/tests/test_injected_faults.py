"""Tests that scenarios detect injected faults, each caught by a named check."""

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from msgspec.structs import replace

import bramleyspread_entry._completion as completion
from bramleyspread_control import MemoryDisk
from bramleyspread_control._documents import DocumentStateMachine
from bramleyspread_control._election import VoteTally
from bramleyspread_control._members import Members
from bramleyspread_control._store import Store
from bramleyspread_core import (
    AnswerRefused,
    Claimed,
    DocumentsPage,
    Fault,
    NotRun,
    Reason,
    SendAnswer,
    TargetState,
    Unknown,
)
from bramleyspread_entry import EntryDecisions
from bramleyspread_entry._delivery import Delivery
from bramleyspread_entry._state import EntryState
from bramleyspread_membership import StartupGate
from bramleyspread_membership._documents import DocumentTable
from bramleyspread_membership._targets import TargetTable
from bramleyspread_proof.__main__ import read_documents
from bramleyspread_proof._scenario import read_scenario, run_scenario

HERE = Path(__file__).parent
SCENARIOS = HERE.parent / "scenarios"
DOCUMENTS = read_documents(HERE.parents[3] / "examples" / "consorcio")

Patch = pytest.MonkeyPatch


def skip_disk_sync(patch: Patch) -> None:
    patch.setattr(MemoryDisk, "sync", lambda disk, name: None)


def commit_without_quorum(patch: Patch) -> None:
    patch.setattr(Members, "quorum", property(lambda members: 1))


def identify_hosts_by_name_only(patch: Patch) -> None:
    """Identify hosts by name only, and trust votes from hosts that lost their log."""
    load, join = Store.__init__, Store.join
    founders: list[Members] = []

    def load_by_name(
        store: Store, config: Any, disk: Any, rng: Any, now: float
    ) -> None:
        named = Random(config.host)
        load(store, config, disk, named, now)

    def join_as_founder(store: Store, deployment: str, members: Members) -> None:
        if members.listed:
            founders[:] = [members]
        join(store, deployment, members if members.listed else founders[0])

    def count_votes(tally: VoteTally, standing: Any) -> bool:
        quorum: int = standing.log.members.quorum
        return len(tally._granted_by) >= quorum

    patch.setattr(Store, "__init__", load_by_name)
    patch.setattr(Store, "join", join_as_founder)
    patch.setattr(VoteTally, "has_won", count_votes)


def skip_compare_and_set(patch: Patch) -> None:
    put = DocumentStateMachine._put_document

    def accept_any(machine: DocumentStateMachine, change: Any) -> Any:
        held = machine.documents.get(change.document.service)
        if held is not None:
            before = replace(held.in_force, version=change.document.version - 1)
            machine.documents[held.document.service] = replace(held, in_force=before)
        return put(machine, change)

    patch.setattr(DocumentStateMachine, "_put_document", accept_any)


def forget_change_ids(patch: Patch) -> None:
    put = DocumentStateMachine._put_document

    def forget(machine: DocumentStateMachine, change: Any) -> Any:
        machine._changes.clear()
        return put(machine, change)

    patch.setattr(DocumentStateMachine, "_put_document", forget)


def apply_older_documents(patch: Patch) -> None:
    def apply(table: DocumentTable, page: DocumentsPage) -> list[Any]:
        return [table._put_in_force(document) for document in page.documents]

    def find_page(machine: DocumentStateMachine, revision: int) -> DocumentsPage:
        held = [each.in_force for each in machine.documents.values()]
        return DocumentsPage(machine.revision, tuple(held))

    patch.setattr(DocumentTable, "apply", apply)
    patch.setattr(DocumentStateMachine, "find_page", find_page)


def retry_unknown_outcome(patch: Patch) -> None:
    ended = EntryDecisions.handle_attempt_end

    def as_not_run(self: EntryDecisions, attempt: Any, outcome: Any, now: float) -> Any:
        if isinstance(outcome, Unknown):
            outcome = NotRun(Fault(Reason.CONNECT, "stage", "target"))
        return ended(self, attempt, outcome, now)

    patch.setattr(EntryDecisions, "handle_attempt_end", as_not_run)


def dispatch_without_claim(patch: Patch) -> None:
    answered = EntryDecisions.handle_claim_result

    def granted(self: EntryDecisions, request: Any, result: Any, now: float) -> Any:
        return answered(self, request, Claimed(), now)

    patch.setattr(EntryDecisions, "handle_claim_result", granted)


def report_failures_as_refused(patch: Patch) -> None:
    patch.setattr(
        completion,
        "choose_answer",
        lambda run, fault, retry_after_ms: AnswerRefused(fault, retry_after_ms),
    )


def answer_twice(patch: Patch) -> None:
    emit = EntryState.emit

    def doubled(state: EntryState, effect: Any) -> None:
        emit(state, effect)
        if isinstance(effect, SendAnswer):
            emit(state, effect)

    patch.setattr(EntryState, "emit", doubled)


def deliver_crossed_answers(patch: Patch) -> None:
    patch.setattr(Delivery, "find_fault", lambda *_: None)


def ignore_leaving(patch: Patch) -> None:
    merge = TargetTable.merge

    def serving(table: TargetTable, announcement: Any, *rest: Any) -> Any:
        return merge(table, replace(announcement, state=TargetState.SERVING), *rest)

    patch.setattr(TargetTable, "merge", serving)


def extend_leases(patch: Patch) -> None:
    init = TargetTable.__init__

    def longer(table: TargetTable, lease: float, *rest: Any) -> None:
        init(table, 100 * lease, *rest)

    patch.setattr(TargetTable, "__init__", longer)


def end_drain_at_once(patch: Patch) -> None:
    patch.setattr(EntryDecisions, "in_flight", property(lambda decisions: 0))


def serve_before_catching_up(patch: Patch) -> None:
    patch.setattr(StartupGate, "is_open", lambda gate, now: True)


INJECTED_FAULTS = [
    (skip_disk_sync, "power-lost", "submissions ended as"),
    (commit_without_quorum, "lost-disk-does-not-vote", ""),
    (identify_hosts_by_name_only, "lost-disk-does-not-vote", ""),
    (skip_compare_and_set, "operators-race", "accepted twice"),
    (forget_change_ids, "resend-after-lost-answer", "Conflict"),
    (apply_older_documents, "regions-lose-each-other", "never-reverts"),
    (serve_before_catching_up, "entry-restarts-beside-lagging-control", "serves"),
    (retry_unknown_outcome, "target-killed", "run-at-most-once"),
    (dispatch_without_claim, "entries-killed-twice", "run-at-most-once"),
    (report_failures_as_refused, "target-killed", "refused-not-run"),
    (answer_twice, "steady", "answered-once"),
    (deliver_crossed_answers, "answers-crossed", "answered-whole"),
    (ignore_leaving, "targets-leave", "leaving-left-alone"),
    (extend_leases, "targets-leave", "leaving-left-alone"),
    (end_drain_at_once, "entry-drained", "stop-cuts-nothing"),
]


@pytest.mark.parametrize(
    ("inject", "scenario", "expected"),
    INJECTED_FAULTS,
    ids=[each[0].__name__ for each in INJECTED_FAULTS],
)
def test_injected_fault_is_detected(
    monkeypatch: Patch, inject: Callable[[Patch], None], scenario: str, expected: str
) -> None:
    inject(monkeypatch)
    verdict = run_scenario(read_scenario(SCENARIOS / f"{scenario}.yaml"), DOCUMENTS)
    assert not verdict.holds
    assert any(expected in fault for fault in verdict.faults), verdict.faults[:5]

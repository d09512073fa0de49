"""Tests of the replicated state of claims and of the leader's claim timers."""

from __future__ import annotations

import pytest

from bramleyspread_control import ControlTimings, find_claim_group
from bramleyspread_control._claim_timers import ClaimTimers
from bramleyspread_control._claims import ClaimStateMachine
from bramleyspread_control._entries import ExpireClaims, ForgetClaims
from bramleyspread_control.tests._cluster import claim, key, settle
from bramleyspread_core import (
    ClaimDone,
    Claimed,
    ClaimUnknown,
    MessageError,
    Rejected,
    Settled,
)

TIMINGS = ControlTimings(claim_retention_s=100.0, claim_grace_s=1.0)


def make_machine(
    max_claims: int = 10, max_answer_bytes: int = 1_000
) -> ClaimStateMachine:
    return ClaimStateMachine(max_claims, max_answer_bytes)


def apply_due_changes(
    machine: ClaimStateMachine, timers: ClaimTimers, now: float
) -> list[str]:
    kinds = []
    for change in timers.collect_due_changes(now):
        machine.apply(change)
        kinds.append(type(change).__name__)
    return kinds


def test_full_table_rejects_claims_and_evicts_none() -> None:
    machine = make_machine(max_claims=2)
    for number in (1, 2):
        assert machine.apply(claim(f"r{number}", f"k{number}")) == Claimed()
        assert machine.apply(settle(f"r{number}", "done", f"k{number}")) == Settled()
    assert isinstance(machine.apply(claim("r3", "k3")), Rejected)
    assert isinstance(machine.apply(claim("r4", "k1")), ClaimDone)
    machine.apply(ForgetClaims(1))
    assert machine.apply(claim("r5", "k3")) == Claimed()
    assert isinstance(machine.apply(claim("r6", "k2")), ClaimDone)


def test_claims_are_rejected_above_the_answer_size_limit() -> None:
    machine = make_machine(max_answer_bytes=10)
    machine.apply(claim("r1"))
    machine.apply(settle("r1", "done"))
    assert isinstance(machine.apply(claim("r2", "k2")), Rejected)
    machine.apply(ForgetClaims(1))
    assert machine.answer_bytes == 0
    assert machine.apply(claim("r2", "k2")) == Claimed()


def test_finished_claims_are_kept_for_the_retention_time() -> None:
    machine, now = make_machine(), 0.0
    timers = ClaimTimers(machine, TIMINGS, now)
    machine.apply(claim("r1"))
    machine.apply(settle("r1", "done"))
    apply_due_changes(machine, timers, 1.0)
    assert apply_due_changes(machine, timers, 100.9) == []
    successor = ClaimTimers(machine, TIMINGS, 100.9)
    apply_due_changes(machine, successor, 100.9)
    assert apply_due_changes(machine, successor, 200.5) == []
    assert apply_due_changes(machine, successor, 201.0) == [ForgetClaims.__name__]
    assert machine.apply(claim("r2")) == Claimed()


def test_running_claims_expire_after_time_budget_and_grace() -> None:
    machine = make_machine()
    timers = ClaimTimers(machine, TIMINGS, 0.0)
    machine.apply(claim("r1", remaining_ms=500))
    apply_due_changes(machine, timers, 1.0)
    assert apply_due_changes(machine, timers, 2.4) == []
    assert apply_due_changes(machine, timers, 2.6) == [ExpireClaims.__name__]
    assert machine.apply(claim("r2")) == ClaimUnknown(claim("r1").request)


def test_late_expiry_of_a_released_claim_has_no_effect() -> None:
    machine = make_machine()
    timers = ClaimTimers(machine, TIMINGS, 0.0)
    machine.apply(claim("r1", remaining_ms=500))
    timers.collect_due_changes(1.0)
    expirations = timers.collect_due_changes(9.0)
    machine.apply(settle("r1", "not-run"))
    machine.apply(claim("r2"))
    for change in expirations:
        machine.apply(change)
    assert machine.apply(claim("r2")) == Claimed()


def test_snapshot_restores_the_complete_state() -> None:
    machine = make_machine()
    for number, ended in enumerate(("done", "unknown", "not-run")):
        machine.apply(claim(f"r{number}", f"k{number}"))
        machine.apply(settle(f"r{number}", ended, f"k{number}"))
    machine.apply(claim("r9", "k9"))
    copy = make_machine()
    copy.restore(machine.encode())
    assert copy.encode() == machine.encode()
    assert copy.running == machine.running
    assert list(copy.finished) == list(machine.finished)
    assert copy.answer_bytes == machine.answer_bytes
    assert isinstance(copy.apply(claim("r2", "k2")), Rejected)
    with pytest.raises(MessageError):
        copy.restore(b"[]")
    assert copy.encode() == machine.encode()


def test_claim_group_of_a_key_is_stable() -> None:
    groups = [find_claim_group(key(f"k{number}"), 4) for number in range(8)]
    assert groups == [1, 2, 4, 1, 2, 2, 1, 2]

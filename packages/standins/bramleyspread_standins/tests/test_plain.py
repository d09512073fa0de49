"""Tests of the plain service with simulated time, and of the attempt history."""

import random
from pathlib import Path

from bramleyspread_core import AttemptId, TargetAnswer, TargetRefusal, decode_json
from bramleyspread_standins._ledger import LedgerEntry, open_ledger
from bramleyspread_standins._plain import PlainCapacity, PlainService
from bramleyspread_standins._run import AttemptHistory, Run
from bramleyspread_standins.tests.test_engine import make_run


def test_records_each_run_before_it_ends(tmp_path: Path) -> None:
    path = tmp_path / "ledger"
    capacity = PlainCapacity(slots=1, max_waiting=1, mean_call_s=0.01)
    service = PlainService("ledger-1", capacity, open_ledger(path), random.Random(1))
    first, second, third = make_run("a"), make_run("b"), make_run("c")
    for run in (first, second, third):
        service.admit(run, 0.0)
    entry: LedgerEntry = decode_json(path.read_text(), LedgerEntry)
    assert entry.marker == "a"
    assert isinstance(third.result, TargetRefusal)
    service.cancel(second)
    assert isinstance(second.result, TargetRefusal)
    service.cancel(first)
    due = service.next_due()
    assert due is not None
    assert service.advance(due) == [first]
    assert isinstance(first.result, TargetAnswer)
    assert len(path.read_text().splitlines()) == 1


def test_history_finds_repeats_and_early_cancels() -> None:
    history = AttemptHistory(capacity=1)
    run: Run = make_run("a")
    history.add(run)
    history.add(make_run("b"))
    assert history.find(AttemptId("a-a")) is run
    run.refuse("over")
    history.add(make_run("c"))
    assert history.find(AttemptId("a-a")) is None
    history.record_early_cancel(AttemptId("x"))
    assert history.was_cancelled_early(AttemptId("x"))
    assert not history.was_cancelled_early(AttemptId("a-a"))

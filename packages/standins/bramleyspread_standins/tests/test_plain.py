"""The plain service in virtual time, and the book of attempts."""

import random
from pathlib import Path

from bramleyspread_core import AttemptId, TargetAnswer, TargetRefusal, decode_json
from bramleyspread_standins._ledger import LedgerLine, open_ledger
from bramleyspread_standins._plain import PlainService, PlainSize
from bramleyspread_standins._run import AttemptBook, Run
from bramleyspread_standins.tests.test_engine import make_run


def test_writes_each_run_down_before_it_ends(tmp_path: Path) -> None:
    path = tmp_path / "ledger"
    size = PlainSize(slots=1, waiting=1, work=0.01)
    service = PlainService("ledger-1", size, open_ledger(path), random.Random(1))
    first, second, third = make_run("a"), make_run("b"), make_run("c")
    for run in (first, second, third):
        service.admit(run, 0.0)
    line: LedgerLine = decode_json(path.read_text(), LedgerLine)
    assert line.marker == "a"
    assert isinstance(third.end, TargetRefusal)
    service.cancel(second)
    assert isinstance(second.end, TargetRefusal)
    service.cancel(first)
    due = service.next_due()
    assert due is not None
    assert service.advance(due) == [first]
    assert isinstance(first.end, TargetAnswer)
    assert len(path.read_text().splitlines()) == 1


def test_book_knows_repeats_and_cancels_that_came_first() -> None:
    book = AttemptBook(kept=1)
    run: Run = make_run("a")
    book.add(run)
    book.add(make_run("b"))
    assert book.find(AttemptId("a-a")) is run
    run.refuse("over")
    book.add(make_run("c"))
    assert book.find(AttemptId("a-a")) is None
    book.cancel_unseen(AttemptId("x"))
    assert book.was_cancelled(AttemptId("x"))
    assert not book.was_cancelled(AttemptId("a-a"))

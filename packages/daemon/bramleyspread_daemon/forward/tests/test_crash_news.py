"""What an entry host tells control hosts of crashes of targets."""

from __future__ import annotations

import pytest

from bramleyspread_containment import Crash, CrashTable
from bramleyspread_core import Address
from bramleyspread_daemon.forward import _target_crashes
from bramleyspread_daemon.forward._target_crashes import (
    MISSED_AFTER_S,
    TargetCrashes,
)
from bramleyspread_forwarding import FeedPage

FIRST, SECOND = Address("10.9.0.1", 1), Address("10.9.0.2", 1)


async def answer_connections(_: Address) -> bool:
    return False


class Link:
    """A control host with its table of crashes, and its feed to one entry host."""

    def __init__(self, crashes: TargetCrashes, address: Address) -> None:
        self._crashes, self._address = crashes, address
        self.incarnation = "1"
        self.table = CrashTable()

    def exchange(self, now: float) -> int:
        """Answer one question, and return how many crashes it told of."""
        news = self._crashes.list_news(self._address, self.incarnation)
        if news is not None:
            self.table.apply(news, now)
        page = FeedPage(
            incarnation=self.incarnation,
            position=0,
            crash_news=self.table.list_news(0, now),
            heard_crash_revision=news.revision if news is not None else 0,
        )
        self._crashes.handle_page(self._address, page)
        return len(news.crashes) if news is not None else 0

    def restart(self) -> None:
        self.incarnation += "1"
        self.table = CrashTable()


def make_crash(target: str, ended_at: float) -> Crash:
    return Crash(
        target=target,
        born=0,
        holder="",
        features=frozenset({"p1"}),
        ended_at=ended_at,
    )


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """The current time, which the test changes."""
    clock = [100.0]
    monkeypatch.setattr(_target_crashes, "read_monotonic", lambda: clock[0])
    return clock


def test_control_hosts_are_told_what_this_host_saw(now: list[float]) -> None:
    crashes = TargetCrashes(answer_connections, lambda *_: None)
    first, second = Link(crashes, FIRST), Link(crashes, SECOND)
    for link in (first, second):
        link.exchange(now[0])
    first.table.record_crash(make_crash("t1", 99.0))
    first.exchange(now[0])
    assert second.exchange(now[0]) == 0
    crashes.table.record_crash(make_crash("t2", 99.5))
    assert (first.exchange(now[0]), second.exchange(now[0])) == (1, 1)


# Guards against a crash that is forgotten, since who saw it is gone and all others
# think that every control host knows it.
@pytest.mark.parametrize("is_restarted", [False, True])
def test_control_host_that_may_have_missed_something_is_told_everything(
    now: list[float], is_restarted: bool
) -> None:
    crashes = TargetCrashes(answer_connections, lambda *_: None)
    first, second = Link(crashes, FIRST), Link(crashes, SECOND)
    for link in (first, second):
        link.exchange(now[0])
    first.table.record_crash(make_crash("t1", 99.0))
    first.exchange(now[0])
    crashes.table.record_crash(make_crash("t2", 99.5))
    now[0] += MISSED_AFTER_S + 1
    if is_restarted:
        second.restart()
    for _ in range(2):
        second.exchange(now[0])
    assert {each.target for each in second.table.list_news(0, now[0]).crashes} == {
        "t1",
        "t2",
    }

"""Evidence of crashes: what is quarantined, what isn't, and how hosts agree."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest

from bramleyspread_containment import (
    Crash,
    CrashNews,
    CrashTable,
    identify_part,
)
from bramleyspread_containment._crash_table import (
    MAX_CRASHES,
    MAX_FEATURES,
    MAX_NEWS,
    MAX_TRANSIT_S,
    RETENTION_S,
)
from bramleyspread_containment._quarantine import (
    HOLD_AFTER_SUCCESS_S,
    HOLD_S,
    MAX_NEEDED_CRASHES,
    NEEDED_CRASHES,
)

FATAL, SHARED, OTHER = map(identify_part, ("fatal", "shared", "other"))


def make_crash(
    at: float,
    *features: str,
    holder: str = "booths",
    target: str | None = None,
) -> Crash:
    """Make a crash of a target of its own."""
    return Crash(
        target=target or f"t-{at}",
        born=0,
        holder=holder,
        features=frozenset(features),
        ended_at=at,
    )


def crash(table: CrashTable, number: int, *features: str, since: float = 1.0) -> float:
    """Record crashes one after another, and return when the last one happened."""
    for at in range(number):
        table.record_crash(make_crash(since + at, *features))
    return since + number - 1


def is_refused(
    table: CrashTable, now: float, *features: str, holder: str = "booths"
) -> bool:
    return table.find_quarantine(frozenset(features), holder, now) is not None


def test_feature_is_quarantined_after_crashes_one_after_another() -> None:
    table = CrashTable()
    now = crash(table, NEEDED_CRASHES - 1, FATAL)
    assert not is_refused(table, now, FATAL)
    table.record_crash(make_crash(now + 1, FATAL))
    assert is_refused(table, now + 1, FATAL)
    assert is_refused(table, now + 1, OTHER, FATAL)
    assert not is_refused(table, now + 1, OTHER)


# Guards against a verdict on whatever runs while many targets end for one reason.
def test_targets_that_crash_at_the_same_time_count_once() -> None:
    table = CrashTable()
    for number in range(20):
        table.record_crash(
            make_crash(5.0 + number / 1_000, FATAL, target=f"t-{number}")
        )
    assert not is_refused(table, 5.0, FATAL)


def test_only_requests_with_all_features_that_may_be_the_cause_are_refused() -> None:
    table = CrashTable()
    now = crash(table, NEEDED_CRASHES, SHARED, FATAL)
    assert is_refused(table, now, SHARED, FATAL)
    assert not is_refused(table, now, SHARED)
    assert not is_refused(table, now, FATAL, OTHER)
    table.record_success([SHARED, OTHER], now)
    assert is_refused(table, now, FATAL, OTHER)
    assert not is_refused(table, now, SHARED, OTHER)


def test_feature_that_some_crashes_lack_is_not_needed() -> None:
    table = CrashTable()
    for at in range(NEEDED_CRASHES):
        table.record_crash(make_crash(1.0 + at, FATAL, f"subject-{at}"))
    assert is_refused(table, 9.0, FATAL, "subject-9")


def test_success_clears_a_feature() -> None:
    table = CrashTable()
    now = crash(table, NEEDED_CRASHES, FATAL)
    table.record_success([FATAL], now + 1)
    assert not is_refused(table, now + 1, FATAL)


def test_feature_with_successes_needs_more_crashes_and_is_held_for_less() -> None:
    table = CrashTable()
    table.record_success([FATAL], 0.5)
    now = crash(table, MAX_NEEDED_CRASHES - 1, FATAL)
    assert not is_refused(table, now, FATAL)
    table.record_crash(make_crash(now + 1, FATAL))
    assert is_refused(table, now + 1, FATAL)
    assert not is_refused(table, now + 1 + HOLD_AFTER_SUCCESS_S, FATAL)


# Guards against a request that pays for the proof again each time a quarantine ends.
def test_crash_after_a_quarantine_doubles_it() -> None:
    table = CrashTable()
    now = crash(table, NEEDED_CRASHES, FATAL)
    assert is_refused(table, now + HOLD_S - 1, FATAL)
    later = now + HOLD_S + 1
    assert not is_refused(table, later, FATAL)
    table.expire(later)
    table.record_crash(make_crash(later, FATAL))
    assert is_refused(table, later + 2 * HOLD_S - 1, FATAL)


# Guards against requests that are refused for hours because many targets crashed at
# once, whatever they were asked, and are sound again.
@pytest.mark.parametrize("has_succeeded", [False, True])
def test_number_of_targets_that_crashed_at_first_does_not_prolong_a_quarantine(
    *, has_succeeded: bool
) -> None:
    table = CrashTable()
    if has_succeeded:
        table.record_success([FATAL], 0.5)
    now = crash(table, 50, FATAL)
    assert is_refused(table, now, FATAL)
    hold_s = HOLD_AFTER_SUCCESS_S if has_succeeded else HOLD_S
    assert not is_refused(table, now + hold_s, FATAL)


# Guards against an organisation that has a part of another one refused.
def test_requests_of_one_organisation_cant_have_those_of_another_refused() -> None:
    table = CrashTable()
    now = crash(table, NEEDED_CRASHES + 5, FATAL)
    assert is_refused(table, now, FATAL)
    assert not is_refused(table, now, FATAL, holder="chasqui")
    table.record_crash(make_crash(now + 1, FATAL, holder="chasqui"))
    assert is_refused(table, now + 1, FATAL, holder="chasqui")
    assert is_refused(table, now + 1, FATAL, holder="a third one")


def test_tables_agree_whatever_order_they_hear_in() -> None:
    source = CrashTable()
    now = crash(source, NEEDED_CRASHES, SHARED, FATAL)
    source.record_success([SHARED], now + 0.5)
    news = source.list_news(0, now + 1)
    pages = [CrashNews(crashes=(each,)) for each in news.crashes]
    pages.append(CrashNews(successes=news.successes))
    for order in permutations(pages):
        table = CrashTable()
        for page in (*order, order[0]):
            table.apply(page, now + 1)
        assert is_refused(table, now + 1, FATAL, OTHER)
        assert not is_refused(table, now + 1, SHARED, OTHER)


# Guards against hosts that tell each other the same things for ever.
def test_tables_that_know_the_same_have_nothing_to_tell() -> None:
    first, second = CrashTable(), CrashTable()
    first.record_success([SHARED, FATAL], 0.9)
    second.record_success([SHARED], 0.8)
    now = crash(first, NEEDED_CRASHES, SHARED, FATAL)
    first.record_success([SHARED], now + 0.1)
    told = {first: 0, second: 0}
    for step in range(20):
        at = now + 0.2 + step * MAX_TRANSIT_S / 10
        for sender, receiver in ((first, second), (second, first)):
            news = sender.list_news(told[sender], at)
            told[sender] = news.revision
            receiver.apply(news, at + MAX_TRANSIT_S / 20)
    assert first.list_news(told[first], 99.0) == CrashNews(revision=first.revision)
    assert second.revision < 20


def test_news_comes_in_parts() -> None:
    source, table = CrashTable(), CrashTable()
    now = crash(source, 2 * MAX_NEWS + 1, FATAL)
    revision, messages = 0, 0
    while revision < source.revision:
        news = source.list_news(revision, now)
        assert len(news.crashes) <= MAX_NEWS
        table.apply(news, now)
        revision, messages = news.revision, messages + 1
    assert messages == 3
    assert is_refused(table, now, FATAL)


# Guards against hosts that each tell everybody what they heard from others.
def test_what_other_hosts_told_can_be_left_out() -> None:
    source, table = CrashTable(), CrashTable()
    crash(source, 2, OTHER)
    table.apply(source.list_news(0, 3.0), 3.0)
    assert table.list_news(0, 3.0, with_heard=False) == CrashNews(
        revision=table.revision
    )
    table.record_crash(make_crash(3.0, FATAL))
    own = table.list_news(0, 3.0, with_heard=False)
    assert [each.target for each in own.crashes] == ["t-3.0"]
    assert len(table.list_news(0, 3.0).crashes) == 3


# Guards against a success that only one host saw and that the others never hear of.
def test_own_success_of_a_feature_of_which_others_told_is_no_hearsay() -> None:
    source, table = CrashTable(), CrashTable()
    table.record_success([SHARED], 0.5)
    crash(source, 1, SHARED, FATAL)
    table.apply(source.list_news(0, 2.0), 2.0)
    own = table.list_news(0, 2.0, with_heard=False)
    assert [each.feature for each in own.successes] == [SHARED]


# Guards against a success that is never told, since it changed with the last crash that
# a message had room for.
def test_changes_of_one_revision_are_told_together() -> None:
    source, table = CrashTable(), CrashTable()
    crash(source, MAX_NEWS - 1, OTHER)
    source.record_success([SHARED], 0.5)
    now = MAX_NEWS + 1.0
    source.record_crash(make_crash(now, SHARED, FATAL))
    revision = 0
    while revision < source.revision:
        news = source.list_news(revision, now)
        table.apply(news, now)
        revision = news.revision
    assert table.have_succeeded([SHARED])


# Guards against a table that grows with the ids that an attacker invents.
def test_table_is_bounded_and_keeps_what_is_quarantined() -> None:
    table, rng = CrashTable(), Random(1)
    crash(table, NEEDED_CRASHES, FATAL)
    for at in range(3 * MAX_CRASHES):
        features = [f"{rng.getrandbits(64):016x}" for _ in range(2 * MAX_FEATURES)]
        table.record_crash(make_crash(10.0 + at, *features))
    assert is_refused(table, 100.0, FATAL)
    news = CrashTable.list_news(table, 0, 10_000.0)
    kept = 0
    while news.crashes:
        kept += len(news.crashes)
        assert max(len(each.features) for each in news.crashes) <= MAX_FEATURES
        news = table.list_news(news.revision, 10_000.0)
    assert kept <= MAX_CRASHES


@pytest.mark.parametrize("number", [1, NEEDED_CRASHES - 1])
def test_crashes_without_a_quarantine_are_forgotten(number: int) -> None:
    table = CrashTable()
    now = crash(table, number, FATAL)
    table.expire(now + RETENTION_S + 1)
    assert table.is_empty


def test_success_before_a_crash_is_never_taken_for_a_later_one() -> None:
    first, second = CrashTable(), CrashTable()
    first.record_success([FATAL], 0.99)
    crash(first, 1, FATAL, since=1.0)
    news = first.list_news(0, 1.0)
    second.apply(news, 1.0 + MAX_TRANSIT_S)
    assert second.list_news(0, 2.0).crashes
    for at in range(MAX_NEEDED_CRASHES - 1):
        second.record_crash(make_crash(3.0 + at, FATAL))
    assert is_refused(second, 9.0, FATAL)


# Guards against a verdict on what only happened to be there when other targets crashed.
def test_feature_that_explains_few_of_the_crashes_needs_more_of_them() -> None:
    table = CrashTable()
    for at in range(NEEDED_CRASHES):
        table.record_crash(make_crash(1.0 + at, FATAL))
        table.record_crash(make_crash(1.1 + at, f"another-{at}"))
        table.record_crash(make_crash(1.2 + at, f"one-more-{at}"))
    assert not is_refused(table, 9.0, FATAL)
    for at in range(MAX_NEEDED_CRASHES - NEEDED_CRASHES):
        table.record_crash(make_crash(9.0 + at, FATAL))
    assert is_refused(table, 12.0, FATAL)


# Guards against several causes at once of which each hides the other.
def test_crashes_that_a_quarantine_explains_do_not_speak_for_other_features() -> None:
    table = CrashTable()
    crash(table, MAX_NEEDED_CRASHES, OTHER, since=1.05)
    crash(table, NEEDED_CRASHES, FATAL, since=1.5)
    assert is_refused(table, 9.0, OTHER)
    assert is_refused(table, 9.0, FATAL)

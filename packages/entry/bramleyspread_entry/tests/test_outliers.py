"""Exclusion of failing and slow targets, and the trial attempts that end it."""

from bramleyspread_core import Reason, TargetName
from bramleyspread_entry._outliers import (
    FIRST_EXCLUSION_S,
    MAX_EXCLUSION_S,
    MIN_SLOW_ANSWERS,
    SLOW_FACTOR,
    PeerOutlierDetection,
)

TARGET = TargetName("engine-1")
MUCH_SLOWER = 10 * SLOW_FACTOR


def exclude_slow_target() -> PeerOutlierDetection:
    outliers = PeerOutlierDetection()
    for _ in range(MIN_SLOW_ANSWERS):
        assert outliers.allows(TARGET, 0.0)
        outliers.record_success(TARGET, MUCH_SLOWER, 0.0)
    return outliers


def test_slow_target_is_excluded_then_allowed_one_trial() -> None:
    outliers = exclude_slow_target()
    assert not outliers.allows(TARGET, FIRST_EXCLUSION_S / 2)
    assert outliers.allows(TARGET, FIRST_EXCLUSION_S)
    outliers.record_sent(TARGET, FIRST_EXCLUSION_S)
    assert not outliers.allows(TARGET, FIRST_EXCLUSION_S)


def test_slow_trial_doubles_the_exclusion() -> None:
    outliers = exclude_slow_target()
    outliers.record_sent(TARGET, 1.0)
    outliers.record_success(TARGET, MUCH_SLOWER, 1.7)
    assert not outliers.allows(TARGET, 1.7 + FIRST_EXCLUSION_S * 1.9)
    assert outliers.allows(TARGET, 1.7 + FIRST_EXCLUSION_S * 2)


def test_successful_trial_ends_the_exclusion() -> None:
    outliers = exclude_slow_target()
    outliers.record_sent(TARGET, 1.0)
    outliers.record_success(TARGET, 1.0, 1.1)
    for _ in range(3):
        outliers.record_sent(TARGET, 1.1)
        assert outliers.allows(TARGET, 1.1)


def test_refused_connection_excludes_immediately() -> None:
    outliers = PeerOutlierDetection()
    outliers.record_failure(TARGET, Reason.CONNECT, 0.0)
    assert not outliers.allows(TARGET, 0.0)


# Guards against an overflow of the exclusion's length after 1,024 exclusions in a row.
def test_target_that_was_excluded_thousands_of_times_is_tried_again() -> None:
    outliers = PeerOutlierDetection()
    now = 0.0
    for _ in range(5_000):
        outliers.record_failure(TARGET, Reason.CONNECT, now)
        assert not outliers.allows(TARGET, now)
        now += MAX_EXCLUSION_S
        assert outliers.allows(TARGET, now)

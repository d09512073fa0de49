"""Control hosts are exchanged; then disks are lost and all other hosts lose power."""

from __future__ import annotations

import pytest

from bramleyspread_control.tests._closing import ClosingSchedule


# After hosts had been exchanged, and disks and power were lost at the end of a day, no
# configuration could be read any more: hosts that nobody admitted hid that those which
# they stood in for went on counting.
@pytest.mark.parametrize(
    ("size", "tolerance", "seed"),
    [
        (3, 1, 3),
        (3, 1, 5),
        (4, 1, 9),
        (4, 1, 18),
        (5, 2, 12),
        (5, 2, 21),
        (6, 2, 7),
        (6, 2, 18),
    ],
)
@pytest.mark.parametrize("is_power_lost", [True, False])
def test_newest_document_is_read_after_exchanges_and_a_loss_of_disks_and_power(
    size: int, tolerance: int, seed: int, is_power_lost: bool
) -> None:
    schedule = ClosingSchedule(seed, size, tolerance)
    schedule.exchange()
    schedule.acknowledge()
    schedule.lose_disks_and_power(is_power_lost)
    schedule.check_read()


# Guards against members that are counted and gone: two hosts are exchanged at once.
@pytest.mark.parametrize(("size", "seed"), [(5, 1), (6, 2)])
def test_newest_document_is_read_after_two_exchanges_at_once(
    size: int, seed: int
) -> None:
    schedule = ClosingSchedule(seed, size, tolerance=2)
    schedule.exchange_two_at_once()
    schedule.acknowledge()
    schedule.lose_disks_and_power()
    schedule.check_read()


# Guards against members that are counted and gone: a host is exchanged while a minority
# can't hear of it.
@pytest.mark.parametrize(("size", "seed"), [(5, 1), (6, 2)])
def test_newest_document_is_read_after_an_exchange_beside_a_cut(
    size: int, seed: int
) -> None:
    schedule = ClosingSchedule(seed, size, tolerance=2)
    schedule.exchange_beside_a_cut()
    schedule.acknowledge()
    schedule.lose_disks_and_power()
    schedule.check_read()


# Guards against hosts that wait for others before they trust their folders: after a
# loss of power, only some of them trust theirs.
@pytest.mark.parametrize(("size", "seed"), [(5, 1), (6, 2)])
def test_newest_document_is_read_if_hosts_disagree_on_trust_after_a_loss_of_power(
    size: int, seed: int
) -> None:
    schedule = ClosingSchedule(seed, size, tolerance=2)
    schedule.exchange()
    schedule.acknowledge()
    schedule.trust_some_folders()
    schedule.lose_disks_and_power()
    schedule.check_read()

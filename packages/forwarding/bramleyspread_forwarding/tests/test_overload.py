"""Requests served from stage services whose capacity is exceeded for some seconds."""

from __future__ import annotations

from bramleyspread_forwarding.tests.overload_loads import BURSTS
from bramleyspread_forwarding.tests.overload_site import OverloadSite


# Guards against a driver whose load is not that of a calm day.
def test_all_requests_are_on_time_in_a_calm_period() -> None:
    site = OverloadSite(*BURSTS["1 calm"])
    site.run()
    assert {each.outcome for each in site.list_burst_callers()} == {"on time"}

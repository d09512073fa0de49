"""How long this host has heard most control hosts without a gap."""

from __future__ import annotations

import math
from collections.abc import Collection

from bramleyspread_core import Address

#: Time without a page after which a control host counts as not heard, in seconds. Pages
#: come each 0.4 s, later on a busy link. Other hosts replace one that isn't heard no
#: sooner than 2.1 s after its last page: control hosts list it for 1.5 s after its last
#: query, and hosts keep it for 1.5 s after the last page that lists it.
MAX_GAP_S = 1.2


class ControlContact:
    """Contact to the control hosts, by the pages of their feeds.

    Two hosts that both hear most control hosts hear one in common, which lists both of
    them; so they agree on which of them owns shared work.

    >>> contact, control = ControlContact(), Address("10.0.0.1", 1)
    >>> contact.record(control, (), 10.0)
    >>> contact.record(control, (), 10.5)
    >>> contact.measure_s(10.75), contact.measure_s(11.75)
    (0.75, 0.0)
    """

    def __init__(self) -> None:
        self._heard_at: dict[Address, float] = {}
        self._controls: Collection[Address] = ()
        # Since when most of them have been heard, in seconds.
        self._since = math.inf

    def record(
        self, control: Address, controls: Collection[Address], now: float
    ) -> None:
        """Record a page of a control host.

        :param control: the control host.
        :param controls: the control hosts that the page names.
        :param now: the current time, in seconds.
        """
        self.measure_s(now)
        self._heard_at[control] = now
        self._controls = controls
        if controls:
            named = {control, *controls}
            self._heard_at = {x: at for x, at in self._heard_at.items() if x in named}
        if self._hears_most(now):
            self._since = min(self._since, now)

    def measure_s(self, now: float) -> float:
        """Return how long most control hosts have been heard without a gap.

        :param now: the current time, in seconds.
        :returns: the time in seconds; 0 if they aren't heard now.
        """
        if not self._hears_most(now):
            self._since = math.inf
            return 0.0
        return now - self._since

    def _hears_most(self, now: float) -> bool:
        controls = self._controls or self._heard_at
        heard = sum(
            now - self._heard_at.get(each, -math.inf) <= MAX_GAP_S for each in controls
        )
        return heard > len(controls) // 2

"""Which share of a warming target's rate one host may use."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_forwarding._control_contact import ControlContact
from bramleyspread_forwarding._rate_shares import NEW_OWNER_SHARE

#: Share of the owner of the shared work. At least 0.8 of the rate has to be used, and
#: some of it is lost between two requests.
FULL_SHARE = 0.86
#: Part of what the bound leaves beside the owner that each of two stand-ins gets. They
#: are all that is left for 3 s after the loss of an owner.
STAND_IN_PART = 5 / 16
#: Part of it that an owner gets which may have been replaced. There may be two such
#: owners, each on a side of a partition: 2 x 5 / 16 + 2 x 3 / 16 = 1.
DOUBTFUL_OWNER_PART = 3 / 16
#: Time for which an owner must have heard most control hosts, in seconds. A former
#: owner learns of it within 1 s, or hears most control hosts no more.
MIN_CONTACT_S = 2.0
#: Part of the slack that an owner may use to catch up.
CATCH_UP_PART = 0.3


class WarmUpBound(msgspec.Struct, frozen=True):
    """How many requests a warming target bears in any second.

    >>> WarmUpBound(1.5, 5.0).count_allowed(16.0)
    29.0
    """

    #: Multiple of the warm-up rate.
    overage: float
    #: Requests in addition.
    slack: float

    def count_allowed(self, rate: float) -> float:
        """Return the number of requests, for a warm-up rate."""
        return rate * self.overage + self.slack


class WarmUpShares:
    """Turns shares of the rates that targets name into shares of warm-up rates.

    A named limit is measured over several seconds, a warm-up over each one. So the
    shares of all hosts that may count at the same time stay within the overage, and
    the slack is left for requests that come late or at the same time.

    An owner needs contact to most control hosts, not the time since it became the
    owner: of two hosts in contact only one takes itself for the owner, and one that was
    replaced has lost contact before. A stand-in without contact sends nothing.

    :param bound: what a warming target bears; None if unknown, then the shares are
        those of named limits.
    :param contact: the contact to the control hosts, without which an owner may have
        been replaced; None if owners aren't replaced.

    >>> bound, contact = WarmUpBound(1.5, 5.0), ControlContact()
    >>> full = WarmUpShares(bound).convert(0.9, 0.0)
    >>> doubtful = WarmUpShares(bound, contact).convert(0.9, 0.0)
    >>> stand_in = WarmUpShares(bound).convert(0.25, 0.0)
    >>> [round(x, 3) for x in (full, stand_in, doubtful)]
    [0.86, 0.2, 0.12]
    >>> round(full + 2 * stand_in + 2 * doubtful, 3)
    1.5
    """

    def __init__(
        self, bound: WarmUpBound | None = None, contact: ControlContact | None = None
    ) -> None:
        self._bound = bound
        self._contact = contact

    def convert(self, share: float, now: float) -> float:
        """Return this host's share of a warm-up rate.

        :param share: its share of a named limit.
        :param now: the current time, in seconds.
        """
        if self._bound is None or share <= 0:
            return share
        full_share = min(FULL_SHARE, self._bound.overage)
        spare = self._bound.overage - full_share
        is_owner = share >= NEW_OWNER_SHARE
        if self._is_in_contact(now):
            return full_share if is_owner else spare * STAND_IN_PART
        return spare * DOUBTFUL_OWNER_PART if is_owner else 0.0

    def find_catch_up_s(self, rate: float) -> float:
        """Find the time for which an owner may catch up.

        :param rate: the warm-up rate, above 0.
        :returns: the time in seconds; infinite if the bound is unknown.
        """
        if self._bound is None:
            return math.inf
        return CATCH_UP_PART * self._bound.slack / rate

    def _is_in_contact(self, now: float) -> bool:
        return self._contact is None or self._contact.measure_s(now) >= MIN_CONTACT_S

"""Whether a request may still be sent to the target that was chosen for it."""

from __future__ import annotations

import msgspec

from bramleyspread_core import ZoneDrains
from bramleyspread_forwarding._targets import ForwardTarget

#: How much later than planned a request may be sent to a target that limits its rate,
#: in seconds. A choice takes at most 0.2 s if another host that was asked is silent;
#: later requests could reach the target in the same second as those that were let
#: through after them.
PERMIT_TTL_S = 0.25
#: Why a request isn't sent.
ZONE_DRAINED = "the target's zone is drained"
PERMIT_EXPIRED = "the target's rate limit allowed it too long ago"
SUSPENDED = "this host was suspended, and has heard no control host since"


class SendPermit(msgspec.Struct, frozen=True):
    """Permission to send one request to a target.

    It is checked directly before the request is sent: between the choice of the target
    and that moment the request may have waited for its turn or for a connection, and
    this host may have been suspended. A request whose permission doesn't hold any more
    has its target chosen again.

    >>> from bramleyspread_core import Address
    >>> target = ForwardTarget("t", Address("10.0.0.1", 1), "north", 1)
    >>> permit = SendPermit(target, due_at=5.0, is_paced=True)
    >>> permit.find_withdrawal(ZoneDrains(), 5.2)
    ''
    >>> permit.find_withdrawal(ZoneDrains(), 5.3)
    "the target's rate limit allowed it too long ago"
    >>> permit.find_withdrawal(ZoneDrains().drain("north", 0), 5.0)
    "the target's zone is drained"
    """

    target: ForwardTarget
    #: When the request was to be sent, in seconds.
    due_at: float
    #: Whether the target limits its rate, so that the permission expires.
    is_paced: bool = False

    def find_withdrawal(self, drains: ZoneDrains, now: float) -> str:
        """Find why the request may not be sent any more; empty if it may.

        :param drains: the zone drains that this host obeys.
        :param now: the current time, in seconds.
        """
        if drains.drained and drains.is_drained(self.target.zone):
            return ZONE_DRAINED
        if self.is_paced and now - self.due_at > PERMIT_TTL_S:
            return PERMIT_EXPIRED
        return ""

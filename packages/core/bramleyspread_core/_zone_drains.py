"""The availability zones that operators have drained."""

from __future__ import annotations

import msgspec


class ZoneDrain(msgspec.Struct, frozen=True):
    """An availability zone whose targets get no new requests."""

    zone: str
    #: When the drain was accepted, in milliseconds since 1970.
    since_ms: int = 0


class ZoneDrains(msgspec.Struct, frozen=True):
    """All drained zones; of two versions, the one with the higher revision holds.

    >>> drains = ZoneDrains().drain("north", 5_000).drain("south", 6_000)
    >>> drains.is_drained("north"), drains.undrain("north").is_drained("north")
    (True, False)
    >>> drains.revision, drains.drain("north", 7_000).revision
    (2, 2)
    """

    #: Number of changes so far.
    revision: int = 0
    #: The drained zones, in the order in which they were drained.
    drained: tuple[ZoneDrain, ...] = ()

    def is_drained(self, zone: str) -> bool:
        """Whether a zone's targets get no new requests."""
        return any(each.zone == zone for each in self.drained)

    def drain(self, zone: str, now_ms: int) -> ZoneDrains:
        """Return the state after a zone was drained; unchanged if it was before.

        :param zone: the zone.
        :param now_ms: the current time, in milliseconds since 1970.
        """
        if self.is_drained(zone):
            return self
        return ZoneDrains(self.revision + 1, (*self.drained, ZoneDrain(zone, now_ms)))

    def undrain(self, zone: str) -> ZoneDrains:
        """Return the state after a zone's drain was withdrawn.

        :param zone: the zone; the state is unchanged if it isn't drained.
        """
        if not self.is_drained(zone):
            return self
        kept = tuple(each for each in self.drained if each.zone != zone)
        return ZoneDrains(self.revision + 1, kept)

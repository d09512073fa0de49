"""The availability zones that operators have drained."""

from __future__ import annotations

import unicodedata

import msgspec

#: Maximum length of a zone's name, in characters.
MAX_ZONE_CHARS = 255
#: Maximum number of drained zones. All of them are sent to every entry host with each
#: change, about 100 kB in the worst case.
MAX_DRAINED_ZONES = 100
#: Unicode categories of characters that no zone's name contains: control characters,
#: line and paragraph separators, and surrogates, which stand for bytes that could not
#: be decoded.
_REFUSED_CATEGORIES = frozenset({"Cc", "Cs", "Zl", "Zp"})


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


class ZoneOrder(msgspec.Struct, frozen=True):
    """An operator's order to drain a zone, or to withdraw that."""

    zone: str
    #: Whether nothing new is to be sent to the zone's targets.
    drained: bool


class ObeyedDrains(msgspec.Struct, frozen=True):
    """The zone drains that an entry host obeys."""

    #: Name of the entry host.
    host: str
    #: Availability zone of the entry host.
    zone: str
    #: Revision of the drains.
    revision: int


class ZoneDrainsReport(msgspec.Struct, frozen=True):
    """The zone drains, and which of them each entry host obeys."""

    drains: ZoneDrains
    #: The entry hosts that were heard lately.
    hosts: tuple[ObeyedDrains, ...] = ()


def find_zone_fault(zone: str) -> str:
    r"""Tell why a text can't be the name of a zone.

    :param zone: the text.
    :returns: the reason; empty if there is none.

    >>> find_zone_fault("north")
    ''
    >>> find_zone_fault("no\nrth")
    'zone: characters that are not allowed in a name, or not decodable'
    """
    if not zone:
        return "zone: the name is empty"
    if len(zone) > MAX_ZONE_CHARS:
        return f"zone: over {MAX_ZONE_CHARS} characters"
    if any(unicodedata.category(each) in _REFUSED_CATEGORIES for each in zone):
        return "zone: characters that are not allowed in a name, or not decodable"
    return ""

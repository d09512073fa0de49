"""Fair shares of a service's capacity, by organisation and then by brand."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from bramleyspread_core import Brand, ServiceDocument

#: Time over which use is judged, in seconds.
USE_TIME = 4.0
#: How far a brand or organisation may exceed its share by chance.
CHANCE = 1.3
#: Requests within the use time that nobody is denied for.
FREE_REQUESTS = 3.0
#: Time without a request after which a share is open to the others, in seconds.
IDLE_TIME = 4.0
#: Shortest time between two looks at who is active, in seconds.
ACTIVE_PAUSE = 0.5


class Shares(Protocol):
    """Says who is within its share; matters when there is not enough for all."""

    def asked(self, document: ServiceDocument, brand: Brand, now: float) -> None:
        """A brand sent a request."""

    def is_within(self, document: ServiceDocument, brand: Brand, now: float) -> bool:
        """Whether one more request keeps a brand within its share."""

    def admitted(self, document: ServiceDocument, brand: Brand, now: float) -> None:
        """A brand's request was admitted."""


@dataclass(slots=True)
class _Use:
    """Requests of somebody, each counting less as it ages."""

    #: The decayed count, as of its time.
    count: float = 0.0
    #: When it was right, in monotonic seconds.
    at: float = 0.0
    #: When the newest request came, admitted or not, in monotonic seconds.
    asked_at: float = -math.inf

    def read(self, now: float) -> float:
        """Read the count."""
        return self.count * math.exp((self.at - now) / USE_TIME)

    def add(self, now: float) -> None:
        """Add one request."""
        self.count = self.read(now) + 1.0
        self.at = now


@dataclass(slots=True)
class _Weights:
    """A service's weights, as its document states them, and who is active."""

    #: The document's version.
    version: int
    #: Weight by organisation.
    organisations: dict[str, int]
    #: Weight by brand.
    brands: dict[Brand, int]
    #: Sum of the weights of active organisations.
    active: float = 0.0
    #: The same for the active brands of each organisation.
    active_brands: dict[str, float] = field(default_factory=dict)
    #: When activity was looked at, in monotonic seconds.
    looked_at: float = -math.inf


@dataclass(slots=True)
class _ServiceUse:
    """The use of one service."""

    #: Its weights.
    weights: _Weights
    #: Admitted requests of all.
    total: _Use = field(default_factory=_Use)
    #: Admitted requests by organisation.
    organisations: dict[str, _Use] = field(default_factory=dict)
    #: Admitted requests by brand.
    brands: dict[Brand, _Use] = field(default_factory=dict)


class WeightedShares:
    """Shares by the weights of the document, among those active at the time.

    A brand is within its share when its organisation is, or when the brand
    itself uses no more than its part of its organisation's share: so neither
    a large organisation nor a large brand pushes a small one out.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceUse] = {}

    def asked(self, document: ServiceDocument, brand: Brand, now: float) -> None:
        """Note that a brand is active.

        :param document: the service.
        :param brand: the brand.
        :param now: monotonic seconds.
        """
        use = self._find(document)
        use.organisations.setdefault(brand.organisation, _Use()).asked_at = now
        use.brands.setdefault(brand, _Use()).asked_at = now

    def is_within(self, document: ServiceDocument, brand: Brand, now: float) -> bool:
        """Whether one more request keeps a brand within its share.

        :param document: the service.
        :param brand: the brand; it has asked.
        :param now: monotonic seconds.
        :returns: True also for the first few requests of anybody.
        """
        use = self._find(document)
        weights = use.weights
        if now > weights.looked_at + ACTIVE_PAUSE:
            _look_who_is_active(use, now)
        total = use.total.read(now) + 1.0
        mine = weights.organisations.get(brand.organisation, 1)
        fair = total * mine / max(mine, weights.active)
        used = use.organisations[brand.organisation].read(now) + 1.0
        if used <= CHANCE * fair + FREE_REQUESTS:
            return True
        of_brand = weights.brands.get(brand, 1)
        active = weights.active_brands.get(brand.organisation, 0.0)
        fair_brand = fair * of_brand / max(of_brand, active)
        return use.brands[brand].read(now) + 1.0 <= CHANCE * fair_brand

    def admitted(self, document: ServiceDocument, brand: Brand, now: float) -> None:
        """Count an admitted request.

        :param document: the service.
        :param brand: the brand; it has asked.
        :param now: monotonic seconds.
        """
        use = self._find(document)
        use.total.add(now)
        use.organisations[brand.organisation].add(now)
        use.brands[brand].add(now)

    def _find(self, document: ServiceDocument) -> _ServiceUse:
        use = self._services.get(document.service)
        if use is None:
            use = _ServiceUse(_read_weights(document))
            self._services[document.service] = use
        elif use.weights.version != document.version:
            use.weights = _read_weights(document)
        return use


class NoShares:
    """The baseline: first come, first served."""

    __slots__ = ()

    def asked(self, document: ServiceDocument, brand: Brand, now: float) -> None:
        """Note nothing."""

    def is_within(self, document: ServiceDocument, brand: Brand, now: float) -> bool:
        """Whether a brand is within its share: nobody has one, so never."""
        return False

    def admitted(self, document: ServiceDocument, brand: Brand, now: float) -> None:
        """Note nothing."""


def _read_weights(document: ServiceDocument) -> _Weights:
    organisations = {each.name: each.share for each in document.organisations}
    brands = {
        Brand(each.name, its.name): its.share
        for each in document.organisations
        for its in each.brands
    }
    return _Weights(document.version, organisations, brands)


def _look_who_is_active(use: _ServiceUse, now: float) -> None:
    weights = use.weights
    since = now - IDLE_TIME
    weights.active = sum(
        weights.organisations.get(name, 1)
        for name, its in use.organisations.items()
        if its.asked_at >= since
    )
    weights.active_brands = {}
    for brand, its in use.brands.items():
        if its.asked_at >= since:
            held = weights.active_brands.get(brand.organisation, 0.0)
            added = weights.brands.get(brand, 1)
            weights.active_brands[brand.organisation] = held + added
    weights.looked_at = now

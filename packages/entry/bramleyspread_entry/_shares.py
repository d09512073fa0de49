"""Fair shares of a service's capacity, by organisation and then by brand."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from bramleyspread_core import Brand, ServiceDocument

#: Time constant with which the counts of admitted requests decay.
USAGE_DECAY_S = 4.0
#: Factor by which a brand or organisation may exceed its share, since requests arrive
#: at random.
SHARE_TOLERANCE = 1.3
#: Requests by which any organisation may exceed its share, so that the first few
#: requests are always within it.
FREE_REQUESTS = 3.0
#: Time without a request after which a brand or organisation counts as idle, and its
#: share is divided among the others.
IDLE_AFTER_S = 4.0
#: Shortest time between two updates of the active weights.
ACTIVITY_REFRESH_S = 0.5


class Shares(Protocol):
    """Decides which brands are within their fair share of a service's capacity."""

    def record_request(
        self, document: ServiceDocument, brand: Brand, now: float
    ) -> None:
        """Record that a brand sent a request, admitted or not."""

    def is_within(self, document: ServiceDocument, brand: Brand, now: float) -> bool:
        """Whether one more request keeps a brand within its share."""

    def record_admission(
        self, document: ServiceDocument, brand: Brand, now: float
    ) -> None:
        """Record that a brand's request was admitted."""


@dataclass(slots=True)
class _Usage:
    """Exponentially decaying count of admitted requests."""

    #: The count at the time ``at``.
    count: float = 0.0
    #: When the count was last updated, in monotonic seconds.
    at: float = 0.0
    #: When the newest request arrived, admitted or not, in monotonic seconds.
    requested_at: float = -math.inf

    def value_at(self, now: float) -> float:
        """Return the decayed count."""
        return self.count * math.exp((self.at - now) / USAGE_DECAY_S)

    def add(self, now: float) -> None:
        """Add one request."""
        self.count = self.value_at(now) + 1.0
        self.at = now


@dataclass(slots=True)
class _Weights:
    """Weights in a service's document, and the sums over active ones."""

    #: The document's version.
    version: int
    #: Weight by organisation.
    organisations: dict[str, int]
    #: Weight by brand.
    brands: dict[Brand, int]
    #: Sum of the weights of active organisations.
    active_weight: float = 0.0
    #: Sum of the weights of active brands, by organisation.
    active_brand_weights: dict[str, float] = field(default_factory=dict)
    #: When the sums were updated, in monotonic seconds.
    refreshed_at: float = -math.inf


@dataclass(slots=True)
class _ServiceUsage:
    """Weights and admitted requests of one service."""

    weights: _Weights
    #: All admitted requests.
    total: _Usage = field(default_factory=_Usage)
    #: Admitted requests by organisation.
    organisations: dict[str, _Usage] = field(default_factory=dict)
    #: Admitted requests by brand.
    brands: dict[Brand, _Usage] = field(default_factory=dict)


class WeightedShares:
    """Divides capacity by the document's weights among active organisations and brands.

    A brand is within its share when its organisation is, or when the brand itself
    uses no more than its part of the organisation's share. So neither a large
    organisation nor a large brand can use up the share of a small one.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceUsage] = {}

    def record_request(
        self, document: ServiceDocument, brand: Brand, now: float
    ) -> None:
        """Record that a brand sent a request, admitted or not.

        :param document: the document of the service.
        :param brand: the brand.
        :param now: monotonic seconds.
        """
        service_usage = self._find_usage(document)
        service_usage.organisations.setdefault(
            brand.organisation, _Usage()
        ).requested_at = now
        service_usage.brands.setdefault(brand, _Usage()).requested_at = now

    def is_within(self, document: ServiceDocument, brand: Brand, now: float) -> bool:
        """Whether one more request keeps a brand within its share.

        :param document: the document of the service.
        :param brand: the brand; its request must have been recorded.
        :param now: monotonic seconds.
        :returns: True also for the first few requests of any organisation.
        """
        service_usage = self._find_usage(document)
        weights = service_usage.weights
        if now > weights.refreshed_at + ACTIVITY_REFRESH_S:
            _refresh_active_weights(service_usage, now)
        total = service_usage.total.value_at(now) + 1.0
        weight = weights.organisations.get(brand.organisation, 1)
        organisation_share = total * weight / max(weight, weights.active_weight)
        organisation_usage = (
            service_usage.organisations[brand.organisation].value_at(now) + 1.0
        )
        if organisation_usage <= SHARE_TOLERANCE * organisation_share + FREE_REQUESTS:
            return True
        brand_weight = weights.brands.get(brand, 1)
        active_brand_weight = weights.active_brand_weights.get(brand.organisation, 0.0)
        brand_share = (
            organisation_share * brand_weight / max(brand_weight, active_brand_weight)
        )
        return (
            service_usage.brands[brand].value_at(now) + 1.0
            <= SHARE_TOLERANCE * brand_share
        )

    def record_admission(
        self, document: ServiceDocument, brand: Brand, now: float
    ) -> None:
        """Record that a brand's request was admitted.

        :param document: the document of the service.
        :param brand: the brand; its request must have been recorded.
        :param now: monotonic seconds.
        """
        service_usage = self._find_usage(document)
        service_usage.total.add(now)
        service_usage.organisations[brand.organisation].add(now)
        service_usage.brands[brand].add(now)

    def _find_usage(self, document: ServiceDocument) -> _ServiceUsage:
        service_usage = self._services.get(document.service)
        if service_usage is None:
            service_usage = _ServiceUsage(_read_weights(document))
            self._services[document.service] = service_usage
        elif service_usage.weights.version != document.version:
            service_usage.weights = _read_weights(document)
        return service_usage


class NoShares:
    """Baseline for comparisons: no fair shares, first come, first served."""

    __slots__ = ()

    def record_request(
        self, document: ServiceDocument, brand: Brand, now: float
    ) -> None:
        """Do nothing."""

    def is_within(self, document: ServiceDocument, brand: Brand, now: float) -> bool:
        """Return False: without shares no brand is within one."""
        return False

    def record_admission(
        self, document: ServiceDocument, brand: Brand, now: float
    ) -> None:
        """Do nothing."""


def _read_weights(document: ServiceDocument) -> _Weights:
    organisations = {each.name: each.share for each in document.organisations}
    brands = {
        Brand(each.name, brand.name): brand.share
        for each in document.organisations
        for brand in each.brands
    }
    return _Weights(document.version, organisations, brands)


def _refresh_active_weights(service_usage: _ServiceUsage, now: float) -> None:
    weights = service_usage.weights
    active_since = now - IDLE_AFTER_S
    weights.active_weight = sum(
        weights.organisations.get(name, 1)
        for name, usage in service_usage.organisations.items()
        if usage.requested_at >= active_since
    )
    weights.active_brand_weights = {}
    for brand, usage in service_usage.brands.items():
        if usage.requested_at >= active_since:
            sum_so_far = weights.active_brand_weights.get(brand.organisation, 0.0)
            brand_weight = weights.brands.get(brand, 1)
            weights.active_brand_weights[brand.organisation] = sum_so_far + brand_weight
    weights.refreshed_at = now

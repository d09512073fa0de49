"""Chooses the route and the service of a request."""

from __future__ import annotations

from bisect import bisect_left

import msgspec
import xxhash

from bramleyspread_core import Deployment, ForwardRoute, ForwardService


class RouteTable:
    """The routes of one deployment document, by host and longest path prefix."""

    __slots__ = (
        "_holder_priorities",
        "_route_priorities",
        "_routes_by_host",
        "_services",
        "_warming_services",
        "version",
    )

    def __init__(self, deployment: Deployment) -> None:
        #: Version of the document.
        self.version = deployment.version
        self._services = {each.name: each for each in deployment.services}
        self._warming_services = tuple(
            each.name
            for each in deployment.services
            if each.warm_up_rate is not msgspec.UNSET
        )
        priorities = {each.priority for each in deployment.holders or ()}
        self._holder_priorities = sorted(x for x in priorities if x is not None)
        self._route_priorities = sorted({each.priority for each in deployment.routes})
        self._routes_by_host: dict[str, list[ForwardRoute]] = {}
        for route in deployment.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda each: len(each.prefix), reverse=True)

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Find the route of a request.

        :param host: the host that the caller addressed, with or without a port.
        :param path: the path, without the query.
        :returns: the route with the longest matching prefix; None when none matches.
        """
        name = host.partition(":")[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: str) -> ForwardService | None:
        """Find a service by name."""
        return self._services.get(name)

    def list_warming_services(self) -> tuple[str, ...]:
        """List the services that limit the requests to warming targets."""
        return self._warming_services

    def rank_urgency(self, route: ForwardRoute, holder_priority: int | None) -> int:
        """Rank a request among all that the document allows; 0 is the most urgent.

        The priority of the caller's organisation goes before the route's, which decides
        among organisations of the same priority. Callers without an organisation, or
        whose organisation has no priority, rank with the least urgent ones.

        :param route: the route.
        :param holder_priority: priority of the caller's organisation; None for none.
        :returns: the rank, which is the same on all hosts with this document.
        """
        holder_rank = max(len(self._holder_priorities) - 1, 0)
        if holder_priority is not None:
            holder_rank = bisect_left(self._holder_priorities, holder_priority)
        route_rank = bisect_left(self._route_priorities, route.priority)
        return holder_rank * len(self._route_priorities) + route_rank

    def choose_service(self, route: ForwardRoute, request: str) -> str:
        """Choose one of a route's services according to their weights.

        :param route: the route.
        :param request: the request's id. It determines the choice, so every host
            chooses the same service for the same request.
        :returns: the service's name.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh3_64_intdigest(request) / 2**64 * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return max(route.shares, key=lambda share: share.weight).service

"""The choice of one attempt's target, and the log line about it."""

from __future__ import annotations

import msgspec
from loguru import logger

from bramleyspread_daemon.forward._placement_service import PlacementService
from bramleyspread_daemon.forward._stream_binding import Bound, Unbound
from bramleyspread_forwarding import (
    NO_SUCH_SOFTWARE,
    NoTarget,
    NotSent,
    Placed,
    PlaceQuery,
    PlaceStep,
)


async def choose_target(
    placement: PlacementService, query: PlaceQuery, binding: Unbound | Bound
) -> Placed | NoTarget:
    """Choose a target that may get the request, or continue its stream.

    :param placement: chooses targets here, or asks the host that does.
    :param query: the request.
    :param binding: which targets may get it.
    """
    if isinstance(binding, Unbound):
        return await placement.choose(query)
    bound_query = msgspec.structs.replace(query, software=binding.software)
    placed = await placement.choose(bound_query)
    if binding.is_sole and placed == NoTarget(NO_SUCH_SOFTWARE):
        # Where no control host is heard, no version is confirmed.
        placed = await placement.choose(query)
    if isinstance(placed, Placed) and not binding.allows(placed.target.software):
        # The placement host knows targets that this host doesn't know, or is older
        # than this rule.
        step = PlaceStep(ticket=placed.ticket, target=placed.target.target, ended=True)
        placement.report(step)
        return NoTarget(NO_SUCH_SOFTWARE)
    return placed


def log_choice(
    request: str, query: PlaceQuery, placed: Placed | NoTarget, limited: int
) -> None:
    """Log the choice of a target.

    :param request: id of the request.
    :param query: what was asked.
    :param placed: the answer.
    :param limited: number of the service's targets that are known to name a rate limit.
    """
    bound = logger.bind(
        step="place",
        peer=placed.target.target if isinstance(placed, Placed) else "-",
        request=request,
        service=query.service,
        tried=len(query.tried),
        limited=limited,
        slack_ms=round(query.slack_ms),
    )
    if isinstance(placed, NoTarget):
        bound.info(f"no target: {placed.reason}")
        return
    zone = placed.target.zone
    crossing_mb = sum(mb for at, mb in query.input_mb.items() if at != zone)
    bound.bind(
        zone=zone,
        software=placed.target.software,
        wait_ms=round(placed.wait_s * 1000),
        reading=round(placed.unread_tokens),
        ahead=placed.requests_ahead,
        crossing_mb=round(crossing_mb, 3),
    ).info("placed")


def log_withdrawal(request: str, placed: Placed, end: NotSent) -> None:
    """Log that a request was not sent to the target that was chosen for it.

    :param request: id of the request.
    :param placed: the choice.
    :param end: why the request was not sent.
    """
    target = placed.target
    logger.bind(
        step="place", peer=target.target, request=request, zone=target.zone
    ).info(f"not sent: {end.why}")

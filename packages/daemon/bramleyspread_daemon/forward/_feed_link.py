"""Asks every control host for news, for ever."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import curio
from loguru import logger

from bramleyspread_core import Address, MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_forwarding import FeedPage, FeedQuery

#: Where control hosts answer.
FEED_PATH = "/v1/control/feed"
#: Longest time for one answer, in seconds; control hosts answer sooner.
ANSWER_S = 1.2
#: Pause behind a failed question, in seconds.
PAUSE_S = 0.25


class FeedLink:
    """One task for each control host that is known."""

    def __init__(
        self,
        pool: ConnectionPool,
        make_query: Callable[[Address], FeedQuery],
        take_page: Callable[[Address, FeedPage, float], Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._make_query = make_query
        self._take_page = take_page
        self._followed: set[Address] = set()
        #: Questions that failed.
        self.failures = 0

    async def follow(self, hosts: Iterable[Address]) -> None:
        """Ask these control hosts too from now on.

        :param hosts: their addresses; known ones are passed over.
        """
        for host in hosts:
            if host not in self._followed:
                self._followed.add(host)
                await curio.spawn(self._ask_for_ever, host, daemon=True)

    async def _ask_for_ever(self, host: Address) -> None:
        failed_since: float | None = None
        while True:
            asked_at = read_monotonic()
            try:
                heard = await self._ask(host)
            except Exception:  # one bad page must not end the feed for good
                logger.bind(step="feed", peer=str(host)).exception("a fault inside")
                heard = False
            failed_since = _log_change(host, heard, failed_since, asked_at)
            if not heard:
                self.failures += 1
                await curio.sleep(PAUSE_S)

    async def _ask(self, host: Address) -> bool:
        asked_at = read_monotonic()
        body = encode_json(self._make_query(host))
        try:
            response = await self._pool.ask(host, FEED_PATH, body, ANSWER_S)
            if response.status != 200:
                return False
            page: FeedPage = decode_json(response.body, FeedPage)
        except (UnsentError, ClosedError, MessageError):
            return False
        await self._take_page(host, page, asked_at)
        await self.follow(page.control)
        return True


def _log_change(
    host: Address, heard: bool, failed_since: float | None, asked_at: float
) -> float | None:
    """Log when a control host is lost and heard again.

    :param host: the control host.
    :param heard: whether it answered now.
    :param failed_since: when it first didn't answer; None while it does.
    :param asked_at: when it was asked.
    :returns: since when it doesn't answer; None when it does.
    """
    log = logger.bind(step="feed", peer=str(host))
    if heard:
        if failed_since is not None:
            lost_ms = round((read_monotonic() - failed_since) * 1000)
            log.bind(ms=lost_ms).info("heard again")
        return None
    if failed_since is None:
        log.warning("not heard")
        return asked_at
    return failed_since

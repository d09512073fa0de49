"""Polls every control host for changes to targets and the deployment document."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import curio
from loguru import logger

from bramleyspread_core import Address, MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_forwarding import FeedPage, FeedQuery

#: Path of the feed on control hosts.
FEED_PATH = "/v1/control/feed"
#: Timeout of one poll, in seconds. Control hosts answer sooner.
POLL_TIMEOUT_S = 1.2
#: Delay after a failed poll, in seconds.
RETRY_DELAY_S = 0.25
#: Timeout for connecting to a control host, in seconds. A host without power does not
#: answer; it must be found soon after it is back.
CONNECT_TIMEOUT_S = 0.25


class FeedLink:
    """Runs one polling task for each known control host."""

    def __init__(
        self,
        pool: ConnectionPool,
        make_query: Callable[[Address], FeedQuery],
        handle_page: Callable[[Address, FeedPage, float], Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._make_query = make_query
        self._handle_page = handle_page
        self._polled_hosts: set[Address] = set()
        #: Number of failed polls.
        self.failures = 0

    async def start_polling(self, hosts: Iterable[Address]) -> None:
        """Start polling control hosts.

        :param hosts: their addresses; hosts that are already polled are skipped.
        """
        for host in hosts:
            if host not in self._polled_hosts:
                self._polled_hosts.add(host)
                await curio.spawn(self._poll_forever, host, daemon=True)

    async def _poll_forever(self, host: Address) -> None:
        failed_since: float | None = None
        while True:
            requested_at = read_monotonic()
            try:
                answered = await self._poll(host)
            except Exception:  # a bad page must not end the polling
                logger.bind(step="feed", peer=str(host)).exception("internal error")
                answered = False
            failed_since = _log_reachability(host, answered, failed_since, requested_at)
            if not answered:
                self.failures += 1
                await curio.sleep(RETRY_DELAY_S)

    async def _poll(self, host: Address) -> bool:
        requested_at = read_monotonic()
        body = encode_json(self._make_query(host))
        try:
            response = await self._pool.request(
                host, FEED_PATH, body, POLL_TIMEOUT_S, connect_timeout=CONNECT_TIMEOUT_S
            )
            if response.status != 200:
                return False
            page: FeedPage = decode_json(response.body, FeedPage)
        except (RequestNotSentError, ConnectionClosedError, MessageError):
            return False
        await self._handle_page(host, page, requested_at)
        await self.start_polling(page.control)
        return True


def _log_reachability(
    host: Address, answered: bool, failed_since: float | None, requested_at: float
) -> float | None:
    """Log when a control host stops answering and when it answers again.

    :param host: the control host.
    :param answered: whether it answered the last poll.
    :param failed_since: time of the first unanswered poll; None while it answers.
    :param requested_at: time of the last poll.
    :returns: the new value of ``failed_since``.
    """
    log = logger.bind(step="feed", peer=str(host))
    if answered:
        if failed_since is not None:
            outage_ms = round((read_monotonic() - failed_since) * 1000)
            log.bind(ms=outage_ms).info("heard again")
        return None
    if failed_since is None:
        log.warning("not heard")
        return requested_at
    return failed_since

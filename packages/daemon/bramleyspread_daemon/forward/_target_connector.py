"""Opens connections to targets, directly or relayed by another entry host."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import Any, Generic, Protocol, TypeVar

import curio
from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._client import RequestNotSentError, TargetRefusedError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._timeouts import ignore_after
from bramleyspread_forwarding import EntryHost, RelayChoice, TargetPaths

#: Timeout for a connection that is only to show whether a path works, in seconds.
PROBE_TIMEOUT_S = 0.25
#: Maximum number of hosts that are asked to relay one connection.
MAX_RELAYS_ASKED = 6
#: Time after which the next host is asked too, if one has not answered, in seconds.
NEXT_RELAY_DELAY_S = 0.1
#: Time for which a failure to reach a target answers those who ask for a relay, in
#: seconds.
RECENT_FAILURE_S = 0.5
#: Time for which a connection that was opened shows that the path works, in seconds.
RECENT_SUCCESS_S = 0.5
#: Maximum number of other targets that are tried to find out whether the path works.
MAX_OTHERS_TRIED = 2
#: Interval at which lost paths are checked, in seconds.
TICK_INTERVAL_S = 0.25


class RelayUnavailableError(RequestNotSentError):
    """The host that was asked to relay has no path to the target either."""


class NoPathError(RequestNotSentError):
    """No host could tell whether the target or this host's path to it is at fault."""


class Closable(Protocol):
    """A connection that can be closed."""

    async def close(self) -> None:
        """Close the connection."""


C = TypeVar("C", bound=Closable)


class _RelaySearch(Generic[C]):
    """One search for a host that relays a connection."""

    __slots__ = ("_is_cut", "_started_at", "address", "asked", "failure", "found")

    def __init__(self, address: Address, is_cut: bool) -> None:
        self._is_cut = is_cut
        self._started_at = read_monotonic()
        #: Address of the target.
        self.address = address
        #: Names of the hosts that were asked.
        self.asked: list[str] = []
        #: The connection; None while there is none.
        self.found: C | None = None
        #: Why the target isn't reached there either; None if no host said so.
        self.failure: RequestNotSentError | None = None

    @property
    def is_over(self) -> bool:
        """Whether a host has given an answer that counts."""
        return self.found is not None or self.failure is not None

    def log(self, *, is_left: bool) -> str:
        """Log how the search ended, and how long it took.

        :param is_left: whether the request ended before the search.
        :returns: how it ended.
        """
        end = "left" if is_left else "no relay"
        if self.is_over:
            end = "relayed" if self.failure is None else str(self.failure)
        elapsed_ms = (read_monotonic() - self._started_at) * 1000
        logger.bind(
            step="relay",
            peer=str(self.address),
            asked=",".join(self.asked),
            cut=self._is_cut,
            ms=round(elapsed_ms),
        ).info(end)
        return end


class TargetConnector(Generic[C]):
    """Opens connections to targets by the path that is known to work.

    Only the host that was asked to relay connects to the target; it asks no other one.

    :param open_direct: connects to a target within a timeout, in seconds.
    :param open_relayed: connects to a target through another host; raises
        :exc:`RelayUnavailableError` if that host has no path to it.
    :param choice: the order in which hosts are asked to relay.
    :param list_hosts: lists the live entry hosts.
    :param list_addresses: lists the addresses of the known targets.
    :param drop_idle: closes idle connections to a target, which may hang.
    """

    def __init__(
        self,
        open_direct: Callable[[Address, float], Awaitable[C]],
        open_relayed: Callable[[EntryHost, Address], Awaitable[C]],
        choice: RelayChoice,
        list_hosts: Callable[[], Sequence[EntryHost]],
        list_addresses: Callable[[], Collection[Address]],
        drop_idle: Callable[[Address], Awaitable[None]],
    ) -> None:
        self._open_direct = open_direct
        self._open_relayed = open_relayed
        self._choice = choice
        self._list_hosts = list_hosts
        self._list_addresses = list_addresses
        self._drop_idle = drop_idle
        # The task that tried other targets last; None before the first.
        self._trial: Any = None
        #: What is known of this host's paths.
        self.paths = TargetPaths()
        #: Number of connections that other hosts relayed for this one.
        self.relayed = 0
        #: Number of searches for a host that relays, by how they ended.
        self.search_counts: Counter[str] = Counter()

    async def open(self, address: Address, timeout: float) -> C:
        """Connect to a target.

        :param address: the target's address.
        :param timeout: connect timeout for the direct path, in seconds.
        :raises TargetRefusedError: if the target refuses connections.
        :raises NoPathError: if this host may have lost its path, and no host relays.
        :raises RequestNotSentError: if the target can't be reached.
        """
        if self.paths.is_lost(address):
            relayed = await self._relay(address)
            if relayed is not None:
                return relayed
            if self.paths.is_cut and self._has_other_hosts():
                raise NoPathError("no host that was asked reaches a target")
        try:
            return await self.open_directly(address, timeout)
        except RequestNotSentError as error:
            if not await self._may_be_cut(address):
                raise
            relayed = await self._relay(address)
            if relayed is not None:
                return relayed
            if self._has_other_hosts():
                raise NoPathError(str(error)) from None
            raise

    async def open_directly(self, address: Address, timeout: float) -> C:
        """Connect to a target without a relay, and record whether that works."""
        try:
            connection = await self._open_direct(address, timeout)
        except RequestNotSentError as error:
            is_silent = not isinstance(error, TargetRefusedError)
            self.paths.record_failure(address, read_monotonic(), is_silent=is_silent)
            raise
        was_cut = self.paths.is_cut
        self.paths.record_success(address, read_monotonic())
        if was_cut:
            logger.bind(step="path", peer=str(address)).info("targets are reached")
        return connection

    async def open_for_other_host(self, address: Address, timeout: float) -> C:
        """Connect to a target for another host.

        :raises RelayUnavailableError: if the path to the target is lost here too.
        :raises TargetRefusedError: if the target refuses connections.
        :raises RequestNotSentError: if the target can't be reached.
        """
        now = read_monotonic()
        is_unreached = self.paths.has_failed(address, now, RECENT_FAILURE_S)
        if self.paths.is_lost(address) or is_unreached:
            raise RelayUnavailableError("the path is lost here too")
        try:
            return await self.open_directly(address, timeout)
        except RequestNotSentError:
            if not await self._may_be_cut(address):
                raise
        raise RelayUnavailableError("no other target is reached either")

    async def _may_be_cut(self, address: Address) -> bool:
        """Whether a target wasn't reached because this host has lost its own paths.

        Without other targets nothing can be told; the target is blamed only if this
        host can ask no other one.
        """
        now = read_monotonic()
        if self.paths.has_reached_another(address, now, RECENT_SUCCESS_S):
            return False
        known = len(self._list_addresses())
        if not self.paths.may_be_cut(known, now):
            await self._try_others(address)
        return self.paths.may_be_cut(known, read_monotonic())

    async def _try_others(self, address: Address) -> None:
        """Try targets other than one that was not reached, all at the same time.

        One attempt serves all who wait for it.
        """
        if self._trial is None or self._trial.terminated:
            others = [each for each in self._list_addresses() if each != address]
            drawn = self._choice.draw_targets(others, MAX_OTHERS_TRIED)
            self._trial = await curio.spawn(self._try_all, drawn, daemon=True)
        await self._trial.wait()

    async def _try_all(self, addresses: Sequence[Address]) -> None:
        """Try paths until a target is reached."""
        async with curio.TaskGroup(wait=object) as group:
            for address in addresses:
                await group.spawn(self._try, address)

    async def _try(self, address: Address) -> bool | None:
        """Try a path.

        :returns: True if the target is reached; None, which ends no group, if not.
        """
        try:
            connection = await self.open_directly(address, PROBE_TIMEOUT_S)
        except RequestNotSentError:
            return None
        await connection.close()
        return True

    async def is_refused(self, address: Address, timeout: float) -> bool:
        """Find whether a target accepts no connections, by whichever path.

        A refusal counts only if another host meets it too, or if none can tell and this
        host reaches another target.
        """
        try:
            connection = await self.open_directly(address, timeout)
        except TargetRefusedError:
            pass
        except RequestNotSentError:
            return False
        else:
            await connection.close()
            return False
        try:
            relayed = await self._relay(address)
        except TargetRefusedError:
            return True
        except RequestNotSentError:
            return False
        if relayed is None:
            return not self._has_other_hosts() or await self._reaches_another(address)
        await relayed.close()
        return False

    async def _reaches_another(self, address: Address) -> bool:
        """Find whether another target is reached now.

        Hosts that have just been refused themselves don't relay, so of several that see
        one crash none would learn of it from the others.
        """
        started_at = read_monotonic()
        await self._try_others(address)
        now = read_monotonic()
        return self.paths.has_reached_another(address, now, now - started_at)

    def _has_other_hosts(self) -> bool:
        return len(self._list_hosts()) > 1

    async def _relay(self, address: Address) -> C | None:
        """Connect to a target through another host.

        :returns: the connection; None if no host that was asked has a path.
        :raises TargetRefusedError: if the target refuses connections there too.
        :raises RequestNotSentError: if the target can't be reached there either.
        """
        search: _RelaySearch[C] = _RelaySearch(address, self.paths.is_cut)
        is_left = True
        try:
            await self._ask_hosts(search)
            is_left = False
        finally:
            self.search_counts[search.log(is_left=is_left)] += 1
            if is_left and search.found is not None:
                await search.found.close()
        if search.failure is not None:
            raise search.failure
        return search.found

    async def _ask_hosts(self, search: _RelaySearch[C]) -> None:
        """Ask hosts in turn, the next one also if one has not answered for a while."""
        ranked = self._choice.rank(self._list_hosts(), read_monotonic())
        async with curio.TaskGroup(wait=None) as group:
            for host in ranked[:MAX_RELAYS_ASKED]:
                search.asked.append(host.host)
                await group.spawn(self._ask, host, search)
                await ignore_after(NEXT_RELAY_DELAY_S, group.next_done)
                if search.is_over:
                    return
            while not search.is_over and await group.next_done() is not None:
                continue

    async def _ask(self, host: EntryHost, search: _RelaySearch[C]) -> None:
        """Ask one host; the first answer that counts ends the search."""
        could_relay = False
        try:
            connection = await self._open_relayed(host, search.address)
            could_relay = True
        except RelayUnavailableError:
            return
        except RequestNotSentError as error:
            could_relay = True
            if not search.is_over:
                search.failure = error
            return
        finally:
            self._choice.record(host, read_monotonic(), succeeded=could_relay)
        if search.is_over:
            await connection.close()
            return
        search.found = connection
        self.relayed += 1
        await self._record_relayed(host, search.address)

    async def _record_relayed(self, host: EntryHost, address: Address) -> None:
        was_cut, known = self.paths.is_cut, len(self._list_addresses())
        is_news = self.paths.record_relayed(address, known, read_monotonic())
        log = logger.bind(step="path", peer=str(address), relayed_by=host.host)
        if is_news:
            log.warning("lost; another host reaches the target")
        if self.paths.is_cut and not was_cut:
            log.warning("no target is reached any more")
        if is_news and self.paths.is_silent(address):
            await self._drop_idle(address)

    async def tick(self) -> None:
        """Try lost paths again; any path if all are lost."""
        known, now = self._list_addresses(), read_monotonic()
        due = self.paths.list_due_probes(known, now)
        if self.paths.is_probe_due(now):
            due = (*due, *self._choice.draw_targets(tuple(known), 1))
        for address in due:
            await self._try(address)

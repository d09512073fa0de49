"""Entry hosts that are live."""

from __future__ import annotations

from bramleyspread_forwarding._feed import EntryHost


class LiveHosts:
    """Entry hosts that were reported lately, each with its newest process only.

    >>> from bramleyspread_core import Address
    >>> first = EntryHost("e", "z", Address("10.0.0.1", 1), started=1)
    >>> restarted = EntryHost("e", "z", Address("10.0.0.1", 1), started=2)
    >>> live_hosts = LiveHosts(ttl_s=1.5)
    >>> for host in (first, restarted, first):
    ...     live_hosts.record(host, 0.0)
    >>> live_hosts.list_live(1.0) == (restarted,)
    True
    >>> live_hosts.list_live(2.0)
    ()
    """

    __slots__ = ("_hosts", "_ttl_s", "revision")

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._hosts: dict[str, tuple[EntryHost, float]] = {}
        #: Number of changes of the list so far.
        self.revision = 0

    def record(self, host: EntryHost, now: float) -> None:
        """Record that a host is live; an older process of a known host is ignored."""
        known = self._hosts.get(host.host)
        if known is not None and known[0] == host:
            # The same object each time makes lists of hosts cheap to compare.
            self._hosts[host.host] = (known[0], now)
        elif known is None or known[0].started <= host.started:
            self._hosts[host.host] = (host, now)
            self.revision += 1

    def list_live(self, now: float) -> tuple[EntryHost, ...]:
        """List the live hosts, sorted by name, and remove the expired ones."""
        expired_before = now - self._ttl_s
        for name, (_, recorded_at) in tuple(self._hosts.items()):
            if recorded_at < expired_before:
                del self._hosts[name]
                self.revision += 1
        return tuple(self._hosts[name][0] for name in sorted(self._hosts))

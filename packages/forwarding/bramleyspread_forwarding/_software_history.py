"""Which software versions the targets of each service had lately."""

from __future__ import annotations

from collections.abc import Container, Iterable

from bramleyspread_forwarding._heartbeats import Readiness, TargetHeartbeat
from bramleyspread_forwarding._stream_origins import ORIGIN_RETENTION_S


class SoftwareHistory:
    """Software versions by service, for as long as streams may go on that they began.

    Used when it isn't known which version began a stream: the only one did.

    >>> from bramleyspread_core import Address
    >>> first = TargetHeartbeat(
    ...     target="i-1",
    ...     sequence=1,
    ...     service="llm",
    ...     address=Address("10.0.0.1", 1),
    ...     zone="z",
    ...     slots=1,
    ...     readiness=Readiness.READY,
    ...     software="v1",
    ... )
    >>> history = SoftwareHistory()
    >>> history.update([first], 0.0)
    >>> history.find_sole_version("llm", 1.0)
    'v1'
    """

    __slots__ = ("_current", "_seen_at", "_untold", "told")

    def __init__(self) -> None:
        # A version that no control host tells is None, and may be any.
        self._current: dict[str, set[str | None]] = {}
        # By service and version, until when a target was known that had it, in seconds.
        self._seen_at: dict[str, dict[str | None, float]] = {}
        # The service of each target whose version isn't told, by its process.
        self._untold: dict[tuple[str, int], str] = {}
        #: The versions that some control host tells, by process.
        self.told: dict[tuple[str, int], str] = {}

    def update(self, notices: Iterable[TargetHeartbeat], now: float) -> None:
        """Follow a change of the known targets.

        :param notices: what is known of all targets, including those that are gone.
        :param now: the current time, in seconds.
        """
        notices = tuple(notices)
        self.told = {x.process: x.software for x in notices if x.software is not None}
        self._follow_untold({each.process for each in notices}, now)
        for service, versions in self._current.items():
            self._seen_at.setdefault(service, {}).update(
                dict.fromkeys(versions - {None}, now)
            )
        self._current = {}
        named: set[tuple[str, str | None]] = set()
        for notice in notices:
            version = self.told.get(notice.process)
            if notice.readiness is Readiness.GONE:
                named.add((notice.service, version))
                seen_at = self._seen_at.setdefault(notice.service, {})
                seen_at.setdefault(version, now)
                continue
            self._current.setdefault(notice.service, set()).add(version)
            if version is None:
                self._untold[notice.process] = notice.service
        self._forget(named, now)

    def _follow_untold(self, listed: Container[tuple[str, int]], now: float) -> None:
        """Note that targets have vanished whose version nobody has told meanwhile."""
        for process, service in self._untold.items():
            if process not in listed:
                self._seen_at.setdefault(service, {})[None] = now
        self._untold = {}

    def _forget(self, named: set[tuple[str, str | None]], now: float) -> None:
        """Forget versions that no stream can have; those named would come back."""
        for service, seen_at in tuple(self._seen_at.items()):
            kept = {
                version: at
                for version, at in seen_at.items()
                if now - at <= ORIGIN_RETENTION_S or (service, version) in named
            }
            if kept:
                self._seen_at[service] = kept
            else:
                del self._seen_at[service]

    def find_sole_version(self, service: str, now: float) -> str | None:
        """Find the only version that the targets of a service had lately.

        :param service: the service.
        :param now: the current time, in seconds.
        :returns: the version; None if there were several, or one isn't known.
        """
        versions = set(self._current.get(service, ()))
        for version, seen_at in self._seen_at.get(service, {}).items():
            if now - seen_at <= ORIGIN_RETENTION_S:
                versions.add(version)
        return versions.pop() if len(versions) == 1 else None

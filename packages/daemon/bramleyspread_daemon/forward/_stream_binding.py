"""Binds a request's stream to the software version that began it."""

from __future__ import annotations

import msgspec
from loguru import logger

from bramleyspread_core import ForwardRoute
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._stream_keepers import StreamKeepers
from bramleyspread_forwarding import (
    NO_SUCH_SOFTWARE,
    ForwardRequest,
    ForwardTarget,
    StreamOrigin,
    TargetTable,
)

#: Why a stream isn't continued.
UNKNOWN_ORIGIN = "nobody knows which software version began the stream"
OTHER_SERVICE = "the service that began the stream is not in the route any more"


class Unbound(msgspec.Struct, frozen=True):
    """Any target may get the request."""


class Bound(msgspec.Struct, frozen=True):
    """Only targets with one software version may get the request."""

    #: The version.
    software: str
    #: Whether it is the only one that this host has heard of lately.
    is_sole: bool = False

    def allows(self, software: str | None) -> bool:
        """Whether a target may get the request.

        :param software: its version; None if it isn't confirmed where it was chosen.
        """
        return software == self.software or (self.is_sole and software is None)


class Unresumable(msgspec.Struct, frozen=True):
    """No target may get the request."""

    #: Why, for logs and replies.
    why: str


#: Which targets may get a request, or continue its stream.
Binding = Unbound | Bound | Unresumable


class StreamBinding:
    """Which software version a request's stream is bound to.

    A stream is bound once its caller has an event, from this request or an earlier one.

    :param request: the request.
    :param route: its route.
    :param targets: the known targets.
    :param keepers: knows which versions began earlier streams.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        targets: TargetTable,
        keepers: StreamKeepers,
    ) -> None:
        self._request = request
        self._route = route
        self._targets = targets
        self._keepers = keepers
        self._has_events = bool(request.last_event)
        #: The version that wrote the first event; None while it isn't known.
        self._software: str | None = None
        #: The target that wrote it, and when its process started; None if not known.
        self._writer: tuple[str, int] | None = None
        #: What keepers were told last.
        self._told: StreamOrigin | None = None
        self._service = ""

    @property
    def is_known(self) -> bool:
        """Whether it is known which version wrote the first event."""
        return self._software is not None

    async def find_service(self, service: str) -> str:
        """Find the service that must get the request, and where its stream began.

        :param service: the service that gets it if it begins a new stream.
        :returns: the service.
        """
        self._service = service
        if not self._has_events:
            return service
        services = tuple(each.service for each in self._route.shares)
        origin = await self._keepers.find(self._request.resumes, services)
        if origin is not None:
            self._service, self._software = origin.service, origin.software
            self._writer = (origin.target, origin.born) if origin.target else None
            self._identify_software()
        log = logger.bind(
            step="resume",
            peer="-",
            request=self._request.request_id,
            resumes=self._request.resumes,
            after_event=self._request.last_event,
            software=self._software,
        )
        log.info("origin known" if self.is_known else UNKNOWN_ORIGIN)
        return self._service

    def find(self) -> Binding:
        """Find which targets may get the request now."""
        if not self._has_events:
            return Unbound()
        if all(each.service != self._service for each in self._route.shares):
            return Unresumable(OTHER_SERVICE)
        self._identify_software()
        software = self._software
        if software is None:
            software = self._find_only_version()
        if software is None:
            return Unresumable(UNKNOWN_ORIGIN)
        return Bound(software, software == self._find_sole_version_heard())

    def _find_only_version(self) -> str | None:
        """Find the only version that can have begun the stream."""
        if self._writer is not None and self._targets.knows_process(*self._writer):
            return self._find_sole_version_heard()
        return self._targets.find_sole_version(self._service, read_monotonic())

    def _find_sole_version_heard(self) -> str | None:
        history = self._targets.software
        return history.find_sole_version(self._service, read_monotonic())

    def find_refusal(self) -> Unresumable | None:
        """Find why no target may get the request, before anything is done for it.

        While versions aren't confirmed here, the host that chooses targets decides.
        """
        binding = self.find()
        if not isinstance(binding, Bound):
            return binding if isinstance(binding, Unresumable) else None
        usable = self._targets.list_usable(self._service)
        if any(each.software in (binding.software, None) for each in usable):
            return None
        return Unresumable(NO_SUCH_SOFTWARE)

    def record_event(self, target: ForwardTarget) -> StreamOrigin | None:
        """Record that the caller has got an event from a target.

        :param target: the target, as it was when the request was sent.
        :returns: where the stream began, if a caller may take it up, and keepers don't
            know it yet.
        """
        if self._software is None and self._writer is None:
            self._software = target.software
            self._writer = (target.target, target.born)
        self._has_events = True
        self._identify_software()
        origin = self._describe_origin()
        if origin is None or origin == self._told:
            return None
        self._told = origin
        self._keepers.tables.remember(origin)
        return origin

    def _describe_origin(self) -> StreamOrigin | None:
        """Describe where the stream began, if a caller may take it up."""
        request = self._request
        stream = request.resumes if request.last_event else request.request_id
        if not stream or not self._route.repeatable:
            return None
        if self._software is not None or self._writer is None:
            return StreamOrigin(stream, self._service, self._software)
        return StreamOrigin(stream, self._service, None, *self._writer)

    def _identify_software(self) -> None:
        """Find the version of the target that wrote the first event, if it isn't known.

        A host that has just heard no control host for a while doesn't know it when the
        event comes. What it or another host hears then counts if the process is still
        the same.
        """
        if self._software is None and self._writer is not None:
            self._software = self._targets.find_software(*self._writer)

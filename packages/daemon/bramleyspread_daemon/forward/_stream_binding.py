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

    software: str


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
        #: The target that wrote the first event of this answer; None before it.
        self._first_target: ForwardTarget | None = None
        #: The version that wrote the first event; None while it isn't known.
        self._software: str | None = None
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
        log = logger.bind(
            step="resume",
            peer="-",
            request=self._request.request_id,
            resumes=self._request.resumes,
            after_event=self._request.last_event,
            software=self._software,
        )
        log.info("origin known" if origin is not None else UNKNOWN_ORIGIN)
        return self._service

    def find(self) -> Binding:
        """Find which targets may get the request now."""
        if not self._has_events:
            return Unbound()
        if all(each.service != self._service for each in self._route.shares):
            return Unresumable(OTHER_SERVICE)
        history = self._targets.software
        sole = history.find_sole_version(self._service, read_monotonic())
        self._identify_software()
        if self._software is None:
            return Unbound() if sole is not None else Unresumable(UNKNOWN_ORIGIN)
        return Unbound() if sole == self._software else Bound(self._software)

    def find_refusal(self) -> Unresumable | None:
        """Find why no target may get the request, before anything is done for it."""
        binding = self.find()
        if not isinstance(binding, Bound):
            return binding if isinstance(binding, Unresumable) else None
        usable = self._targets.list_usable(self._service)
        if any(each.software == binding.software for each in usable):
            return None
        return Unresumable(NO_SUCH_SOFTWARE)

    def record_event(self, target: ForwardTarget) -> StreamOrigin | None:
        """Record that the caller has got an event from a target.

        :param target: the target, as it was when the request was sent.
        :returns: where the stream began, if a caller may take it up and the version is
            known.
        """
        if self._first_target is None:
            self._first_target = target
        self._has_events = True
        self._identify_software()
        request = self._request
        stream = request.resumes if request.last_event else request.request_id
        if not stream or self._software is None or not self._route.repeatable:
            return None
        origin = StreamOrigin(stream, self._service, self._software)
        self._keepers.remember(origin)
        return origin

    def _identify_software(self) -> None:
        """Find the version of the target that wrote the first event, if it isn't known.

        A host that has just heard no control host for a while doesn't know it when the
        event comes. What it hears then counts if the target is still the same process.
        """
        first = self._first_target
        if self._software is not None or first is None:
            return
        self._software = first.software
        known = self._targets.find_by_address(first.address)
        if self._software is None and known is not None:
            is_same = (known.target, known.born) == (first.target, first.born)
            self._software = known.software if is_same else None

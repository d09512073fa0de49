"""Table of targets that an entry host merges from the feeds of all control hosts."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from itertools import islice

import msgspec

from bramleyspread_core import Address, ZoneDrains
from bramleyspread_forwarding._feed import ControlProcess, Departure, FeedPage
from bramleyspread_forwarding._heartbeats import (
    Readiness,
    TargetChange,
    TargetHeartbeat,
)
from bramleyspread_forwarding._software_history import SoftwareHistory
from bramleyspread_forwarding._stream_origins import ORIGIN_RETENTION_S

#: How long the target states that a control host reported stay valid after its last
#: feed page, in seconds. Pages are requested twice a second.
VIEW_TTL_S = 2.5
#: Time without a page after which a control host counts as not heard, in seconds.
MAX_PAGE_GAP_S = 0.8
#: How long the departure of a target is remembered at least, in seconds; longer while
#: a control host still reports it as ready.
DEPARTURE_RETENTION_S = 120.0
#: Maximum number of departures in one message to a control host.
MAX_DEPARTURES = 100


class ForwardTarget(msgspec.Struct, frozen=True):
    """A target that accepts work."""

    #: Id of the target.
    target: str
    #: Address at which it accepts calls.
    address: Address
    #: Availability zone of the target.
    zone: str
    #: Number of calls that it processes at once.
    slots: int
    #: When its process started, in milliseconds since 1970; 0 when unknown.
    born: int = 0
    #: Version of its software; empty if it names none, None while no control host
    #: confirms it, or if this process has crashed.
    software: str | None = ""


class _ControlView:
    """State of the targets as one process of a control host reports it."""

    __slots__ = ("incarnation", "known_since", "position", "targets", "updated_at")

    def __init__(self, incarnation: str, known_since: float) -> None:
        #: Since when the process knows which targets there were, in seconds.
        self.known_since = known_since
        self.updated_at = 0.0
        self.incarnation = incarnation
        self.position = 0
        self.targets: dict[str, TargetChange] = {}


class TargetTable:
    """Targets by service.

    A target that announced to any control host that it drains or leaves gets no
    work, whatever the other control hosts report. A target that is silent at one
    control host is dropped only when no other control host receives its heartbeats.

    Targets in drained zones get no work either, but stay known by their addresses:
    what runs there ends undisturbed, and results are still read and released.
    """

    def __init__(self) -> None:
        self._views: dict[Address, _ControlView] = {}
        # By target, the start of the process that departs, and when this was heard.
        self._departures: dict[str, tuple[int, float]] = {}
        # When processes of targets crashed, by target and the start of the process.
        self._crashes: dict[tuple[str, int], float] = {}
        self._usable: dict[str, tuple[ForwardTarget, ...]] = {}
        # The targets that accept work but for the drain of their zone.
        self._drained: dict[str, tuple[ForwardTarget, ...]] = {}
        self._by_address: dict[Address, ForwardTarget] = {}
        # The same without the targets in drained zones.
        self._addresses: dict[Address, ForwardTarget] = {}
        self._by_process: dict[tuple[str, int], ForwardTarget] = {}
        self._fresh_controls: frozenset[Address] = frozenset()
        # The control hosts that the newest page names.
        self._controls: frozenset[Address] = frozenset()
        # When a page was applied last, and since when it is known without a gap which
        # targets there were, in seconds.
        self._heard_at = -math.inf
        self._history_since = math.inf
        #: Software versions that the targets had lately.
        self.software = SoftwareHistory()
        #: The newest zone drains that any control host has named.
        self.drains = ZoneDrains()

    def find_position(self, control: Address) -> tuple[str, int]:
        """Find how far this table follows a control host's feed.

        :param control: address of the control host.
        :returns: the id of the control host's process, and the position in its feed.
        """
        view = self._views.get(control)
        return (view.incarnation, view.position) if view is not None else ("", 0)

    def apply(self, control: Address, page: FeedPage, now: float) -> bool:
        """Apply a page of a control host's feed.

        :param control: address of the control host.
        :param page: its page.
        :param now: the current time, in seconds.
        :returns: whether the table was rebuilt.
        """
        view = self._views.get(control)
        must_rebuild = view is None or view.incarnation != page.incarnation
        if view is None or must_rebuild:
            known_since = now - page.history_s
            view = self._views[control] = _ControlView(page.incarnation, known_since)
        for change in page.changes:
            self._apply_change(view, change, now)
        view.position = page.position
        view.updated_at = now
        self._follow_history(page, now)
        must_rebuild |= self._adopt_drains(page.zone_drains)
        if control not in self._fresh_controls:
            self._fresh_controls |= {control}
            must_rebuild = True
        if page.changes or must_rebuild:
            self._rebuild(now)
        return bool(page.changes) or must_rebuild

    def _adopt_drains(self, drains: ZoneDrains | None) -> bool:
        """Adopt zone drains if they are newer; return whether they are.

        A control host that lags, or has lost its state, may name an older revision.
        """
        if drains is None or drains.revision <= self.drains.revision:
            return False
        self.drains = drains
        return True

    def tick(self, now: float) -> None:
        """Mark the views of control hosts that sent no page lately as stale."""
        fresh_controls = frozenset(
            control
            for control, view in self._views.items()
            if now - view.updated_at <= VIEW_TTL_S
        )
        if fresh_controls != self._fresh_controls:
            self._fresh_controls = fresh_controls
            self._rebuild(now)

    def list_unknown_departures(self, control: Address) -> tuple[Departure, ...]:
        """List targets that leave, but that a control host reports as ready.

        :param control: address of the control host.
        :returns: at most ``MAX_DEPARTURES`` of them.
        """
        view = self._views.get(control)
        if view is None:
            return ()
        unknown = (
            Departure(target, born)
            for target, (born, _) in self._departures.items()
            if self._lists_as_ready(view, target, born)
        )
        return tuple(islice(unknown, MAX_DEPARTURES))

    def list_addresses(self) -> Collection[Address]:
        """List the addresses of the targets that accept work."""
        return self._addresses.keys()

    def list_usable(self, service: str) -> Sequence[ForwardTarget]:
        """List the targets of a service that accept work.

        Targets that appear only in stale views are listed when the service has no
        others.

        :param service: the service.
        :returns: the targets, sorted by id.
        """
        return self._usable.get(service, ())

    def list_drained(self, service: str) -> Sequence[ForwardTarget]:
        """List the targets of a service that get no work since their zone is drained.

        :param service: the service.
        :returns: the targets, sorted by id.
        """
        return self._drained.get(service, ())

    def list_services(self) -> Collection[str]:
        """List the services with targets that accept work, or would but for drains."""
        return self._usable.keys()

    def list_leaving(self) -> tuple[TargetHeartbeat, ...]:
        """List the last heartbeats of targets that leave and are still there.

        They are looked up in the views, so that rebuilding doesn't have to list them.
        """
        listed = {each.target for each in self._by_process.values()}
        leaving: dict[str, TargetHeartbeat] = {}
        for control in self._fresh_controls:
            for target, change in self._views[control].targets.items():
                notice = change.notice
                if target in listed or notice.readiness is Readiness.GONE:
                    continue
                known = leaving.get(target)
                if known is None or known.sort_key < notice.sort_key:
                    leaving[target] = notice
        return tuple(notice for _, notice in sorted(leaving.items()))

    def is_all_drained(self, service: str) -> bool:
        """Whether a service has targets, and all of them are in drained zones."""
        return bool(self._drained.get(service)) and not self._usable.get(service)

    def find_by_address(self, address: Address) -> ForwardTarget | None:
        """Find the target at an address, whether its zone is drained or not."""
        return self._by_address.get(address)

    def may_relay(self, address: Address, drains_revision: int) -> bool:
        """Whether this host may connect to an address for another host.

        A host that obeys the drains that this one knows connects to targets in drained
        zones only for what is in flight there.

        :param address: the address; only targets are connected to.
        :param drains_revision: revision of the zone drains that the other host obeys.
        """
        if address in self._addresses:
            return True
        is_late = drains_revision < self.drains.revision
        return address in self._by_address and not is_late

    def find_software(self, target: str, born: int) -> str | None:
        """Find the software version of a target's process; None if it isn't confirmed.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        """
        found = self._by_process.get((target, born))
        return found.software if found is not None else None

    def list_controls(self) -> tuple[ControlProcess, ...]:
        """List the control hosts that the newest page names, and their processes."""
        controls = self._controls or self._views.keys()
        return tuple(
            ControlProcess(each, self.find_position(each)[0]) for each in controls
        )

    def knows_process(self, target: str, born: int) -> bool:
        """Whether a target's process accepts work, as far as this host has heard."""
        return (target, born) in self._by_process

    def find_sole_version(self, service: str, now: float) -> str | None:
        """Find the only version that began streams of a service which may still go on.

        A host that doesn't hear most control hosts may not know of another version, nor
        may one that knows only since a moment ago which targets there were.

        :param service: the service.
        :param now: the current time, in seconds.
        :returns: the version; None if there were several, or there may have been.
        """
        hears_most = self._find_history_start(now) < math.inf
        if not hears_most or now - self._history_since < ORIGIN_RETENTION_S:
            return None
        return self.software.find_sole_version(service, now)

    def _follow_history(self, page: FeedPage, now: float) -> None:
        """Follow since when it is known which targets there were.

        After a gap only what the control hosts know counts.
        """
        self._controls = frozenset(page.control)
        if now - self._heard_at > MAX_PAGE_GAP_S:
            self._history_since = math.inf
        self._heard_at = now
        start = self._find_history_start(now)
        self._history_since = min(self._history_since, start)

    def _find_history_start(self, now: float) -> float:
        """Find since when most control hosts know which targets there were.

        :returns: the time, in seconds; infinite if most of them aren't heard.
        """
        controls = self._controls or self._views.keys()
        views = [self._views[each] for each in controls if each in self._views]
        starts = sorted(
            each.known_since
            for each in views
            if now - each.updated_at <= MAX_PAGE_GAP_S
        )
        most = len(controls) // 2 + 1
        return starts[most - 1] if len(starts) >= most else math.inf

    def _apply_change(
        self, view: _ControlView, change: TargetChange, now: float
    ) -> None:
        notice = change.notice
        view.targets[notice.target] = change
        if change.silent or notice.readiness is Readiness.READY:
            return
        self._add_departure(notice.target, notice.born, now)

    def record_departure(self, target: str, born: int, now: float) -> None:
        """Record that a target said in a response that it is leaving.

        :param target: the target.
        :param born: when its process started, in milliseconds since 1970; 0 if unknown.
        :param now: the current time, in seconds.
        """
        self._add_departure(target, born, now)
        self._rebuild(now)

    def record_crash(self, target: str, born: int, now: float) -> None:
        """Record that a process of a target has crashed.

        What answers at its address afterwards is another process, which may have
        another software version, until the target names its new start.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        :param now: the current time, in seconds.
        """
        if (target, born) not in self._crashes:
            self._crashes[target, born] = now
            self._rebuild(now)

    def has_departed(self, target: str, born: int) -> bool:
        """Whether a target's process is leaving or has left, as far as is known.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        """
        known = self._departures.get(target)
        return known is not None and known[0] >= born

    def has_crashed(self, target: str, born: int) -> bool:
        """Whether a target's process has crashed, as far as is known.

        :param target: the target.
        :param born: when the process started, in milliseconds since 1970; 0 if unknown.
        """
        return (target, born) in self._crashes

    def _add_departure(self, target: str, born: int, now: float) -> None:
        known = self._departures.get(target)
        if known is None or known[0] <= born:
            self._departures[target] = (born, now)

    def _forget_old(self, now: float) -> None:
        """Forget old crashes, and departures that no control host lists as ready."""
        for process, crashed_at in tuple(self._crashes.items()):
            if now - crashed_at > ORIGIN_RETENTION_S:
                del self._crashes[process]
        for target, (born, departed_at) in tuple(self._departures.items()):
            if now - departed_at > DEPARTURE_RETENTION_S and not any(
                self._lists_as_ready(view, target, born)
                for view in self._views.values()
            ):
                del self._departures[target]

    @staticmethod
    def _lists_as_ready(view: _ControlView, target: str, born: int) -> bool:
        change = view.targets.get(target)
        return (
            change is not None
            and change.notice.readiness is Readiness.READY
            and change.notice.born <= born
        )

    def _rebuild(self, now: float) -> None:
        """Rebuild the lists of usable targets from all views and departures.

        For each target, the newest heartbeat that says it is ready counts.
        """
        self._forget_old(now)
        notices = [
            x.notice for view in self._views.values() for x in view.targets.values()
        ]
        self.software.update(notices, now)
        told = self.software.told
        newest: dict[str, TargetHeartbeat] = {}
        fresh_targets: set[str] = set()
        for control, view in self._views.items():
            for target, change in view.targets.items():
                if change.notice.readiness is not Readiness.READY:
                    continue
                if control in self._fresh_controls:
                    fresh_targets.add(target)
                known = newest.get(target)
                if known is None or known.sort_key < change.notice.sort_key:
                    newest[target] = change.notice
        usable: dict[str, list[ForwardTarget]] = {}
        stale: dict[str, list[ForwardTarget]] = {}
        for target, notice in sorted(newest.items()):
            if self.has_departed(target, notice.born):
                continue
            is_fresh = target in fresh_targets
            is_confirmed = is_fresh and (target, notice.born) not in self._crashes
            lists = usable if is_fresh else stale
            lists.setdefault(notice.service, []).append(
                ForwardTarget(
                    target,
                    notice.address,
                    notice.zone,
                    notice.slots,
                    notice.born,
                    told.get(notice.process) if is_confirmed else None,
                )
            )
        self._list_services(usable, stale)

    def _list_services(
        self,
        fresh: dict[str, list[ForwardTarget]],
        stale: dict[str, list[ForwardTarget]],
    ) -> None:
        """List the targets of each service, those in drained zones separately.

        :param fresh: by service, the targets that control hosts reported lately.
        :param stale: by service, the other ones.
        """
        listed = {name: tuple(targets) for name, targets in {**stale, **fresh}.items()}
        self._usable, self._drained = listed, {}
        if self.drains.drained:
            self._separate_drained(listed, stale)
        usable = [each for targets in self._usable.values() for each in targets]
        drained = [each for targets in self._drained.values() for each in targets]
        self._addresses = {each.address: each for each in usable}
        self._by_address = self._addresses
        if drained:
            self._by_address = {each.address: each for each in (*drained, *usable)}
        self._by_process = {(each.target, each.born): each for each in usable + drained}

    def _separate_drained(
        self,
        listed: dict[str, tuple[ForwardTarget, ...]],
        stale: dict[str, list[ForwardTarget]],
    ) -> None:
        """Separate the targets in drained zones from those that are usable.

        Where all others are drained, targets that only stale views list are usable.

        :param listed: by service, the targets that are listed.
        :param stale: by service, those that no control host reported lately.
        """
        zones = frozenset(each.zone for each in self.drains.drained)
        self._usable = {}
        for name, targets in listed.items():
            self._drained[name] = tuple(x for x in targets if x.zone in zones)
            self._usable[name] = tuple(
                x for x in targets if x.zone not in zones
            ) or tuple(x for x in stale.get(name, ()) if x.zone not in zones)

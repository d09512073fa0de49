"""What an entry host knows of targets, put together from all control hosts."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from bramleyspread_core import Address
from bramleyspread_forwarding._feed import FeedPage
from bramleyspread_forwarding._notices import Readiness, TargetChange, TargetNotice

#: How long a control host's word counts, in seconds; it is asked twice a second.
FRESH_S = 2.5
#: How long a target that is gone is remembered, in seconds.
REMEMBERED_S = 120.0


class ForwardTarget(msgspec.Struct, frozen=True):
    """A target that may be given work."""

    #: Its id.
    target: str
    #: Where it takes calls.
    address: Address
    #: Its availability zone.
    zone: str
    #: Calls that it works on at once.
    slots: int


class _View:
    """What one control host says."""

    __slots__ = ("at", "life", "position", "targets")

    def __init__(self, life: str) -> None:
        self.at = 0.0
        self.life = life
        self.position = 0
        self.targets: dict[str, TargetChange] = {}


class TargetTable:
    """Targets by service.

    A target's own word that it drains or leaves goes before what any control
    host believes; silence at one control host counts only where no other one
    hears the target.
    """

    def __init__(self) -> None:
        self._views: dict[Address, _View] = {}
        self._departures: dict[str, tuple[TargetNotice, float]] = {}
        self._usable: dict[str, tuple[ForwardTarget, ...]] = {}
        self._fresh: frozenset[Address] = frozenset()

    def find_position(self, control: Address) -> tuple[str, int]:
        """Find what is known from a control host.

        :param control: the control host.
        :returns: the life of its process, and the position.
        """
        view = self._views.get(control)
        return (view.life, view.position) if view is not None else ("", 0)

    def apply(self, control: Address, page: FeedPage, now: float) -> bool:
        """Take a control host's page.

        :param control: the control host.
        :param page: its page.
        :param now: seconds.
        :returns: whether anything changed.
        """
        view = self._views.get(control)
        reborn = view is None or view.life != page.life
        if view is None or reborn:
            view = self._views[control] = _View(page.life)
        for change in page.changes:
            self._take(view, change, now)
        view.position = page.position
        view.at = now
        if control not in self._fresh:
            self._fresh |= {control}
            reborn = True
        if page.changes or reborn:
            self._rebuild(now)
        return bool(page.changes) or reborn

    def tick(self, now: float) -> None:
        """Let time pass: a control host that is not heard counts no more."""
        fresh = frozenset(
            control for control, view in self._views.items() if now - view.at <= FRESH_S
        )
        if fresh != self._fresh:
            self._fresh = fresh
            self._rebuild(now)

    def list_usable(self, service: str) -> Sequence[ForwardTarget]:
        """List the targets of a service that take work.

        Targets of which only control hosts tell that aren't heard any more are on
        the list when there are no others.

        :param service: the service.
        :returns: the targets, in the order of their ids.
        """
        return self._usable.get(service, ())

    def _take(self, view: _View, change: TargetChange, now: float) -> None:
        notice = change.notice
        view.targets[notice.target] = change
        if change.silent or notice.readiness is Readiness.READY:
            return
        known = self._departures.get(notice.target)
        if known is None or known[0].born <= notice.born:
            self._departures[notice.target] = (notice, now)

    def _rebuild(self, now: float) -> None:
        for target, (_, since) in tuple(self._departures.items()):
            if now - since > REMEMBERED_S:
                del self._departures[target]
        newest: dict[str, TargetNotice] = {}
        heard: set[str] = set()
        for control, view in self._views.items():
            for target, change in view.targets.items():
                if change.notice.readiness is not Readiness.READY:
                    continue
                if control in self._fresh:
                    heard.add(target)
                known = newest.get(target)
                if known is None or known.order < change.notice.order:
                    newest[target] = change.notice
        usable: dict[str, list[ForwardTarget]] = {}
        doubtful: dict[str, list[ForwardTarget]] = {}
        for target, notice in sorted(newest.items()):
            departure = self._departures.get(target)
            if departure is not None and departure[0].born >= notice.born:
                continue
            lists = usable if target in heard else doubtful
            lists.setdefault(notice.service, []).append(
                ForwardTarget(target, notice.address, notice.zone, notice.slots)
            )
        self._usable = {
            name: tuple(each) for name, each in {**doubtful, **usable}.items()
        }

"""Messages of the feed by which entry hosts follow the control hosts' state."""

from __future__ import annotations

import msgspec

from bramleyspread_containment import CrashNews
from bramleyspread_core import Address, Deployment, ZoneDrains
from bramleyspread_forwarding._heartbeats import TargetChange


class EntryHost(msgspec.Struct, frozen=True, order=True):
    """An entry host that polls the feed."""

    #: Name of the host.
    host: str
    #: Availability zone of the host.
    zone: str
    #: Address at which it accepts messages of other hosts.
    address: Address
    #: When its process started, in milliseconds since 1970.
    started: int = 0


class ControlProcess(msgspec.Struct, frozen=True):
    """A process of a control host, as its pages name it."""

    #: Address at which it accepts messages of other hosts.
    address: Address
    #: Id of the process; empty while it isn't known.
    incarnation: str


class Departure(msgspec.Struct, frozen=True):
    """A target that has said that it leaves."""

    #: Id of the target.
    target: str
    #: When its process started, in milliseconds since 1970; 0 when unknown.
    born: int = 0


class FeedQuery(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Requests the changes that an entry host doesn't know yet.

    Sent with ``POST /v1/control/feed``. The control host answers as soon as there are
    changes, or without any after a short wait.
    """

    #: The entry host that sends the query.
    asker: EntryHost
    #: Version of the deployment document that is in force there; 0 for none.
    version: int
    #: Id of the control host's process to which the position belongs; empty for none.
    incarnation: str = msgspec.field(name="life", default="")
    #: Position in that process's sequence of target changes up to which the entry host
    #: knows all of them.
    position: int = 0
    #: Revision of that process's list of entry hosts that the entry host knows; 0 for
    #: none.
    entries_revision: int = 0
    #: Targets that leave although the control host reports them as ready.
    departures: tuple[Departure, ...] = ()
    #: Revision of that process's table of crashes up to which the entry host knows it.
    crash_revision: int = 0
    #: Crashes that the control host may not know yet; None for none.
    crash_news: CrashNews | None = None
    #: Version that the control host has told already; it answers once it knows a newer
    #: one. None if the entry host expects the document itself in the page.
    told_version: int | None = None
    #: Revision of the zone drains that the entry host obeys.
    drains_revision: int = 0


class FeedPage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The answer to :class:`FeedQuery`."""

    #: Id of the control host's process.
    incarnation: str = msgspec.field(name="life")
    #: Position up to which the entry host knows all target changes once it has applied
    #: this page.
    position: int
    #: How far back that process knows which targets there were, in whole seconds; no
    #: further than streams go on. Only in answers to queries that name another process.
    history_s: int = 0
    #: State of the targets that changed.
    changes: tuple[TargetChange, ...] = ()
    #: A newer deployment document, if the query expects it here; None if there is none.
    deployment: Deployment | None = None
    #: Version of the newest document that the control host knows; 0 for none.
    version: int = 0
    #: Whether it is confirmed that no control host has accepted a newer version.
    confirmed: bool = False
    #: Addresses of the control hosts.
    control: tuple[Address, ...] = ()
    #: The entry hosts that polled the feed lately; None if they are those of the
    #: revision that the query names, but for the changes.
    entries: tuple[EntryHost, ...] | None = None
    #: Entry hosts that were added or restarted since that revision.
    added_entries: tuple[EntryHost, ...] = ()
    #: Names of the entry hosts that were removed since that revision.
    removed_entries: tuple[str, ...] = ()
    #: That revision, in this process of the control host.
    known_revision: int = 0
    #: Revision of the list after this page.
    entries_revision: int = 0
    #: Crashes that the entry host may not know yet; None for none.
    crash_news: CrashNews | None = None
    #: Revision of the entry host's own table up to which the control host knows it; 0
    #: if the query told nothing.
    heard_crash_revision: int = 0
    #: The zone drains; None if the entry host obeys these or newer ones.
    zone_drains: ZoneDrains | None = None


class KnownEntries(msgspec.Struct, frozen=True):
    """The entry hosts that one process of a control host has named."""

    #: Id of the control host's process.
    incarnation: str = ""
    #: Revision of its list.
    revision: int = 0
    entries: tuple[EntryHost, ...] = ()

    def apply(self, page: FeedPage) -> KnownEntries:
        """Return the entry hosts after a page of the same control host.

        :param page: the page.
        :returns: the entry hosts; none if the page's changes are those of another list.

        >>> from bramleyspread_core import Address
        >>> first = EntryHost("e", "z", Address("10.0.0.1", 1))
        >>> second = EntryHost("f", "z", Address("10.0.0.2", 1))
        >>> named = FeedPage(
        ...     incarnation="a", position=0, entries=(first,), entries_revision=1
        ... )
        >>> changed = FeedPage(
        ...     incarnation="a",
        ...     position=0,
        ...     added_entries=(second,),
        ...     removed_entries=("e",),
        ...     known_revision=1,
        ...     entries_revision=3,
        ... )
        >>> known = KnownEntries().apply(named)
        >>> known.apply(changed).entries == (second,)
        True
        >>> restarted = FeedPage(incarnation="b", position=0, known_revision=1)
        >>> known.apply(restarted).entries
        ()
        """
        if page.entries is not None:
            return KnownEntries(page.incarnation, page.entries_revision, page.entries)
        if (page.incarnation, page.known_revision) != (self.incarnation, self.revision):
            return KnownEntries()
        if page.entries_revision == self.revision:
            return self
        replaced = {each.host for each in page.added_entries}
        replaced.update(page.removed_entries)
        kept = [each for each in self.entries if each.host not in replaced]
        entries = (*kept, *page.added_entries)
        return KnownEntries(page.incarnation, page.entries_revision, entries)

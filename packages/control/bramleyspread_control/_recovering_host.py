"""A control host that outlives failures of its disk."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bramleyspread_control._config import ControlConfig
from bramleyspread_control._disk import DiskError
from bramleyspread_control._host import ControlHost, SyncedStates
from bramleyspread_core import (
    Address,
    Command,
    CommandReply,
    ControlOutput,
    ControlStatus,
    Deployment,
    DocumentInForce,
    DocumentsPage,
    DocumentsQuery,
    DocumentText,
    NotLeader,
    Order,
    PeerMessage,
    Undecided,
    UnstampedEvent,
    ZoneDrains,
)

#: Delay between a failure of the disk and the first attempt to use it again, in
#: seconds.
MIN_REOPEN_DELAY_S = 0.25
#: Maximum delay between two attempts, in seconds.
MAX_REOPEN_DELAY_S = 1.0
#: Role of a host without a usable disk in every group.
SUSPENDED = "suspended"


class HostOpener(Protocol):
    """Starts a control host on its data folder."""

    def __call__(self, now: float) -> ControlHost:
        """Open the data folder, and close it first if it is open.

        :param now: monotonic seconds.
        :raises DiskError: if the data folder can't be used.
        """


class RecoveringControlHost:
    """A control host that is suspended while its disk fails; a ``ControlNode``.

    A suspended host sends no messages and accepts no commands: it neither votes nor
    acknowledges anything. It still knows the documents that were in force, which it
    never reports as confirmed. It loads its data folder again until that succeeds, and
    rewrites it before it takes part again: after a failed sync, nobody knows which of
    the bytes that can be read are durable.

    :param config: configuration of the host.
    :param open_host: starts the host on its data folder.
    :param now: monotonic seconds.
    """

    def __init__(
        self, config: ControlConfig, open_host: HostOpener, now: float
    ) -> None:
        self._config = config
        self._open_host = open_host
        self._is_usable = False
        self._reopen_at = now
        self._reopen_delay_s = MIN_REOPEN_DELAY_S
        self._deployment: Deployment | None = None
        self._zone_drains = ZoneDrains()
        # What this process had made durable; None before the first successful start.
        self._synced_states: SyncedStates | None = None
        self._pending_tickets: set[int] = set()
        self._replies: list[CommandReply] = []
        self._events: list[UnstampedEvent] = []
        # The host; its last state in memory while the disk fails, None before the
        # first successful start.
        self._host: ControlHost | None = None
        try:
            self._host = open_host(now)
            self._is_usable = True
        except DiskError as error:
            self._suspend(error, now)

    @classmethod
    def from_config(
        cls, config: ControlConfig, open_host: HostOpener, now: float
    ) -> RecoveringControlHost:
        """Start a control host.

        :param config: configuration of the host.
        :param open_host: starts the host on its data folder.
        :param now: monotonic seconds.
        :returns: the host; suspended if its disk fails.
        :raises CorruptFileError: when a file is damaged.
        :raises SettingsError: when the settings do not fit the data folder.
        """
        return cls(config, open_host, now)

    @property
    def is_suspended(self) -> bool:
        """Whether the disk fails."""
        return not self._is_usable

    def receive(self, message: PeerMessage, now: float) -> None:
        """Process a message from another control host; ignored while suspended."""
        if self._host is not None and self._is_usable:
            self._host.receive(message, now)

    def propose(self, ticket: int, command: Command, now: float) -> None:
        """Propose a command; at most one reply with this ticket follows."""
        if self._host is None or not self._is_usable:
            self._replies.append(CommandReply(ticket, NotLeader(None)))
            return
        self._pending_tickets.add(ticket)
        self._host.propose(ticket, command, now)

    def tick(self, now: float) -> None:
        """Run everything that is due; call at least every 10 ms."""
        if self._host is not None and self._is_usable:
            self._host.tick(now)
        elif now >= self._reopen_at:
            self._reopen(now)

    def flush(self, now: float) -> ControlOutput:
        """Write and sync all changes, then return what is to be sent."""
        output = ControlOutput()
        if self._host is not None and self._is_usable:
            try:
                output = self._host.flush(now)
            except DiskError as error:
                self._suspend(error, now)
        self._pending_tickets.difference_update(x.ticket for x in output.replies)
        replies, self._replies = self._replies, []
        events, self._events = self._events, []
        return ControlOutput(
            output.sends, (*output.replies, *replies), (*output.events, *events)
        )

    def _suspend(self, error: DiskError, now: float) -> None:
        """Stop taking part; the outcome of pending commands is undecided."""
        self._deployment = self.deployment
        self._zone_drains = self.zone_drains
        if self._host is not None:
            self._synced_states = self._host.list_synced_states()
        self._is_usable = False
        self._reopen_delay_s = MIN_REOPEN_DELAY_S
        self._reopen_at = now + self._reopen_delay_s
        undecided = Undecided("the disk of this control host failed; resend it")
        self._replies += [
            CommandReply(each, undecided) for each in sorted(self._pending_tickets)
        ]
        self._pending_tickets.clear()
        self._events.append(
            UnstampedEvent("disk-failed", step=error.operation, detail=str(error))
        )

    def _reopen(self, now: float) -> None:
        try:
            host = self._open_host(now)
            # Each attempt changes files, so they no longer show that they are as this
            # process left them.
            if self._synced_states is not None:
                host.trust_as_before(self._synced_states)
            host.rewrite_folder()
        except DiskError:
            self._reopen_at = now + self._reopen_delay_s
            self._reopen_delay_s = min(2 * self._reopen_delay_s, MAX_REOPEN_DELAY_S)
            return
        self._host = host
        self._is_usable = True
        self._events.append(UnstampedEvent("disk-recovered"))

    def answer_query(self, query: DocumentsQuery, now: float) -> DocumentsPage:
        """Return the known documents that are newer than the query's revision."""
        if self._host is None:
            return DocumentsPage(0, ())
        return self._host.answer_query(query, now)

    def report_status(self, now: float) -> ControlStatus:
        """Return the status of this host."""
        if self._host is None:
            groups = [str(group) for group in range(self._config.groups + 1)]
            roles, leaders = dict.fromkeys(groups, SUSPENDED), dict.fromkeys(groups, "")
            return ControlStatus(self._config.host, roles, leaders, {}, {}, {}, 0)
        status = self._host.report_status(now)
        if self._is_usable:
            return status
        return msgspec.structs.replace(
            status,
            roles=dict.fromkeys(status.roles, SUSPENDED),
            leaders=dict.fromkeys(status.leaders, ""),
        )

    def transfer_leadership(self, now: float) -> None:
        """Hand leadership of every group over to other hosts, before a planned stop."""
        if self._host is not None and self._is_usable:
            self._host.transfer_leadership(now)

    def list_documents(self) -> Sequence[DocumentInForce]:
        """List the known documents, the newest version of each."""
        return self._host.list_documents() if self._host is not None else ()

    def list_texts(self) -> Sequence[DocumentText]:
        """List the known documents in their original text."""
        return self._host.list_texts() if self._host is not None else ()

    def list_intended_orders(self) -> Sequence[Order]:
        """List the newest known order of each target."""
        return self._host.list_intended_orders() if self._host is not None else ()

    def get_fencing_number(self, now: float) -> int | None:
        """Return the fencing number for orders; None if this host must not give any."""
        if self._host is None or not self._is_usable:
            return None
        return self._host.get_fencing_number(now)

    @property
    def deployment(self) -> Deployment | None:
        """The newest version that this host has known; None if there is none yet.

        The loaded folder may not show yet that the newest version is committed.
        """
        loaded = self._host.deployment if self._host is not None else None
        known = self._deployment
        if known is None or (loaded is not None and loaded.version >= known.version):
            return loaded
        return known

    @property
    def zone_drains(self) -> ZoneDrains:
        """The newest zone drains that this host has known."""
        loaded = self._host.zone_drains if self._host is not None else ZoneDrains()
        return max(self._zone_drains, loaded, key=lambda each: each.revision)

    def is_deployment_confirmed(self, now: float) -> bool:
        """Whether it is certain that no host has accepted a newer version so far."""
        if self._host is None or not self._is_usable:
            return False
        return self._host.is_deployment_confirmed(now)

    def list_control_addresses(self) -> tuple[Address, ...]:
        """List the addresses of all known control hosts."""
        if self._host is None:
            listed = {each.address for each in self._config.members}
            return tuple(sorted({self._config.address, *listed}))
        return self._host.list_control_addresses()

"""Polling of the control hosts for documents by a simulated entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from bramleyspread_core import DocumentsPage, DocumentsQuery, HostName, UnstampedEvent
from bramleyspread_membership import EntryDirectory, StartupGate
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._entry_host import EntryHost
from bramleyspread_proof._network import Network

#: Interval between two polls for documents, in seconds.
POLL_INTERVAL_S = 0.5
#: Delay before a control host is queried again during startup, in seconds.
STARTUP_RETRY_DELAY_S = 0.1


class DocumentPoller:
    """Queries all control hosts for documents at startup, then polls them in turn."""

    def __init__(
        self,
        owner: EntryHost,
        directory: EntryDirectory,
        control_hosts: Sequence[ControlProcess],
        network: Network,
        record_event: Callable[[UnstampedEvent], None],
    ) -> None:
        self._owner = owner
        self._directory = directory
        self._control_hosts = control_hosts
        self._network = network
        self._record_event = record_event
        self._gate = StartupGate(len(control_hosts), owner.now)
        self._poll_count = 0

    def start(self) -> None:
        """Query all control hosts and start polling."""
        for control in self._control_hosts:
            self._query_at_start(control)
        self._owner.call_every(POLL_INTERVAL_S, self._poll)

    def is_caught_up(self) -> bool:
        """Whether the documents are recent enough to serve callers."""
        return self._gate.is_open(self._owner.now)

    def find_reverted(self, newest_versions: dict[str, int]) -> Iterator[str]:
        """Find documents that are older than a version once in force on this host.

        :param newest_versions: the newest version ever in force here, by service;
            updated in place.
        :returns: one line per document; none unless a majority of the control hosts is
            reachable.
        """
        reached = [c for c in self._control_hosts if self._can_reach(c)]
        majority = 2 * len(reached) > len(self._control_hosts)
        for document in self._directory.list_documents():
            service, version = document.service, document.version
            before = newest_versions.get(service, 0)
            if version < before and majority:
                yield f"{self._owner.name} serves {service} {version} after {before}"
            newest_versions[service] = max(before, version)

    def _can_reach(self, control: ControlProcess) -> bool:
        return control.alive and self._network.can_connect(self._owner, control)

    def _poll(self) -> None:
        control = self._control_hosts[self._poll_count % len(self._control_hosts)]
        self._poll_count += 1
        self._send_query(control, self._apply_page)

    def _query_at_start(self, control: ControlProcess) -> None:
        """Query one control host until the gate opens or it has nothing newer."""
        if self._gate.is_open(self._owner.now):
            return

        def handle_page(page: DocumentsPage) -> None:
            self._apply_page(page)
            if page.revision and not page.documents:
                self._gate.record_response(control.address)
            else:
                self._owner.call_later(
                    STARTUP_RETRY_DELAY_S, lambda: self._query_at_start(control)
                )

        self._send_query(control, handle_page)

    def _send_query(
        self, control: ControlProcess, on_page: Callable[[DocumentsPage], None]
    ) -> None:
        owner, network = self._owner, self._network
        query = DocumentsQuery(
            HostName(owner.name), owner.zone, owner.address, self._directory.revision
        )

        def reply(page: DocumentsPage) -> None:
            network.send(control, owner, lambda: on_page(page))

        network.send(owner, control, lambda: control.handle_query(query, reply))

    def _apply_page(self, page: DocumentsPage) -> None:
        for event in self._directory.apply_documents(page, self._owner.now):
            self._record_event(event)

"""How a simulated entry host follows the control hosts' documents."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from bramleyspread_core import DocumentsPage, DocumentsQuery, Happening, HostName
from bramleyspread_membership import EntryDirectory, StartGate
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._entry_host import EntryHost
from bramleyspread_proof._network import Network

#: Between two questions for documents, in seconds.
POLL = 0.5
#: Pause before a control host is asked again at the start, in seconds.
START_PAUSE = 0.1


class DocumentFollower:
    """Asks all control hosts at the start, then one after the other."""

    def __init__(
        self,
        owner: EntryHost,
        directory: EntryDirectory,
        control_hosts: Sequence[ControlProcess],
        network: Network,
        note: Callable[[Happening], None],
    ) -> None:
        self._owner = owner
        self._directory = directory
        self._control_hosts = control_hosts
        self._network = network
        self._note = note
        self._gate = StartGate(len(control_hosts), owner.now)
        self._polls = 0

    def start(self) -> None:
        """Begin to ask."""
        for control in self._control_hosts:
            self._ask_at_start(control)
        self._owner.every(POLL, self._poll)

    def is_caught_up(self) -> bool:
        """Whether callers may be served."""
        return self._gate.is_open(self._owner.now)

    def find_reverted(self, best: dict[str, int]) -> Iterator[str]:
        """Find documents older than what this host had in force before.

        :param best: the newest version ever in force here, by service; updated.
        :returns: a line each, if a majority of the control hosts can be asked.
        """
        reached = [c for c in self._control_hosts if self._can_ask(c)]
        majority = 2 * len(reached) > len(self._control_hosts)
        for document in self._directory.list_documents():
            service, version = document.service, document.version
            before = best.get(service, 0)
            if version < before and majority:
                yield f"{self._owner.name} serves {service} {version} after {before}"
            best[service] = max(before, version)

    def _can_ask(self, control: ControlProcess) -> bool:
        return control.alive and self._network.can_connect(self._owner, control)

    def _poll(self) -> None:
        control = self._control_hosts[self._polls % len(self._control_hosts)]
        self._polls += 1
        self._ask(control, self._take_page)

    def _ask_at_start(self, control: ControlProcess) -> None:
        """Ask one control host until the gate is open or all it has is here."""
        if self._gate.is_open(self._owner.now):
            return

        def take(page: DocumentsPage) -> None:
            self._take_page(page)
            if page.revision and not page.documents:
                self._gate.take_answer(control.address)
            else:
                self._owner.later(START_PAUSE, lambda: self._ask_at_start(control))

        self._ask(control, take)

    def _ask(
        self, control: ControlProcess, take: Callable[[DocumentsPage], None]
    ) -> None:
        owner, network = self._owner, self._network
        query = DocumentsQuery(
            HostName(owner.name), owner.zone, owner.address, self._directory.revision
        )

        def reply(page: DocumentsPage) -> None:
            network.send(control, owner, lambda: take(page))

        network.send(owner, control, lambda: control.take_query(query, reply))

    def _take_page(self, page: DocumentsPage) -> None:
        for happening in self._directory.apply_documents(page, self._owner.now):
            self._note(happening)

"""A whole deployment in virtual time, and what can be done to it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from bramleyspread_control import ControlMember
from bramleyspread_core import (
    Accepted,
    Address,
    CommandResult,
    HostName,
    LoadedModel,
    PoolName,
    ServiceDocument,
    ServiceName,
    SubmitDocument,
    TargetName,
    ZoneName,
    encode_json,
)
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._caller import Caller, Ending, Wish
from bramleyspread_proof._control_asker import ControlAsker
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._entry_process import EntryProcess
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process
from bramleyspread_proof._target_process import TargetPlace, TargetProcess

#: Stands for whichever control host leads at the moment, if one does.
LEADER = "leader"
#: How long an operator waits for a submission, in seconds.
SUBMIT = 10.0
#: Within this an accepted document is in force on all that can be reached, in seconds.
IN_FORCE = 5.0
#: Every simulated process's IP number; ports tell them apart.
IP = "10.0.0.1"


@dataclass(frozen=True, slots=True)
class Topology:
    """How many of what stand in each availability zone."""

    #: The availability zones.
    zones: tuple[str, ...]
    #: Entry hosts in each zone.
    entry: int = 1
    #: Control hosts in each zone.
    control: int = 1
    #: Targets of each pool in each zone.
    targets: int = 1
    #: Groups that share the claims.
    groups: int = 1


@dataclass(slots=True)
class Submission:
    """One change that an operator submits."""

    #: The document.
    document: ServiceDocument
    #: Who submits it.
    author: str
    #: What came of it; None while nothing has.
    result: CommandResult | None = None


class World:
    """Control hosts, entry hosts, targets, callers and operators of one seed."""

    def __init__(
        self,
        topology: Topology,
        documents: Sequence[ServiceDocument],
        seed: int,
    ) -> None:
        self.agenda = Agenda()
        self.rng = Random(seed)
        self.network = Network(self.agenda, self.rng)
        self.ledger = Ledger()
        #: The documents that submissions start from, by service.
        self.documents = {each.service: each for each in documents}
        #: Every caller so far.
        self.callers: list[Caller] = []
        #: Every submission so far.
        self.submissions: list[Submission] = []
        self._port = 0
        self._accepted: dict[str, Accepted] = {}
        self._winners: dict[tuple[str, int], str] = {}
        self._operators = 0
        self.control = self._make_control(topology)
        self.entry = self._make_entry(topology)
        self.targets = self._make_targets(topology)
        for process in self.processes.values():
            process.start()

    @property
    def processes(self) -> dict[str, Process]:
        """Every process by name, callers apart."""
        each: Iterable[Process] = (*self.control, *self.entry, *self.targets)
        return {process.name: process for process in each}

    def find(self, name: str) -> Sequence[Process]:
        """Find processes by name, by availability zone, or the leader.

        :param name: a process, a zone, or ``leader``.
        :returns: what the name stands for; empty when nothing does.
        """
        if name == LEADER:
            return [each for each in self.control if each.leads()][:1]
        processes = self.processes
        if name in processes:
            return [processes[name]]
        return [each for each in processes.values() if each.zone == name]

    def run(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: virtual seconds.
        """
        self.agenda.run(self.agenda.now + seconds)

    def submit(self, document: ServiceDocument, author: str = "ana") -> Submission:
        """Submit a document, as one operator does.

        :param document: the document.
        :param author: who submits it.
        :returns: the submission; its result comes later.
        """
        submission = Submission(document, author)
        self.submissions.append(submission)
        self._operators += 1
        operator = Process(f"operator-{self._operators}", "", self.agenda, self.rng)
        operator.start()
        text = encode_json(document).decode()
        change = f"{author}-{document.service}-{document.version}"
        command = SubmitDocument(change, author, text)

        def done(result: CommandResult) -> None:
            submission.result = result
            if isinstance(result, Accepted):
                self._note_accepted(result, change)

        asker = ControlAsker(operator, self.control, self.network)
        asker.ask(command, SUBMIT, done)
        return submission

    def ask(self, wish: Wish, zone: str) -> None:
        """Have a caller ask for something.

        :param wish: what it wants.
        :param zone: where it stands.
        """
        self.callers.append(
            Caller(
                wish,
                zone,
                self.entry,
                self.agenda,
                self.network,
                self.ledger,
                self.rng,
            )
        )

    def count_endings(self) -> Counter[Ending]:
        """Count how it ended for the callers."""
        return Counter(caller.ending for caller in self.callers)

    def check_in_force(self) -> None:
        """Enter a breach for each live entry host that lacks an accepted change."""
        for host in self.entry:
            if not host.alive or host.frozen or host.draining:
                continue
            for service, accepted in self._accepted.items():
                document = host.directory.find_document(service)
                version = document.version if document else 0
                if version < accepted.version:
                    detail = (
                        f"{host.name} has {service} version {version}, "
                        f"accepted is {accepted.version}"
                    )
                    self.ledger.breach("never-reverts", detail)

    def check_lost(self) -> None:
        """Enter a breach for each caller that nobody has answered."""
        for caller in self.callers:
            if caller.ending is Ending.OPEN:
                self.ledger.breach("answered-once", f"{caller.name} has no answer")

    def _note_accepted(self, accepted: Accepted, change: str) -> None:
        known = self._accepted.get(accepted.service)
        if known is None or known.version < accepted.version:
            self._accepted[accepted.service] = accepted
        key = (accepted.service, accepted.version)
        if self._winners.setdefault(key, change) != change:
            detail = f"{accepted.service} version {accepted.version} accepted twice"
            self.ledger.breach("never-reverts", detail)

    def _next_address(self) -> Address:
        self._port += 1
        return Address(IP, self._port)

    def _make_control(self, topology: Topology) -> tuple[ControlProcess, ...]:
        members = tuple(
            ControlMember(
                HostName(f"control-{zone}-{number}"),
                ZoneName(zone),
                self._next_address(),
            )
            for zone in topology.zones
            for number in range(1, topology.control + 1)
        )
        return tuple(
            ControlProcess(
                member,
                members,
                topology.groups,
                self.agenda,
                self.network,
                self.ledger,
                self.rng,
            )
            for member in members
        )

    def _make_entry(self, topology: Topology) -> tuple[EntryProcess, ...]:
        hosts = tuple(
            EntryProcess(
                HostName(f"entry-{zone}-{number}"),
                ZoneName(zone),
                self._next_address(),
                self.agenda,
                self.network,
                self.ledger,
                self.rng,
            )
            for zone in topology.zones
            for number in range(1, topology.entry + 1)
        )
        for host in hosts:
            host.neighbours = tuple(each for each in hosts if each is not host)
            host.control_hosts = self.control
        return hosts

    def _make_targets(self, topology: Topology) -> tuple[TargetProcess, ...]:
        effects = frozenset(
            stage.name
            for document in self.documents.values()
            for pipeline in document.pipelines
            for stage in pipeline.stages
            if not stage.idempotent
        )
        return tuple(
            self._make_target(document, pool.name, zone, number, effects)
            for document in self.documents.values()
            for pool in document.pools
            for zone in topology.zones
            for number in range(1, topology.targets + 1)
        )

    def _make_target(
        self,
        document: ServiceDocument,
        pool: str,
        zone: str,
        number: int,
        effects: frozenset[str],
    ) -> TargetProcess:
        place = TargetPlace(
            TargetName(f"{document.service}-{pool}-{zone}-{number}"),
            ZoneName(zone),
            self._next_address(),
            PoolName(ServiceName(document.service), pool),
            _list_models(document, pool),
        )
        target = TargetProcess(
            place, effects, self.agenda, self.network, self.ledger, self.rng
        )
        target.entry_hosts = self.entry
        return target


def _list_models(document: ServiceDocument, name: str) -> tuple[LoadedModel, ...]:
    pool = document.find_pool(name)
    if pool is None:
        return ()
    return tuple(
        LoadedModel(model.name, model.version, model.adapters) for model in pool.models
    )

"""A simulated deployment with its callers and operators, in virtual time."""

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
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._caller import Caller, CallerOutcome, RequestSpec
from bramleyspread_proof._control_client import ControlClient
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._entry_process import EntryProcess
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process
from bramleyspread_proof._target_process import TargetProcess, TargetSpec

#: The name that stands for the current leader among the control hosts, if any.
LEADER = "leader"
#: Timeout of a submission by an operator, in seconds.
SUBMIT_TIMEOUT_S = 10.0
#: Time in which an accepted document is in force on all reachable hosts, in seconds.
IN_FORCE_TIMEOUT_S = 5.0
#: IP address of all simulated processes, which differ in their ports.
IP_ADDRESS = "10.0.0.1"


@dataclass(frozen=True, slots=True)
class Topology:
    """The zones of a deployment, and the numbers of processes in them."""

    #: Names of the availability zones.
    zones: tuple[str, ...]
    #: Entry hosts in each zone.
    entry: int = 1
    #: Control hosts in each zone.
    control: int = 1
    #: Targets of each pool in each zone.
    targets: int = 1
    #: Number of consensus groups among which the claims are split.
    groups: int = 1


@dataclass(slots=True)
class Submission:
    """A document submitted by an operator."""

    #: The document.
    document: ServiceDocument
    #: The operator.
    author: str
    #: The result; None while the submission is pending.
    result: CommandResult | None = None


class Simulation:
    """All simulated processes of a deployment, deterministic for a seed."""

    def __init__(
        self,
        topology: Topology,
        documents: Sequence[ServiceDocument],
        seed: int,
    ) -> None:
        self.scheduler = Scheduler()
        self.rng = Random(seed)
        self.network = Network(self.scheduler, self.rng)
        self.ledger = Ledger()
        #: The latest submitted document of each service.
        self.documents = {each.service: each for each in documents}
        #: All callers created so far.
        self.callers: list[Caller] = []
        #: All submissions made so far.
        self.submissions: list[Submission] = []
        self._last_port = 0
        self._accepted: dict[str, Accepted] = {}
        self._accepted_changes: dict[tuple[str, int], str] = {}
        self._operator_count = 0
        self.control = self._make_control(topology)
        self.entry = self._make_entry(topology)
        self.targets = self._make_targets(topology)
        for process in self.processes.values():
            process.start()

    @property
    def processes(self) -> dict[str, Process]:
        """All processes by name, except callers and operators."""
        each: Iterable[Process] = (*self.control, *self.entry, *self.targets)
        return {process.name: process for process in each}

    def find_processes(self, name: str) -> Sequence[Process]:
        """Find processes by name or availability zone, or find the leader.

        :param name: the name of a process or zone, or ``leader``.
        :returns: the matching processes; empty if there are none.
        """
        if name == LEADER:
            return [each for each in self.control if each.is_leader()][:1]
        processes = self.processes
        if name in processes:
            return [processes[name]]
        return [each for each in processes.values() if each.zone == name]

    def advance(self, seconds: float) -> None:
        """Run the simulation for some time.

        :param seconds: virtual seconds.
        """
        self.scheduler.run_until(self.scheduler.now + seconds)

    def submit(self, document: ServiceDocument, author: str = "ana") -> Submission:
        """Submit a document as an operator.

        :param document: the document.
        :param author: the operator.
        :returns: the submission; its result is set when it arrives.
        """
        submission = Submission(document, author)
        self.submissions.append(submission)
        self._operator_count += 1
        operator = Process(
            f"operator-{self._operator_count}", "", self.scheduler, self.rng
        )
        operator.start()
        text = encode_json(document).decode()
        change = f"{author}-{document.service}-{document.version}"
        command = SubmitDocument(change, author, text)

        def handle_result(result: CommandResult) -> None:
            submission.result = result
            if isinstance(result, Accepted):
                self._record_accepted(result, change)

        client = ControlClient(operator, self.control, self.network)
        client.send_command(command, SUBMIT_TIMEOUT_S, handle_result)
        return submission

    def add_caller(self, spec: RequestSpec, zone: str) -> None:
        """Start a caller.

        :param spec: the request to send.
        :param zone: availability zone of the caller.
        """
        self.callers.append(
            Caller(
                spec,
                zone,
                self.entry,
                self.scheduler,
                self.network,
                self.ledger,
                self.rng,
            )
        )

    def count_outcomes(self) -> Counter[CallerOutcome]:
        """Count the callers by outcome."""
        return Counter(caller.outcome for caller in self.callers)

    def check_in_force(self) -> None:
        """Record a breach for each live entry host that lacks an accepted document."""
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
                    self.ledger.record_breach("never-reverts", detail)

    def check_unanswered(self) -> None:
        """Record a breach for each caller whose request is still open."""
        for caller in self.callers:
            if caller.outcome is CallerOutcome.OPEN:
                self.ledger.record_breach(
                    "answered-once", f"{caller.name} has no answer"
                )

    def _record_accepted(self, accepted: Accepted, change: str) -> None:
        known = self._accepted.get(accepted.service)
        if known is None or known.version < accepted.version:
            self._accepted[accepted.service] = accepted
        key = (accepted.service, accepted.version)
        if self._accepted_changes.setdefault(key, change) != change:
            detail = f"{accepted.service} version {accepted.version} accepted twice"
            self.ledger.record_breach("never-reverts", detail)

    def _next_address(self) -> Address:
        self._last_port += 1
        return Address(IP_ADDRESS, self._last_port)

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
                self.scheduler,
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
                self.scheduler,
                self.network,
                self.ledger,
                self.rng,
            )
            for zone in topology.zones
            for number in range(1, topology.entry + 1)
        )
        for host in hosts:
            host.seed_hosts = tuple(each for each in hosts if each is not host)
            host.control_hosts = self.control
        return hosts

    def _make_targets(self, topology: Topology) -> tuple[TargetProcess, ...]:
        side_effect_stages = frozenset(
            stage.name
            for document in self.documents.values()
            for pipeline in document.pipelines
            for stage in pipeline.stages
            if not stage.idempotent
        )
        return tuple(
            self._make_target(document, pool.name, zone, number, side_effect_stages)
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
        side_effect_stages: frozenset[str],
    ) -> TargetProcess:
        spec = TargetSpec(
            TargetName(f"{document.service}-{pool}-{zone}-{number}"),
            ZoneName(zone),
            self._next_address(),
            PoolName(ServiceName(document.service), pool),
            _list_models(document, pool),
        )
        target = TargetProcess(
            spec,
            side_effect_stages,
            self.scheduler,
            self.network,
            self.ledger,
            self.rng,
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

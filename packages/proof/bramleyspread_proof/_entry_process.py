"""An entry host in virtual time: directory, decisions, and a fake of the shell."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    Answer,
    AnswerRefused,
    AskClaim,
    AskSettle,
    AttemptId,
    CallerRequest,
    CancelAttempt,
    ContractWatch,
    Dispatch,
    Done,
    DropConnections,
    Effect,
    Fault,
    Happening,
    HostName,
    NotRun,
    Outcome,
    PeerMessage,
    PeerSend,
    Reason,
    Report,
    RequestId,
    SendAnswer,
    Unknown,
    ZoneName,
)
from bramleyspread_entry import EntryConfig, EntryDecisions, IdSource
from bramleyspread_membership import (
    DirectoryConfig,
    EntryDirectory,
    Neighbour,
)
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._connections import Connection, Connections
from bramleyspread_proof._control_asker import ControlAsker
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._document_follower import DocumentFollower
from bramleyspread_proof._entry_host import EntryHost
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._target_process import TargetProcess

#: Between two ticks of the directory, in seconds.
DIRECTORY_TICK = 0.1
#: Time after which a connection that nobody accepts is given up, in seconds.
CONNECT = 0.3
#: When a caller is to come back that came before the host was ready, in milliseconds.
NOT_READY_MS = 500
#: Most time for one round of tries of a settlement, in seconds.
SETTLE = 5.0
#: How long a target may still get work after it said that it leaves, in seconds.
LEAVING_BOUND = 3.0


@dataclass(frozen=True, slots=True)
class _Flight:
    """An attempt on its way."""

    #: What was asked for.
    dispatch: Dispatch
    #: The connection that carries it; None while one is being opened.
    connection: Connection | None


#: Called with a request's answer, or with None when the connection broke.
AnswerTaker = Callable[[Answer | None], None]


class EntryProcess(EntryHost):
    """An entry host, its connections, and the callers that wait for it."""

    def __init__(
        self,
        host: HostName,
        zone: ZoneName,
        address: Address,
        agenda: Agenda,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(host, zone, agenda, rng)
        #: Where it listens.
        self.address = address
        #: The other entry hosts.
        self.neighbours: Sequence[EntryProcess] = ()
        #: The control hosts.
        self.control_hosts: Sequence[ControlProcess] = ()
        #: Whether it was told to stop.
        self.draining = False
        self._network = network
        self._ledger = ledger
        self._waiting: dict[RequestId, AnswerTaker] = {}
        self._open: dict[AttemptId, _Flight] = {}
        self._connections = Connections()
        self._ending: Connection | None = None
        self._best: dict[str, int] = {}
        self._due = float("inf")
        network.register(address, self)

    def start(self) -> None:
        """Start it with nothing but its settings."""
        super().start()
        self.draining = False
        self._waiting.clear()
        self._open.clear()
        self._connections.clear()
        self._due = float("inf")
        host, zone = HostName(self.name), ZoneName(self.zone)
        watch = ContractWatch(
            on_breach=lambda b: self._ledger.breach(b.contract, str(b))
        )
        neighbours = tuple(
            Neighbour(HostName(each.name), ZoneName(each.zone), each.address)
            for each in self.neighbours
        )
        config = DirectoryConfig(host, zone, self.address, self.life, neighbours)
        rng = Random(self.rng.getrandbits(64))
        self.directory = EntryDirectory.from_config(config, rng, self.now, watch)
        self.decisions = EntryDecisions.from_config(
            EntryConfig(host=host, zone=zone, incarnation=self.life),
            self.directory,
            watch,
            rng,
        )
        self._ids = IdSource(host, self.life)
        self._asker = ControlAsker(self, self.control_hosts, self._network)
        self._follower = DocumentFollower(
            self, self.directory, self.control_hosts, self._network, self._note
        )
        self.every(DIRECTORY_TICK, lambda: self._gossip(self.directory.tick(self.now)))
        self._follower.start()

    def kill(self) -> None:
        """End it; callers see their connections closed."""
        waiting, self._waiting = self._waiting, {}
        super().kill()
        for taker in waiting.values():
            taker(None)

    def drain(self) -> None:
        """Stop as planned: finish what is in flight, then end."""
        if self.draining:
            return
        self.draining = True
        self._do(self.decisions.begin_drain(self.now))
        self.every(DIRECTORY_TICK, self._end_drain)

    def _end_drain(self) -> None:
        if self.decisions.in_flight:
            return
        if self._waiting:
            self._ledger.breach("stop-cuts-nothing", f"{self.name} left callers")
        self.kill()

    @property
    def ready(self) -> bool:
        """Whether the balancer would send callers here."""
        if not self.alive or self.draining or not self.directory.list_documents():
            return False
        return self._follower.is_caught_up()

    def silence(self, share: float) -> None:
        """Make connections forget themselves without a word.

        :param share: share of them, idle and in use.
        """
        used = [each.connection for each in self._open.values()]
        self._connections.silence(share, used, self.rng)

    def hear(self, announcement: Announcement) -> None:
        """Take a target's announcement."""
        self._gossip(self.directory.hear(announcement, self.now))

    def take_request(self, request: CallerRequest, taker: AnswerTaker) -> None:
        """Take a caller's request.

        :param request: the request; its id is replaced by one of this host.
        :param taker: called at most once.
        """
        if not self.ready:
            fault = Fault(Reason.DRAINING, "arrival", self.name, "not ready")
            taker(AnswerRefused(fault, NOT_READY_MS))
            return
        reverted = self._follower.find_reverted(self._best)
        for detail in reverted:
            self._ledger.breach("never-reverts", detail)
        name = self._ids.next_request()
        self._waiting[name] = taker
        own = CallerRequest(
            name,
            request.service,
            request.pipeline,
            request.brand,
            request.input,
            request.deadline_ms,
            request.priority,
            request.key,
        )
        self._do(self.decisions.arrive(own, self.now))

    def _gossip(self, sends: Sequence[PeerSend]) -> None:
        for send in sends:
            peer = self._network.find(send.address)
            assert isinstance(peer, EntryProcess)
            self._network.send(self, peer, _bind(peer, send.message))

    def _take_message(self, message: PeerMessage) -> None:
        self._gossip(self.directory.receive(message, self.now))

    def _do(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Dispatch):
                self._dispatch(effect)
            elif isinstance(effect, SendAnswer):
                self._send_answer(effect)
            elif isinstance(effect, CancelAttempt):
                self._cancel(effect)
            elif isinstance(effect, DropConnections):
                self._drop_connections(effect)
            elif isinstance(effect, AskClaim):
                self._ask_claim(effect)
            elif isinstance(effect, AskSettle):
                self._ask_settle(effect)
            elif isinstance(effect, Report):
                self._note(effect.happening)
        self._plan_tick()

    def _note(self, happening: Happening) -> None:
        self._ledger.note(self._agenda.now, self.name, happening)

    def _plan_tick(self) -> None:
        due = self.decisions.next_due()
        if due is not None and due < self._due:
            self._due = due
            self.later(max(0.0, due - self.now), self._tick)

    def _tick(self) -> None:
        if self.now >= self._due:
            self._due = float("inf")
            self._do(self.decisions.tick(self.now))

    def _send_answer(self, effect: SendAnswer) -> None:
        refused = isinstance(effect.answer, AnswerRefused)
        self._ledger.enter_answer(effect.request, refused)
        taker = self._waiting.pop(effect.request, None)
        if taker is not None:
            taker(effect.answer)

    def _ask_claim(self, effect: AskClaim) -> None:
        self._asker.ask(
            effect.claim,
            effect.timeout,
            lambda result: self._do(
                self.decisions.claim_answered(effect.request, result, self.now)
            ),
        )

    def _ask_settle(self, effect: AskSettle) -> None:
        self._asker.ask(
            effect.settle,
            SETTLE,
            lambda result: self._do(
                self.decisions.settle_answered(effect.request, result, self.now)
            ),
        )

    def _drop_connections(self, effect: DropConnections) -> None:
        name = self._network.find(effect.address).name
        if self._ending is not None:
            self._connections.drop_old(name, self._ending.opened_at)

    def _dispatch(self, dispatch: Dispatch) -> None:
        target = self._network.find(dispatch.address)
        assert isinstance(target, TargetProcess)
        self._check_leaving(dispatch, target)
        attempt = dispatch.call.attempt
        pooled = None
        if not dispatch.fresh_connection:
            pooled = self._connections.take(target.name)
        connection = pooled or self._connect(dispatch, target)
        self._open[attempt] = _Flight(dispatch, connection)
        if connection is None:
            return
        if connection.life != target.life or not target.alive:
            fault = Fault(Reason.CLOSED, dispatch.call.stage, target.name)
            self.later(CONNECT, lambda: self._end(attempt, Unknown(fault)))
            return
        self._arm(dispatch)
        if not connection.silent:
            self._submit(dispatch, target, connection)

    def _submit(
        self, dispatch: Dispatch, target: TargetProcess, connection: Connection
    ) -> None:
        def reply(outcome: Outcome) -> None:
            if not connection.silent:
                self._end(dispatch.call.attempt, outcome)

        self._network.send(
            self, target, lambda: target.take(dispatch.call, self, reply)
        )

    def _check_leaving(self, dispatch: Dispatch, target: TargetProcess) -> None:
        left = target.left_at
        same = target.life == dispatch.incarnation
        if same and left is not None and self._agenda.now > left + LEAVING_BOUND:
            late = self._agenda.now - left
            detail = f"{self.name} sent to {target.name} {late:.3f} s after it left"
            self._ledger.breach("leaving-left-alone", detail)

    def _connect(self, dispatch: Dispatch, target: TargetProcess) -> Connection | None:
        if self._network.can_connect(self, target) and target.alive:
            return Connection(target.life, self.now)
        attempt = dispatch.call.attempt
        fault = Fault(Reason.CONNECT, dispatch.call.stage, target.name)
        wait = CONNECT
        if not target.alive:
            wait = 2 * self._network.draw_delay(self, target)
        self.later(wait, lambda: self._end(attempt, NotRun(fault)))
        return None

    def _arm(self, dispatch: Dispatch) -> None:
        attempt = dispatch.call.attempt
        silent = dispatch.progress_timeout <= dispatch.timeout
        reason = Reason.SILENT if silent else Reason.DEADLINE
        fault = Fault(reason, dispatch.call.stage, dispatch.target)
        wait = min(dispatch.timeout, dispatch.progress_timeout)
        self.later(wait, lambda: self._end(attempt, Unknown(fault)))

    def _end(self, attempt: AttemptId, outcome: Outcome) -> None:
        flight = self._open.pop(attempt, None)
        if flight is None:
            return
        self._ending = flight.connection
        if flight.connection is not None and _ended_whole(outcome):
            self._connections.give_back(flight.dispatch.target, flight.connection)
        self._do(self.decisions.attempt_ended(attempt, outcome, self.now))
        self._ending = None

    def _cancel(self, effect: CancelAttempt) -> None:
        self._open.pop(effect.attempt, None)
        target = self._network.find(effect.address)
        assert isinstance(target, TargetProcess)
        self._network.send(self, target, lambda: target.cancel(effect.attempt))


def _ended_whole(outcome: Outcome) -> bool:
    if isinstance(outcome, Done):
        return True
    return isinstance(outcome, NotRun) and outcome.fault.reason is Reason.REFUSED


def _bind(peer: EntryProcess, message: PeerMessage) -> Callable[[], None]:
    return lambda: peer._take_message(message)

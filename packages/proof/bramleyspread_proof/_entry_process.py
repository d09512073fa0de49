"""A simulated entry host: real directory and decisions, simulated input and output."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    Answer,
    AnswerRefused,
    AttemptId,
    CallerRequest,
    CancelAttempt,
    ContractWatch,
    Dispatch,
    Done,
    DropConnections,
    Effect,
    Fault,
    HostName,
    NotRun,
    Outcome,
    PeerMessage,
    PeerSend,
    Reason,
    RecordEvent,
    RequestId,
    SendAnswer,
    SendClaim,
    SendSettlement,
    Unknown,
    UnstampedEvent,
    ZoneName,
)
from bramleyspread_entry import EntryConfig, EntryDecisions, IdSource
from bramleyspread_membership import (
    DirectoryConfig,
    EntryDirectory,
    SeedHost,
)
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._connections import Connection, ConnectionPool
from bramleyspread_proof._control_client import ControlClient
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._document_poller import DocumentPoller
from bramleyspread_proof._entry_host import EntryHost
from bramleyspread_proof._ledger import Ledger
from bramleyspread_proof._network import Network
from bramleyspread_proof._target_process import TargetProcess

#: Interval between two ticks of the directory, in seconds.
DIRECTORY_TICK_S = 0.1
#: Timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 0.3
#: Retry delay sent to callers while the host is not ready, in milliseconds.
NOT_READY_RETRY_MS = 500
#: Timeout of one round of attempts to settle a claim, in seconds.
SETTLE_TIMEOUT_S = 5.0
#: Time in which a target may still get calls after it announced that it leaves, in
#: seconds.
LEAVE_GRACE_S = 3.0


@dataclass(frozen=True, slots=True)
class _AttemptInFlight:
    """An attempt in flight."""

    #: The dispatch that started it.
    dispatch: Dispatch
    #: The connection in use; None if it could not be opened.
    connection: Connection | None


#: Called with the answer to a request, or with None if the connection was closed.
AnswerCallback = Callable[[Answer | None], None]


class EntryProcess(EntryHost):
    """An entry host with its target connections and the callers waiting for answers."""

    def __init__(
        self,
        host: HostName,
        zone: ZoneName,
        address: Address,
        scheduler: Scheduler,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(host, zone, scheduler, rng)
        #: Address at which it listens.
        self.address = address
        #: The other entry hosts.
        self.seed_hosts: Sequence[EntryProcess] = ()
        #: The control hosts.
        self.control_hosts: Sequence[ControlProcess] = ()
        #: Whether a planned stop has begun.
        self.draining = False
        self._network = network
        self._ledger = ledger
        self._callbacks: dict[RequestId, AnswerCallback] = {}
        self._in_flight: dict[AttemptId, _AttemptInFlight] = {}
        self._connections = ConnectionPool()
        self._ending_connection: Connection | None = None
        self._newest_versions: dict[str, int] = {}
        self._next_tick_at = float("inf")
        network.register(address, self)

    def start(self) -> None:
        """Start the host with an empty state."""
        super().start()
        self.draining = False
        self._callbacks.clear()
        self._in_flight.clear()
        self._connections.clear()
        self._next_tick_at = float("inf")
        host, zone = HostName(self.name), ZoneName(self.zone)
        watch = ContractWatch(
            on_breach=lambda b: self._ledger.record_breach(b.contract, str(b))
        )
        seed_hosts = tuple(
            SeedHost(HostName(each.name), ZoneName(each.zone), each.address)
            for each in self.seed_hosts
        )
        config = DirectoryConfig(host, zone, self.address, self.incarnation, seed_hosts)
        rng = Random(self.rng.getrandbits(64))
        self.directory = EntryDirectory.from_config(config, rng, self.now, watch)
        self.decisions = EntryDecisions.from_config(
            EntryConfig(host=host, zone=zone, incarnation=self.incarnation),
            self.directory,
            watch,
            rng,
        )
        self._ids = IdSource(host, self.incarnation)
        self._control_client = ControlClient(self, self.control_hosts, self._network)
        self._document_poller = DocumentPoller(
            self, self.directory, self.control_hosts, self._network, self._record_event
        )
        self.call_every(
            DIRECTORY_TICK_S, lambda: self._send_messages(self.directory.tick(self.now))
        )
        self._document_poller.start()

    def kill(self) -> None:
        """End the process and close the connections of its callers."""
        callbacks, self._callbacks = self._callbacks, {}
        super().kill()
        for on_answer in callbacks.values():
            on_answer(None)

    def drain(self) -> None:
        """Begin a planned stop: finish the requests in flight, then end the process."""
        if self.draining:
            return
        self.draining = True
        self._apply(self.decisions.begin_drain(self.now))
        self.call_every(DIRECTORY_TICK_S, self._stop_when_idle)

    def _stop_when_idle(self) -> None:
        if self.decisions.in_flight:
            return
        if self._callbacks:
            self._ledger.record_breach(
                "stop-cuts-nothing", f"{self.name} stopped with open requests"
            )
        self.kill()

    @property
    def ready(self) -> bool:
        """Whether the load balancer would route callers to this host."""
        if not self.alive or self.draining or not self.directory.list_documents():
            return False
        return self._document_poller.is_caught_up()

    def silence(self, share: float) -> None:
        """Make a random share of the connections silent.

        :param share: share of the idle and used connections, from 0 to 1.
        """
        used = [each.connection for each in self._in_flight.values()]
        self._connections.silence(share, used, self.rng)

    def handle_announcement(self, announcement: Announcement) -> None:
        """Apply a target's announcement to the directory, and notify other hosts."""
        self._send_messages(self.directory.handle_announcement(announcement, self.now))

    def handle_request(self, request: CallerRequest, on_answer: AnswerCallback) -> None:
        """Handle a request from a caller.

        :param request: the request; its id is replaced by one that this host assigns.
        :param on_answer: called at most once.
        """
        if not self.ready:
            fault = Fault(Reason.DRAINING, "arrival", self.name, "not ready")
            on_answer(AnswerRefused(fault, NOT_READY_RETRY_MS))
            return
        reverted = self._document_poller.find_reverted(self._newest_versions)
        for detail in reverted:
            self._ledger.record_breach("never-reverts", detail)
        request_id = self._ids.next_request()
        self._callbacks[request_id] = on_answer
        own_request = CallerRequest(
            request_id,
            request.service,
            request.pipeline,
            request.brand,
            request.input,
            request.deadline_ms,
            request.priority,
            request.key,
        )
        self._apply(self.decisions.handle_request(own_request, self.now))

    def _send_messages(self, sends: Sequence[PeerSend]) -> None:
        for send in sends:
            peer = self._network.find_process(send.address)
            assert isinstance(peer, EntryProcess)
            self._network.send(self, peer, _make_delivery(peer, send.message))

    def _handle_message(self, message: PeerMessage) -> None:
        self._send_messages(self.directory.handle_message(message, self.now))

    def _apply(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Dispatch):
                self._dispatch(effect)
            elif isinstance(effect, SendAnswer):
                self._send_answer(effect)
            elif isinstance(effect, CancelAttempt):
                self._cancel(effect)
            elif isinstance(effect, DropConnections):
                self._drop_connections(effect)
            elif isinstance(effect, SendClaim):
                self._ask_claim(effect)
            elif isinstance(effect, SendSettlement):
                self._ask_settle(effect)
            elif isinstance(effect, RecordEvent):
                self._record_event(effect.event)
        self._schedule_tick()

    def _record_event(self, event: UnstampedEvent) -> None:
        self._ledger.record_event(self._scheduler.now, self.name, event)

    def _schedule_tick(self) -> None:
        due = self.decisions.next_due()
        if due is not None and due < self._next_tick_at:
            self._next_tick_at = due
            self.call_later(max(0.0, due - self.now), self._tick)

    def _tick(self) -> None:
        if self.now >= self._next_tick_at:
            self._next_tick_at = float("inf")
            self._apply(self.decisions.tick(self.now))

    def _send_answer(self, effect: SendAnswer) -> None:
        refused = isinstance(effect.answer, AnswerRefused)
        self._ledger.record_answer(effect.request, refused)
        on_answer = self._callbacks.pop(effect.request, None)
        if on_answer is not None:
            on_answer(effect.answer)

    def _ask_claim(self, effect: SendClaim) -> None:
        self._control_client.send_command(
            effect.claim,
            effect.timeout_s,
            lambda result: self._apply(
                self.decisions.handle_claim_result(effect.request, result, self.now)
            ),
        )

    def _ask_settle(self, effect: SendSettlement) -> None:
        self._control_client.send_command(
            effect.settlement,
            SETTLE_TIMEOUT_S,
            lambda result: self._apply(
                self.decisions.handle_settlement_result(
                    effect.request, result, self.now
                )
            ),
        )

    def _drop_connections(self, effect: DropConnections) -> None:
        name = self._network.find_process(effect.address).name
        if self._ending_connection is not None:
            self._connections.drop_opened_until(name, self._ending_connection.opened_at)

    def _dispatch(self, dispatch: Dispatch) -> None:
        target = self._network.find_process(dispatch.address)
        assert isinstance(target, TargetProcess)
        self._check_leaving(dispatch, target)
        attempt = dispatch.call.attempt
        pooled = None
        if not dispatch.fresh_connection:
            pooled = self._connections.acquire(target.name)
        connection = pooled or self._connect(dispatch, target)
        self._in_flight[attempt] = _AttemptInFlight(dispatch, connection)
        if connection is None:
            return
        if connection.incarnation != target.incarnation or not target.alive:
            fault = Fault(Reason.CLOSED, dispatch.call.stage, target.name)
            self.call_later(
                CONNECT_TIMEOUT_S, lambda: self._end_attempt(attempt, Unknown(fault))
            )
            return
        self._start_timeout(dispatch)
        if not connection.silent:
            self._submit(dispatch, target, connection)

    def _submit(
        self, dispatch: Dispatch, target: TargetProcess, connection: Connection
    ) -> None:
        def reply(outcome: Outcome) -> None:
            if not connection.silent:
                self._end_attempt(dispatch.call.attempt, outcome)

        self._network.send(
            self, target, lambda: target.handle_call(dispatch.call, self, reply)
        )

    def _check_leaving(self, dispatch: Dispatch, target: TargetProcess) -> None:
        left = target.left_at
        same = target.incarnation == dispatch.incarnation
        if same and left is not None and self._scheduler.now > left + LEAVE_GRACE_S:
            seconds = self._scheduler.now - left
            detail = f"{self.name} sent to {target.name} {seconds:.3f} s after it left"
            self._ledger.record_breach("leaving-left-alone", detail)

    def _connect(self, dispatch: Dispatch, target: TargetProcess) -> Connection | None:
        if self._network.can_connect(self, target) and target.alive:
            return Connection(target.incarnation, self.now)
        attempt = dispatch.call.attempt
        fault = Fault(Reason.CONNECT, dispatch.call.stage, target.name)
        wait = CONNECT_TIMEOUT_S
        if not target.alive:
            wait = 2 * self._network.draw_delay(self, target)
        self.call_later(wait, lambda: self._end_attempt(attempt, NotRun(fault)))
        return None

    def _start_timeout(self, dispatch: Dispatch) -> None:
        attempt = dispatch.call.attempt
        silent = dispatch.progress_timeout_s <= dispatch.timeout_s
        reason = Reason.SILENT if silent else Reason.DEADLINE
        fault = Fault(reason, dispatch.call.stage, dispatch.target)
        wait = min(dispatch.timeout_s, dispatch.progress_timeout_s)
        self.call_later(wait, lambda: self._end_attempt(attempt, Unknown(fault)))

    def _end_attempt(self, attempt: AttemptId, outcome: Outcome) -> None:
        in_flight = self._in_flight.pop(attempt, None)
        if in_flight is None:
            return
        self._ending_connection = in_flight.connection
        if in_flight.connection is not None and _is_reusable_after(outcome):
            self._connections.release(in_flight.dispatch.target, in_flight.connection)
        self._apply(self.decisions.handle_attempt_end(attempt, outcome, self.now))
        self._ending_connection = None

    def _cancel(self, effect: CancelAttempt) -> None:
        self._in_flight.pop(effect.attempt, None)
        target = self._network.find_process(effect.address)
        assert isinstance(target, TargetProcess)
        self._network.send(self, target, lambda: target.cancel(effect.attempt))


def _is_reusable_after(outcome: Outcome) -> bool:
    if isinstance(outcome, Done):
        return True
    return isinstance(outcome, NotRun) and outcome.fault.reason is Reason.REFUSED


def _make_delivery(peer: EntryProcess, message: PeerMessage) -> Callable[[], None]:
    return lambda: peer._handle_message(message)

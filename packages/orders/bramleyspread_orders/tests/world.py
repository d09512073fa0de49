"""Simulated targets, log and network for tests of orders, in virtual time."""

from __future__ import annotations

import random

from msgspec.structs import replace

from bramleyspread_core import (
    Address,
    Announcement,
    Fault,
    HostName,
    Intended,
    IntendOrders,
    LoadedModel,
    NotLeader,
    Order,
    OrderAnswer,
    PoolName,
    Reason,
    ServiceDocument,
    ServiceName,
    TargetName,
    TargetsReport,
    Undecided,
    ZoneName,
)
from bramleyspread_orders import OrderSend, Reconciler, ReconcilerConfig

POOL = PoolName(ServiceName("lm"), "engines")
STEP_S = 0.1


def make_document(
    models: str,
    version: int = 1,
    checks_fencing: bool = False,
    loads_at_once: int = 1,
    roles: str = "",
) -> ServiceDocument:
    text = (
        f"service: lm\nversion: {version}\nteam: t\npools:\n- name: engines\n"
        f"  kind: generation\n  checks_fencing: {str(checks_fencing).lower()}\n"
        f"  loads_at_once: {loads_at_once}\n  models: {models}\n  roles: [{roles}]\n"
    )
    return ServiceDocument.from_yaml(text.encode(), "lm.yaml")


class SimulatedTarget:
    """A simulated engine that loads the models of its newest order."""

    def __init__(self, name: str, checks_fencing: bool, load_time_s: float) -> None:
        self.checks_fencing = checks_fencing
        self.load_time_s = load_time_s
        self.obeyed_orders: list[Order] = []
        #: End of the load that is running, if one is.
        self.load_done_at: float | None = None
        self.last_order: Order | None = None
        self.announcement = Announcement(
            TargetName(name),
            1,
            1,
            POOL,
            Address("10.0.0.9", 9000),
            ZoneName("a"),
            checks_fencing=checks_fencing,
        )

    def restart(self) -> None:
        self.announcement = replace(
            self.announcement,
            incarnation=self.announcement.incarnation + 1,
            sequence=1,
            models=(),
        )
        self.load_done_at = self.last_order = None

    def handle_order(self, order: Order, now: float) -> OrderAnswer:
        if order.incarnation != self.announcement.incarnation:
            return OrderAnswer(False, self.announcement.fence, "another incarnation")
        if self.checks_fencing and order.fence < self.announcement.fence:
            return OrderAnswer(False, self.announcement.fence, "old fencing number")
        self.announcement = replace(
            self.announcement, fence=max(order.fence, self.announcement.fence)
        )
        if self.last_order is None or self.last_order.models != order.models:
            self.load_done_at = now + self.load_time_s
        self.last_order = order
        self.obeyed_orders.append(order)
        return OrderAnswer(True, self.announcement.fence)

    def tick(self, now: float) -> None:
        self.announcement = replace(
            self.announcement, sequence=self.announcement.sequence + 1
        )
        if (
            self.last_order
            and self.load_done_at is not None
            and now >= self.load_done_at
        ):
            role = self.last_order.role or self.announcement.role
            self.announcement = replace(
                self.announcement, models=self.last_order.models, role=role
            )
            self.load_done_at = None

    @property
    def is_loading(self) -> bool:
        return self.load_done_at is not None


class OrderSimulation:
    """Reconcilers of which at most one holds the lease, one log, and targets."""

    def __init__(
        self,
        document: ServiceDocument,
        target_count: int,
        checks_fencing: bool = False,
        load_time_s: float = 3.0,
        observation_period_s: float = 0.0,
        orderer_count: int = 1,
    ) -> None:
        config = ReconcilerConfig(observation_period_s=observation_period_s)
        self.documents = [document]
        self.orderers = [
            Reconciler.from_config(config, random.Random(n))
            for n in range(orderer_count)
        ]
        #: Index of the orderer that holds the lease; None if none does.
        self.lease_holder: int | None = 0
        #: Fencing number of the orderer that holds the lease.
        self.fence = 1
        self.now = 0.0
        self.rng = random.Random(7)
        self.targets = {
            f"t-{n}": SimulatedTarget(f"t-{n}", checks_fencing, load_time_s)
            for n in range(target_count)
        }
        #: Newest committed order of each target.
        self.newest_orders: dict[str, Order] = {}
        #: Fencing number and sequence number of each committed order.
        self.durable: set[tuple[int, int]] = set()
        #: Result of every commit: ``intended``, ``undecided`` or ``not-leader``.
        self.commit_result = "intended"
        #: Share of answers to orders that are lost.
        self.loss_rate = 0.0
        #: Upper bound of the random delay after which an order arrives, in seconds.
        self.max_delay_s = 0.0
        #: Time and order of each send.
        self.sent: list[tuple[float, Order]] = []
        #: Largest number of targets that were loading at the same time.
        self.peak_loading = 0
        #: Orders that have not arrived: time of arrival, index of the orderer, the
        #: order, and whether its answer is lost.
        self._in_flight: list[tuple[float, int, OrderSend, bool]] = []

    def list_intended_orders(self) -> list[Order]:
        return list(self.newest_orders.values())

    def run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def step(self) -> None:
        self.now += STEP_S
        targets = tuple(each.announcement for each in self.targets.values())
        for orderer in self.orderers:
            orderer.handle_report(TargetsReport(HostName("entry-1"), targets), self.now)
        for number, orderer in enumerate(self.orderers):
            fence = self.fence if number == self.lease_holder else None
            plan = orderer.plan(
                self.documents, self.list_intended_orders(), fence, self.now
            )
            for send in plan.sends:
                self.send(number, send)
            if plan.intent_command is not None:
                self.commit_orders(orderer, plan.intent_command)
        self.deliver()
        for target in self.targets.values():
            target.tick(self.now)
        loading = sum(target.is_loading for target in self.targets.values())
        self.peak_loading = max(self.peak_loading, loading)

    def commit_orders(self, orderer: Reconciler, intent_command: IntendOrders) -> None:
        if self.commit_result == "not-leader":
            orderer.handle_intent_result(intent_command, NotLeader(), self.now)
            return
        for order in intent_command.orders:
            self.newest_orders[order.target] = order
            self.durable.add((order.fence, order.number))
        undecided = self.commit_result == "undecided"
        result = Undecided("no answer") if undecided else Intended()
        orderer.handle_intent_result(intent_command, result, self.now)

    def send(self, number: int, send: OrderSend) -> None:
        assert (send.order.fence, send.order.number) in self.durable
        self.sent.append((self.now, send.order))
        arrives_at = self.now + self.rng.uniform(0, self.max_delay_s)
        lost = self.rng.random() < self.loss_rate
        self._in_flight.append((arrives_at, number, send, lost))

    def deliver(self) -> None:
        in_flight = []
        for arrives_at, number, send, lost in self._in_flight:
            if arrives_at > self.now:
                in_flight.append((arrives_at, number, send, lost))
                continue
            answer: OrderAnswer | Fault
            answer = self.targets[send.order.target].handle_order(send.order, self.now)
            if lost:
                answer = Fault(Reason.SILENT, "order", send.order.target)
            self.orderers[number].handle_order_outcome(send.order, answer, self.now)
        self._in_flight = in_flight

    def find_holders(self, model: str) -> set[str]:
        """Names of the targets that hold a model."""
        return {
            name
            for name, target in self.targets.items()
            if model in {each.name for each in target.announcement.models}
        }

    def has_converged(self) -> bool:
        """Whether every target holds version 1 of model ``m`` and nothing else."""
        expected = (LoadedModel("m", "1"),)
        return all(
            each.announcement.models == expected for each in self.targets.values()
        )

"""Targets, a log and a slow network for orders, in virtual time."""

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
STEP = 0.1


def make_document(
    models: str, version: int = 1, checks: bool = False, loads: int = 1, roles: str = ""
) -> ServiceDocument:
    text = (
        f"service: lm\nversion: {version}\nteam: t\npools:\n- name: engines\n"
        f"  kind: generation\n  checks_fencing: {str(checks).lower()}\n"
        f"  loads_at_once: {loads}\n  models: {models}\n  roles: [{roles}]\n"
    )
    return ServiceDocument.from_yaml(text.encode(), "lm.yaml")


class Target:
    """An engine that loads what it is ordered to, one order after the other."""

    def __init__(self, name: str, checks: bool, load_time: float) -> None:
        self.checks = checks
        self.load_time = load_time
        self.obeyed: list[Order] = []
        self.ready_at: float | None = None
        self.goal: Order | None = None
        self.now = Announcement(
            TargetName(name),
            1,
            1,
            POOL,
            Address("10.0.0.9", 9000),
            ZoneName("a"),
            checks_fencing=checks,
        )

    def restart(self) -> None:
        self.now = replace(
            self.now, incarnation=self.now.incarnation + 1, sequence=1, models=()
        )
        self.ready_at = self.goal = None

    def take(self, order: Order, now: float) -> OrderAnswer:
        if order.incarnation != self.now.incarnation:
            return OrderAnswer(False, self.now.fence, "another incarnation")
        if self.checks and order.fence < self.now.fence:
            return OrderAnswer(False, self.now.fence, "old fencing number")
        self.now = replace(self.now, fence=max(order.fence, self.now.fence))
        if self.goal is None or self.goal.models != order.models:
            self.ready_at = now + self.load_time
        self.goal = order
        self.obeyed.append(order)
        return OrderAnswer(True, self.now.fence)

    def tick(self, now: float) -> None:
        self.now = replace(self.now, sequence=self.now.sequence + 1)
        if self.goal and self.ready_at is not None and now >= self.ready_at:
            role = self.goal.role or self.now.role
            self.now = replace(self.now, models=self.goal.models, role=role)
            self.ready_at = None

    @property
    def is_loading(self) -> bool:
        return self.ready_at is not None


class World:
    """One log, some orderers of which one holds the fence, and targets."""

    def __init__(
        self,
        document: ServiceDocument,
        targets: int,
        checks: bool = False,
        load_time: float = 3.0,
        learn_for: float = 0.0,
        orderers: int = 1,
    ) -> None:
        config = ReconcilerConfig(learn_for=learn_for)
        self.documents = [document]
        self.orderers = [
            Reconciler.from_config(config, random.Random(n)) for n in range(orderers)
        ]
        self.leader: int | None = 0
        self.fence = 1
        self.now = 0.0
        self.rng = random.Random(7)
        self.targets = {
            f"t-{n}": Target(f"t-{n}", checks, load_time) for n in range(targets)
        }
        self.intents: dict[str, Order] = {}
        self.durable: set[tuple[int, int]] = set()
        self.commit = "intended"
        self.lost = 0.0
        self.delay = 0.0
        self.sent: list[tuple[float, Order]] = []
        self.most_loading = 0
        self._wire: list[tuple[float, int, OrderSend, bool]] = []

    def list_intents(self) -> list[Order]:
        return list(self.intents.values())

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.step()

    def step(self) -> None:
        self.now += STEP
        targets = tuple(each.now for each in self.targets.values())
        for orderer in self.orderers:
            orderer.hear(TargetsReport(HostName("entry-1"), targets), self.now)
        for number, orderer in enumerate(self.orderers):
            fence = self.fence if number == self.leader else None
            plan = orderer.plan(self.documents, self.list_intents(), fence, self.now)
            for send in plan.sends:
                self.send(number, send)
            if plan.intend is not None:
                self.decide(orderer, plan.intend)
        self.deliver()
        for target in self.targets.values():
            target.tick(self.now)
        loading = sum(target.is_loading for target in self.targets.values())
        self.most_loading = max(self.most_loading, loading)

    def decide(self, orderer: Reconciler, intend: IntendOrders) -> None:
        if self.commit == "not-leader":
            orderer.intent_answered(intend, NotLeader(), self.now)
            return
        for order in intend.orders:
            self.intents[order.target] = order
            self.durable.add((order.fence, order.number))
        undecided = self.commit == "undecided"
        result = Undecided("no answer") if undecided else Intended()
        orderer.intent_answered(intend, result, self.now)

    def send(self, number: int, send: OrderSend) -> None:
        assert (send.order.fence, send.order.number) in self.durable
        self.sent.append((self.now, send.order))
        arrives = self.now + self.rng.uniform(0, self.delay)
        lost = self.rng.random() < self.lost
        self._wire.append((arrives, number, send, lost))

    def deliver(self) -> None:
        waiting = []
        for arrives, number, send, lost in self._wire:
            if arrives > self.now:
                waiting.append((arrives, number, send, lost))
                continue
            answer: OrderAnswer | Fault
            answer = self.targets[send.order.target].take(send.order, self.now)
            if lost:
                answer = Fault(Reason.SILENT, "order", send.order.target)
            self.orderers[number].order_answered(send.order, answer, self.now)
        self._wire = waiting

    def holders(self, model: str) -> set[str]:
        return {
            name
            for name, target in self.targets.items()
            if model in {each.name for each in target.now.models}
        }

    def in_state(self) -> bool:
        wanted = (LoadedModel("m", "1"),)
        return all(each.now.models == wanted for each in self.targets.values())

"""Orders by real reconcilers over real control hosts, under faults."""

from __future__ import annotations

from random import Random

import pytest

from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    Accepted,
    Fault,
    HostName,
    IntendOrders,
    LoadedModel,
    Order,
    OrderAnswer,
    Reason,
    SubmitDocument,
    TargetsReport,
)
from bramleyspread_orders import OrderSend, Reconciler, ReconcilerConfig
from bramleyspread_orders.tests.world import Target

#: Between two plans of a control host, in seconds.
PLAN_EVERY = 0.2


def make_text(version: int, checks: bool) -> str:
    return (
        f"service: lm\nversion: {version}\nteam: t\npools:\n- name: engines\n"
        f"  kind: generation\n  checks_fencing: {str(checks).lower()}\n"
        f"  loads_at_once: 2\n  models: [{{name: m, version: '{version}'}}]\n"
    )


class OrderedCluster:
    """Three control hosts with a reconciler each, and four targets."""

    def __init__(self, checks: bool, seed: int = 1) -> None:
        self.checks = checks
        self.rng = Random(seed)
        self.cluster = Cluster(3, seed)
        self.targets = {f"t-{n}": Target(f"t-{n}", checks, 1.0) for n in range(4)}
        self.version = 0
        self.reconcilers: dict[str, Reconciler] = {}
        self.awaited: dict[int, tuple[str, IntendOrders]] = {}
        #: Sends that a host was about to make, by host.
        self.outbox: dict[str, list[OrderSend]] = {}
        self.wire: list[tuple[float, str, OrderSend]] = []
        for name in "abc":
            self.start(name)

    def start(self, name: str) -> None:
        config = ReconcilerConfig(learn_for=1.0, reach_within=10.0)
        self.reconcilers[name] = Reconciler.from_config(config, self.rng)
        self.outbox[name] = []

    def submit(self) -> None:
        self.version += 1
        text = make_text(self.version, self.checks)
        command = SubmitDocument(f"c-{self.version}", "ana", text)
        for _ in range(100):
            names = sorted(set(self.cluster.nodes) - self.cluster.frozen)
            name = self.rng.choice(names)
            result = self.cluster.call(command, name, seconds=1.0)
            if isinstance(result, Accepted):
                return
            self.cluster.run(0.1)
        raise AssertionError("not accepted")

    def run(self, seconds: float) -> None:
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            self.cluster.run(PLAN_EVERY)
            self.step()

    def step(self) -> None:
        now = self.cluster.now
        report = tuple(each.now for each in self.targets.values())
        for name, node in self.cluster.nodes.items():
            if name in self.cluster.frozen:
                continue
            self.send_due(name)
            reconciler = self.reconcilers[name]
            self.take_results(name)
            reconciler.hear(TargetsReport(HostName("entry-1"), report), now)
            documents = [each.document for each in node.list_documents()]
            fence = node.order_fence(now)
            plan = reconciler.plan(documents, node.list_intents(), fence, now)
            # They leave with the next step, so that a freeze can come between.
            self.outbox[name] = list(plan.sends)
            if plan.intend is not None:
                ticket = self.cluster.ask(name, plan.intend)
                self.awaited[ticket] = name, plan.intend
        self.deliver()
        for target in self.targets.values():
            target.tick(now)

    def send_due(self, name: str) -> None:
        for send in self.outbox[name]:
            if self.cluster.now <= send.send_before:
                arrives = self.cluster.now + self.rng.uniform(0, send.timeout)
                self.wire.append((arrives, name, send))

    def take_results(self, name: str) -> None:
        for ticket, (host, intend) in list(self.awaited.items()):
            if host == name and ticket in self.cluster.replies:
                del self.awaited[ticket]
                result = self.cluster.replies[ticket]
                now = self.cluster.now
                self.reconcilers[name].intent_answered(intend, result, now)

    def deliver(self) -> None:
        for each in [each for each in self.wire if each[0] <= self.cluster.now]:
            self.wire.remove(each)
            _, name, send = each
            self.check_durable(send.order)
            answer: OrderAnswer | Fault
            answer = self.targets[send.order.target].take(send.order, self.cluster.now)
            if self.rng.random() < 0.2:
                answer = Fault(Reason.SILENT, "order", send.order.target)
            if name in self.cluster.nodes and name not in self.cluster.frozen:
                reconciler = self.reconcilers[name]
                reconciler.order_answered(send.order, answer, self.cluster.now)

    def check_durable(self, order: Order) -> None:
        holders = [
            name
            for name, node in self.cluster.nodes.items()
            for each in node.list_intents()
            if each.target == order.target
            and (each.fence, each.number) >= (order.fence, order.number)
        ]
        assert holders, f"{order} was sent and is durable nowhere"

    def check_obeyed(self) -> None:
        for target in self.targets.values():
            fences = [order.fence for order in target.obeyed]
            assert fences == sorted(fences)
            versions = [int(order.models[0].version) for order in target.obeyed]
            assert versions == sorted(versions)

    def in_state(self) -> bool:
        wanted = (LoadedModel("m", str(self.version)),)
        return all(each.now.models == wanted for each in self.targets.values())


@pytest.mark.parametrize("checks", [True, False])
def test_leader_frozen_past_its_lease_orders_nothing(checks: bool) -> None:
    world = OrderedCluster(checks)
    world.submit()
    for _ in range(200):
        world.run(PLAN_EVERY)
        old = next((name for name in "abc" if world.outbox[name]), None)
        if old is not None:
            break
    assert old is not None, "no leader was about to order"
    world.cluster.frozen = {old}
    world.submit()
    world.run(20)
    assert world.in_state()
    obeyed = {name: len(each.obeyed) for name, each in world.targets.items()}
    world.cluster.frozen = set()
    world.run(20)
    assert {n: len(each.obeyed) for n, each in world.targets.items()} == obeyed
    world.check_obeyed()


@pytest.mark.parametrize("seed", range(2))
def test_orders_end_in_the_state_whatever_happens_to_leaders(seed: int) -> None:
    world = OrderedCluster(seed % 2 == 0, seed)
    world.submit()
    for _ in range(6):
        world.run(world.rng.uniform(1, 8))
        leader = world.cluster.find_leader() or "a"
        act = world.rng.choice(["freeze", "kill", "cut", "submit"])
        if act == "freeze":
            world.cluster.frozen = {leader}
        elif act == "kill":
            world.cluster.kill(leader)
            world.start(leader)
        elif act == "cut":
            world.cluster.cut(leader, inward=world.rng.random() < 0.5)
        else:
            world.submit()
        world.run(world.rng.uniform(1, 8))
        world.cluster.frozen.clear()
        world.cluster.heal()
        if leader not in world.cluster.nodes:
            world.cluster.start(leader)
    world.submit()
    world.run(40)
    assert world.in_state()
    world.check_obeyed()

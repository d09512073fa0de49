"""Tests of orders from real reconcilers over real control hosts, under faults."""

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
from bramleyspread_orders.tests.world import SimulatedTarget

#: Interval between two plans of a control host, in seconds.
PLAN_INTERVAL_S = 0.2


def make_text(version: int, checks_fencing: bool) -> str:
    return (
        f"service: lm\nversion: {version}\nteam: t\npools:\n- name: engines\n"
        f"  kind: generation\n  checks_fencing: {str(checks_fencing).lower()}\n"
        f"  loads_at_once: 2\n  models: [{{name: m, version: '{version}'}}]\n"
    )


class ReconcilerCluster:
    """Three control hosts with one reconciler each, and four targets."""

    def __init__(self, checks_fencing: bool, seed: int = 1) -> None:
        self.checks_fencing = checks_fencing
        self.rng = Random(seed)
        self.cluster = Cluster(3, seed)
        self.targets = {
            f"t-{n}": SimulatedTarget(f"t-{n}", checks_fencing, 1.0) for n in range(4)
        }
        self.version = 0
        self.reconcilers: dict[str, Reconciler] = {}
        self.pending_intents: dict[int, tuple[str, IntendOrders]] = {}
        #: Orders that each host is about to send, by host.
        self.outbox: dict[str, list[OrderSend]] = {}
        self.in_flight: list[tuple[float, str, OrderSend]] = []
        for name in "abc":
            self.start(name)

    def start(self, name: str) -> None:
        config = ReconcilerConfig(observation_period_s=1.0, convergence_timeout_s=10.0)
        self.reconcilers[name] = Reconciler.from_config(config, self.rng)
        self.outbox[name] = []

    def submit(self) -> None:
        self.version += 1
        text = make_text(self.version, self.checks_fencing)
        command = SubmitDocument(f"c-{self.version}", "ana", text)
        for _ in range(100):
            names = sorted(set(self.cluster.nodes) - self.cluster.suspended_hosts)
            name = self.rng.choice(names)
            result = self.cluster.call(command, name, seconds=1.0)
            if isinstance(result, Accepted):
                return
            self.cluster.run(0.1)
        raise AssertionError("the document was not accepted")

    def run(self, seconds: float) -> None:
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            self.cluster.run(PLAN_INTERVAL_S)
            self.run_step()

    def run_step(self) -> None:
        now = self.cluster.now
        report = tuple(each.announcement for each in self.targets.values())
        for name, node in self.cluster.nodes.items():
            if name in self.cluster.suspended_hosts:
                continue
            self.send_due(name)
            reconciler = self.reconcilers[name]
            self.handle_results(name)
            reconciler.handle_report(TargetsReport(HostName("entry-1"), report), now)
            documents = [each.document for each in node.list_documents()]
            fence = node.get_fencing_number(now)
            plan = reconciler.plan(documents, node.list_intended_orders(), fence, now)
            # Sent in the next step, so that the host can be frozen in between.
            self.outbox[name] = list(plan.sends)
            if plan.intent_command is not None:
                ticket = self.cluster.propose(name, plan.intent_command)
                self.pending_intents[ticket] = name, plan.intent_command
        self.deliver_orders()
        for target in self.targets.values():
            target.tick(now)

    def send_due(self, name: str) -> None:
        for send in self.outbox[name]:
            if self.cluster.now <= send.send_before:
                arrives = self.cluster.now + self.rng.uniform(0, send.timeout_s)
                self.in_flight.append((arrives, name, send))

    def handle_results(self, name: str) -> None:
        for ticket, (host, intent_command) in list(self.pending_intents.items()):
            if host == name and ticket in self.cluster.replies:
                del self.pending_intents[ticket]
                result = self.cluster.replies[ticket]
                now = self.cluster.now
                self.reconcilers[name].handle_intent_result(intent_command, result, now)

    def deliver_orders(self) -> None:
        for each in [each for each in self.in_flight if each[0] <= self.cluster.now]:
            self.in_flight.remove(each)
            _, name, send = each
            self.check_durable(send.order)
            answer: OrderAnswer | Fault
            answer = self.targets[send.order.target].handle_order(
                send.order, self.cluster.now
            )
            if self.rng.random() < 0.2:
                answer = Fault(Reason.SILENT, "order", send.order.target)
            if name in self.cluster.nodes and name not in self.cluster.suspended_hosts:
                reconciler = self.reconcilers[name]
                reconciler.handle_order_outcome(send.order, answer, self.cluster.now)

    def check_durable(self, order: Order) -> None:
        holders = [
            name
            for name, node in self.cluster.nodes.items()
            for each in node.list_intended_orders()
            if each.target == order.target
            and (each.fence, each.number) >= (order.fence, order.number)
        ]
        assert holders, f"{order} was sent but is not durable on any host"

    def check_obeyed(self) -> None:
        for target in self.targets.values():
            fences = [order.fence for order in target.obeyed_orders]
            assert fences == sorted(fences)
            versions = [int(order.models[0].version) for order in target.obeyed_orders]
            assert versions == sorted(versions)

    def has_converged(self) -> bool:
        wanted = (LoadedModel("m", str(self.version)),)
        return all(each.announcement.models == wanted for each in self.targets.values())


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_leader_frozen_past_its_lease_sends_no_orders(checks_fencing: bool) -> None:
    orders = ReconcilerCluster(checks_fencing)
    orders.submit()
    for _ in range(200):
        orders.run(PLAN_INTERVAL_S)
        old = next((name for name in "abc" if orders.outbox[name]), None)
        if old is not None:
            break
    assert old is not None, "no host was about to send an order"
    orders.cluster.suspended_hosts = {old}
    orders.submit()
    orders.run(20)
    assert orders.has_converged()
    obeyed = {name: len(each.obeyed_orders) for name, each in orders.targets.items()}
    orders.cluster.suspended_hosts = set()
    orders.run(20)
    assert {n: len(each.obeyed_orders) for n, each in orders.targets.items()} == obeyed
    orders.check_obeyed()


@pytest.mark.parametrize("seed", range(2))
def test_orders_converge_despite_leader_faults(seed: int) -> None:
    orders = ReconcilerCluster(seed % 2 == 0, seed)
    orders.submit()
    for _ in range(6):
        orders.run(orders.rng.uniform(1, 8))
        leader = orders.cluster.find_leader() or "a"
        action = orders.rng.choice(["freeze", "kill", "cut", "submit"])
        if action == "freeze":
            orders.cluster.suspended_hosts = {leader}
        elif action == "kill":
            orders.cluster.kill(leader)
            orders.start(leader)
        elif action == "cut":
            orders.cluster.isolate(leader, inward=orders.rng.random() < 0.5)
        else:
            orders.submit()
        orders.run(orders.rng.uniform(1, 8))
        orders.cluster.suspended_hosts.clear()
        orders.cluster.heal()
        if leader not in orders.cluster.nodes:
            orders.cluster.start(leader)
    orders.submit()
    orders.run(40)
    assert orders.has_converged()
    orders.check_obeyed()

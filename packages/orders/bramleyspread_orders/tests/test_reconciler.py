"""Tests of the reconciler under lease changes, message loss and delay."""

from __future__ import annotations

import pytest

from bramleyspread_core import Order, OrderAnswer
from bramleyspread_orders.tests.world import OrderSimulation, make_document

MODEL_V1 = "[{name: m, version: '1'}]"
MODEL_V2 = "[{name: m, version: '2'}]"


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_targets_converge_and_get_no_further_orders(checks_fencing: bool) -> None:
    simulation = OrderSimulation(
        make_document(MODEL_V1, checks_fencing=checks_fencing), 4, checks_fencing
    )
    simulation.run(40)
    assert simulation.has_converged()
    sent = len(simulation.sent)
    assert sent == 4
    simulation.run(60)
    assert len(simulation.sent) == sent


@pytest.mark.parametrize("loads_at_once", [1, 2])
def test_concurrent_loads_are_limited_per_pool(loads_at_once: int) -> None:
    simulation = OrderSimulation(
        make_document(MODEL_V1, loads_at_once=loads_at_once), 8
    )
    simulation.run(60)
    assert simulation.has_converged()
    assert simulation.peak_loading == loads_at_once


def test_at_most_half_of_pool_changes_at_once() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1, loads_at_once=100), 6)
    simulation.run(40)
    assert simulation.has_converged()
    assert simulation.peak_loading == 3


def test_pool_with_single_target_converges() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1), 1)
    simulation.run(10)
    assert simulation.has_converged()


@pytest.mark.parametrize("commit", ["undecided", "not-leader"])
def test_order_not_known_to_be_durable_is_never_sent(commit: str) -> None:
    simulation = OrderSimulation(make_document(MODEL_V1), 2)
    simulation.commit_result = commit
    simulation.run(10)
    assert not simulation.sent
    numbers = {order.number for order in simulation.list_intended_orders()}
    simulation.commit_result = "intended"
    simulation.run(20)
    assert simulation.has_converged()
    assert min(order.number for _, order in simulation.sent) > max(numbers, default=0)


def test_order_committed_after_lease_loss_is_not_sent() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1, checks_fencing=True), 1, True)
    orderer = simulation.orderers[0]
    simulation.lease_holder = None
    simulation.step()
    plan = orderer.plan(simulation.documents, [], 1, simulation.now)
    assert plan.intent_command is not None
    for fence in (None, 2):
        orderer.plan(simulation.documents, [], fence, simulation.now)
        simulation.commit_orders(orderer, plan.intent_command)
        later = orderer.plan(
            simulation.documents,
            simulation.list_intended_orders(),
            fence,
            simulation.now,
        )
        assert not later.sends


def test_order_numbers_continue_when_same_fence_is_regained() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1, checks_fencing=True), 1, True)
    orderer = simulation.orderers[0]
    simulation.lease_holder = None
    simulation.step()
    numbers = []
    for fence in (1, None, 1):
        plan = orderer.plan(simulation.documents, [], fence, simulation.now)
        if plan.intent_command is not None:
            numbers.append(plan.intent_command.orders[0].number)
    assert numbers == [1, 2]


def test_orderer_without_lease_proposes_and_sends_nothing() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1), 2)
    simulation.lease_holder = None
    simulation.run(10)
    assert not simulation.sent
    assert not simulation.newest_orders


@pytest.mark.parametrize(("checks_fencing", "min_delay_s"), [(True, 0.0), (False, 2.7)])
def test_new_orderer_delays_orders_if_fencing_is_not_checked(
    checks_fencing: bool, min_delay_s: float
) -> None:
    simulation = OrderSimulation(
        make_document(MODEL_V1, checks_fencing=checks_fencing),
        1,
        checks_fencing,
        orderer_count=2,
    )
    simulation.run(10)
    simulation.documents = [make_document(MODEL_V2, 2, checks_fencing)]
    simulation.lease_holder, simulation.fence = 1, 2
    started_at = simulation.now
    simulation.run(10)
    first = min(at for at, order in simulation.sent if order.fence == 2)
    assert min_delay_s <= first - started_at < min_delay_s + 0.5


def test_orders_are_delayed_if_target_does_not_check_fencing() -> None:
    simulation = OrderSimulation(
        make_document(MODEL_V1, checks_fencing=True), 1, checks_fencing=False
    )
    simulation.run(2)
    assert not simulation.sent
    simulation.run(2)
    assert simulation.sent


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_delayed_order_does_not_undo_newer_order(checks_fencing: bool) -> None:
    for seed in range(20):
        simulation = OrderSimulation(
            make_document(MODEL_V1, checks_fencing=checks_fencing),
            1,
            checks_fencing,
            load_time_s=0.1,
        )
        simulation.rng.seed(seed)
        simulation.max_delay_s = 2.0
        simulation.run((0.2 if checks_fencing else 3.0) + seed / 20)
        simulation.documents = [make_document(MODEL_V2, 2, checks_fencing)]
        simulation.run(20)
        versions = [
            order.models[0].version for order in simulation.targets["t-0"].obeyed_orders
        ]
        assert versions == sorted(versions)


def test_lost_answers_are_retried_with_backoff() -> None:
    simulation = OrderSimulation(
        make_document(MODEL_V1, checks_fencing=True), 1, True, load_time_s=1e9
    )
    simulation.loss_rate = 1.0
    simulation.run(60)
    times = [at for at, _ in simulation.sent]
    assert 4 < len(times) < 16
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert gaps[-1] > 3 * gaps[0]
    assert len({order.number for _, order in simulation.sent}) == 1


def test_loads_of_earlier_orderer_count_towards_limit() -> None:
    simulation = OrderSimulation(
        make_document(MODEL_V1), 6, load_time_s=8.0, orderer_count=2
    )
    simulation.run(5)
    assert simulation.peak_loading == 1
    simulation.lease_holder, simulation.fence = 1, 2
    simulation.run(120)
    assert simulation.peak_loading == 1
    assert simulation.has_converged()


@pytest.mark.parametrize("elapsed_s", [4.0, 20.0])
def test_restarted_target_gets_new_order(elapsed_s: float) -> None:
    simulation = OrderSimulation(make_document(MODEL_V1), 2)
    simulation.run(elapsed_s)
    # A target that is loading, if there is one, is sorted last.
    restarted = sorted(simulation.targets.values(), key=lambda each: each.is_loading)[
        -1
    ]
    restarted.restart()
    simulation.run(15)
    assert simulation.has_converged()
    assert 2 in {order.incarnation for _, order in simulation.sent}


def test_superseded_orderer_stops_sending() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1, checks_fencing=True), 1, True)
    target = simulation.targets["t-0"]
    target.handle_order(Order(target.announcement.target, 1, 9, 1, ()), 0.0)
    simulation.run(30)
    assert len(simulation.sent) == 1
    simulation.fence = 10
    simulation.run(10)
    assert simulation.has_converged()


def test_models_stay_on_their_targets_when_others_join_or_leave() -> None:
    models = (
        "[{name: m, version: '1', targets: 2}, {name: n, version: '1', targets: 2}]"
    )
    simulation = OrderSimulation(make_document(models, loads_at_once=4), 5)
    simulation.run(30)
    m, n = simulation.find_holders("m"), simulation.find_holders("n")
    assert (len(m), len(n), len(m & n)) == (2, 2, 0)
    removed_name = sorted(m)[0]
    removed_target = simulation.targets.pop(removed_name)
    simulation.run(30)
    assert m - {removed_name} < simulation.find_holders("m")
    assert (len(simulation.find_holders("m")), simulation.find_holders("n")) == (2, n)
    sent = len(simulation.sent)
    simulation.targets[removed_name] = removed_target
    simulation.run(30)
    assert len(simulation.find_holders("m")) == 2
    assert len(simulation.sent) == sent + 1
    m, n = simulation.find_holders("m"), simulation.find_holders("n")
    simulation.targets |= dict(
        list(OrderSimulation(make_document(models), 30).targets.items())[5:]
    )
    simulation.run(30)
    assert (simulation.find_holders("m"), simulation.find_holders("n")) == (m, n)


def test_chosen_target_is_kept_while_it_loads() -> None:
    models = "[{name: m, version: '1', targets: 1}]"
    simulation = OrderSimulation(make_document(models), 2, load_time_s=20.0)
    simulation.run(5)
    added_targets = OrderSimulation(make_document(models), 12).targets
    for name in list(added_targets)[2:]:
        simulation.targets[name] = added_targets[name]
    simulation.run(60)
    loaded = {order.target for _, order in simulation.sent if order.models}
    assert len(loaded) == 1


def test_roles_are_assigned_and_kept() -> None:
    roles = "{name: prefill, targets: 1}, {name: decode, targets: 2}"
    simulation = OrderSimulation(make_document("[]", loads_at_once=4, roles=roles), 4)
    simulation.run(30)
    assert sorted(each.announcement.role for each in simulation.targets.values()) == [
        "",
        "decode",
        "decode",
        "prefill",
    ]


def test_new_orderer_proposes_nothing_while_collecting_reports() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1), 2, observation_period_s=5.0)
    simulation.run(4.9)
    assert not simulation.newest_orders


def test_answer_to_unknown_order_is_ignored() -> None:
    simulation = OrderSimulation(make_document(MODEL_V1), 1)
    simulation.run(20)
    unknown_order = Order(simulation.targets["t-0"].announcement.target, 1, 1, 99, ())
    simulation.orderers[0].handle_order_outcome(
        unknown_order, OrderAnswer(True, 1), simulation.now
    )
    sent = len(simulation.sent)
    simulation.run(10)
    assert len(simulation.sent) == sent


@pytest.mark.parametrize("seed", range(10))
def test_targets_converge_despite_orderer_changes_and_message_loss(seed: int) -> None:
    checks_fencing = seed % 2 == 0
    simulation = OrderSimulation(
        make_document(MODEL_V1, checks_fencing=checks_fencing, loads_at_once=2),
        5,
        checks_fencing,
        orderer_count=3,
    )
    simulation.rng.seed(seed)
    simulation.loss_rate, simulation.max_delay_s = 0.3, 2.0
    for _ in range(12):
        simulation.run(simulation.rng.uniform(0.5, 6))
        simulation.lease_holder = simulation.rng.choice([None, 0, 1, 2])
        simulation.fence += 1
        simulation.commit_result = simulation.rng.choice(
            ["intended", "undecided", "not-leader"]
        )
    simulation.lease_holder, simulation.commit_result, simulation.loss_rate = (
        0,
        "intended",
        0.0,
    )
    simulation.run(60)
    assert simulation.has_converged()
    for target in simulation.targets.values():
        fences = [order.fence for order in target.obeyed_orders]
        assert fences == sorted(fences)

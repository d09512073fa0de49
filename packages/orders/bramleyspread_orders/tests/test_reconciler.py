"""Orders under changes of the orderer, loss and delay."""

from __future__ import annotations

import pytest

from bramleyspread_core import Order, OrderAnswer
from bramleyspread_orders.tests.world import World, make_document

ONE = "[{name: m, version: '1'}]"
TWO = "[{name: m, version: '2'}]"


@pytest.mark.parametrize("checks", [True, False])
def test_targets_reach_the_state_and_are_then_left_alone(checks: bool) -> None:
    world = World(make_document(ONE, checks=checks), 4, checks)
    world.run(40)
    assert world.in_state()
    sent = len(world.sent)
    assert sent == 4
    world.run(60)
    assert len(world.sent) == sent


@pytest.mark.parametrize("loads", [1, 2])
def test_loads_are_paced(loads: int) -> None:
    world = World(make_document(ONE, loads=loads), 8)
    world.run(60)
    assert world.in_state()
    assert world.most_loading == loads


def test_half_of_a_pool_keeps_serving() -> None:
    world = World(make_document(ONE, loads=100), 6)
    world.run(40)
    assert world.in_state()
    assert world.most_loading == 3


def test_only_target_of_a_pool_is_moved() -> None:
    world = World(make_document(ONE), 1)
    world.run(10)
    assert world.in_state()


@pytest.mark.parametrize("commit", ["undecided", "not-leader"])
def test_what_is_not_known_to_be_durable_is_never_sent(commit: str) -> None:
    world = World(make_document(ONE), 2)
    world.commit = commit
    world.run(10)
    assert not world.sent
    numbers = {order.number for order in world.list_intents()}
    world.commit = "intended"
    world.run(20)
    assert world.in_state()
    assert min(order.number for _, order in world.sent) > max(numbers, default=0)


def test_intent_answered_after_the_lease_is_not_sent() -> None:
    world = World(make_document(ONE, checks=True), 1, True)
    orderer = world.orderers[0]
    world.leader = None
    world.step()
    plan = orderer.plan(world.documents, [], 1, world.now)
    assert plan.intend is not None
    for fence in (None, 2):
        orderer.plan(world.documents, [], fence, world.now)
        world.decide(orderer, plan.intend)
        later = orderer.plan(world.documents, world.list_intents(), fence, world.now)
        assert not later.sends


def test_numbers_rise_over_a_gap_in_the_lease() -> None:
    world = World(make_document(ONE, checks=True), 1, True)
    orderer = world.orderers[0]
    world.leader = None
    world.step()
    numbers = []
    for fence in (1, None, 1):
        plan = orderer.plan(world.documents, [], fence, world.now)
        if plan.intend is not None:
            numbers.append(plan.intend.orders[0].number)
    assert numbers == [1, 2]


def test_orderer_without_the_lease_does_nothing() -> None:
    world = World(make_document(ONE), 2)
    world.leader = None
    world.run(10)
    assert not world.sent
    assert not world.intents


@pytest.mark.parametrize(("checks", "waits"), [(True, 0.0), (False, 2.7)])
def test_new_orderer_waits_where_fencing_is_not_checked(
    checks: bool, waits: float
) -> None:
    world = World(make_document(ONE, checks=checks), 1, checks, orderers=2)
    world.run(10)
    world.documents = [make_document(TWO, 2, checks)]
    world.leader, world.fence = 1, 2
    began = world.now
    world.run(10)
    first = min(at for at, order in world.sent if order.fence == 2)
    assert waits <= first - began < waits + 0.5


def test_pool_or_target_that_does_not_check_makes_orders_wait() -> None:
    world = World(make_document(ONE, checks=True), 1, checks=False)
    world.run(2)
    assert not world.sent
    world.run(2)
    assert world.sent


@pytest.mark.parametrize("checks", [True, False])
def test_late_order_does_not_undo_a_newer_one(checks: bool) -> None:
    for seed in range(20):
        world = World(make_document(ONE, checks=checks), 1, checks, load_time=0.1)
        world.rng.seed(seed)
        world.delay = 2.0
        world.run((0.2 if checks else 3.0) + seed / 20)
        world.documents = [make_document(TWO, 2, checks)]
        world.run(20)
        versions = [order.models[0].version for order in world.targets["t-0"].obeyed]
        assert versions == sorted(versions)


def test_lost_answers_are_retried_more_and_more_slowly() -> None:
    world = World(make_document(ONE, checks=True), 1, True, load_time=1e9)
    world.lost = 1.0
    world.run(60)
    times = [at for at, _ in world.sent]
    assert 4 < len(times) < 16
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert gaps[-1] > 3 * gaps[0]
    assert len({order.number for _, order in world.sent}) == 1


def test_loads_of_an_earlier_orderer_count() -> None:
    world = World(make_document(ONE), 6, load_time=8.0, orderers=2)
    world.run(5)
    assert world.most_loading == 1
    world.leader, world.fence = 1, 2
    world.run(120)
    assert world.most_loading == 1
    assert world.in_state()


@pytest.mark.parametrize("after", [4.0, 20.0])
def test_restarted_target_is_ordered_anew(after: float) -> None:
    world = World(make_document(ONE), 2)
    world.run(after)
    # Sorted so that one that is loading comes last.
    restarted = sorted(world.targets.values(), key=lambda each: each.is_loading)[-1]
    restarted.restart()
    world.run(15)
    assert world.in_state()
    assert 2 in {order.incarnation for _, order in world.sent}


def test_superseded_orderer_stops() -> None:
    world = World(make_document(ONE, checks=True), 1, True)
    target = world.targets["t-0"]
    target.take(Order(target.now.target, 1, 9, 1, ()), 0.0)
    world.run(30)
    assert len(world.sent) == 1
    world.fence = 10
    world.run(10)
    assert world.in_state()


def test_shares_stay_where_they_are() -> None:
    models = (
        "[{name: m, version: '1', targets: 2}, {name: n, version: '1', targets: 2}]"
    )
    world = World(make_document(models, loads=4), 5)
    world.run(30)
    m, n = world.holders("m"), world.holders("n")
    assert (len(m), len(n), len(m & n)) == (2, 2, 0)
    gone = sorted(m)[0]
    away = world.targets.pop(gone)
    world.run(30)
    assert m - {gone} < world.holders("m")
    assert (len(world.holders("m")), world.holders("n")) == (2, n)
    loads = len(world.sent)
    world.targets[gone] = away
    world.run(30)
    assert len(world.holders("m")) == 2
    assert len(world.sent) == loads + 1
    m, n = world.holders("m"), world.holders("n")
    world.targets |= dict(list(World(make_document(models), 30).targets.items())[5:])
    world.run(30)
    assert (world.holders("m"), world.holders("n")) == (m, n)


def test_choice_holds_while_its_load_runs() -> None:
    models = "[{name: m, version: '1', targets: 1}]"
    world = World(make_document(models), 2, load_time=20.0)
    world.run(5)
    joining = World(make_document(models), 12).targets
    for name in list(joining)[2:]:
        world.targets[name] = joining[name]
    world.run(60)
    loaded = {order.target for _, order in world.sent if order.models}
    assert len(loaded) == 1


def test_roles_are_shared_out_and_kept() -> None:
    roles = "{name: prefill, targets: 1}, {name: decode, targets: 2}"
    world = World(make_document("[]", loads=4, roles=roles), 4)
    world.run(30)
    assert sorted(each.now.role for each in world.targets.values()) == [
        "",
        "decode",
        "decode",
        "prefill",
    ]


def test_new_orderer_listens_before_it_shares_out() -> None:
    world = World(make_document(ONE), 2, learn_for=5.0)
    world.run(4.9)
    assert not world.intents


def test_stray_answers_change_nothing() -> None:
    world = World(make_document(ONE), 1)
    world.run(20)
    stray = Order(world.targets["t-0"].now.target, 1, 1, 99, ())
    world.orderers[0].order_answered(stray, OrderAnswer(True, 1), world.now)
    sent = len(world.sent)
    world.run(10)
    assert len(world.sent) == sent


@pytest.mark.parametrize("seed", range(10))
def test_changing_orderers_over_a_bad_network_end_in_the_state(seed: int) -> None:
    checks = seed % 2 == 0
    world = World(make_document(ONE, checks=checks, loads=2), 5, checks, orderers=3)
    world.rng.seed(seed)
    world.lost, world.delay = 0.3, 2.0
    for _ in range(12):
        world.run(world.rng.uniform(0.5, 6))
        world.leader = world.rng.choice([None, 0, 1, 2])
        world.fence += 1
        world.commit = world.rng.choice(["intended", "undecided", "not-leader"])
    world.leader, world.commit, world.lost = 0, "intended", 0.0
    world.run(60)
    assert world.in_state()
    for target in world.targets.values():
        fences = [order.fence for order in target.obeyed]
        assert fences == sorted(fences)

"""Tests of orders with and without a check of the fencing number."""

import pytest

from bramleyspread_core import LoadedModel, Order, TargetName
from bramleyspread_standins._orders import OrderHandler, OrderSettings

MODELS = (LoadedModel("rules", "2"),)


def make_order(target: str = "e", incarnation: int = 7, fence: int = 3) -> Order:
    return Order(TargetName(target), incarnation, fence, 1, MODELS, "prefill")


@pytest.mark.parametrize(
    ("checks", "order", "obeyed"),
    [
        (True, make_order(), True),
        (True, make_order(fence=2), False),
        (False, make_order(fence=2), True),
        (False, make_order(incarnation=6), False),
        (False, make_order(target="f"), False),
    ],
)
def test_obeys_or_refuses_with_a_reason(
    checks: bool, order: Order, obeyed: bool
) -> None:
    handler = OrderHandler("e", 7, OrderSettings(checks))
    handler.handle(make_order(fence=3), 0.0)
    answer = handler.handle(order, 0.0)
    assert answer.obeyed is obeyed
    assert answer.fence == 3
    assert bool(answer.why) is not obeyed


def test_models_are_ready_after_loading_despite_a_repeated_order() -> None:
    handler = OrderHandler(
        "e", 7, OrderSettings(load_time_s=1.0), (LoadedModel("old", "1"),)
    )
    handler.handle(make_order(), 0.0)
    handler.handle(make_order(), 0.9)
    handler.finish_loading(0.9)
    assert handler.models == ()
    handler.finish_loading(1.0)
    assert handler.models == MODELS
    assert handler.role == "prefill"

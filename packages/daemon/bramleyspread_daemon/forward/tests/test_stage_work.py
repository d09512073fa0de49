"""Time that a request's stages may take."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from bramleyspread_capacity import EngineSpeed
from bramleyspread_core import ForwardRoute, RequestKind, ServiceShare
from bramleyspread_daemon.forward._stage_work import StageWork
from bramleyspread_forwarding import ForwardRequest, Prompt, PromptPart

ROUTE = ForwardRoute(
    name="r",
    host="h",
    prefix="/",
    kind=RequestKind.STREAM,
    timeout_ms=10_000,
    aim_ms=1_500.0,
    shares=(ServiceShare("s", 1.0),),
)
USUAL_SPEED = EngineSpeed()


def estimate_first_event_ms(own_tokens: int, speed: EngineSpeed = USUAL_SPEED) -> float:
    parts = (PromptPart("shared", 13_000), PromptPart("own", own_tokens))
    request = ForwardRequest(
        request_id="1",
        method="POST",
        path_and_query="/",
        path="/",
        host="h",
        headers=(),
        body=b"",
        prompt=Prompt(tokens_in=13_000 + own_tokens, tokens_out=9, parts=parts),
    )
    placement = SimpleNamespace(find_speed={"s": speed}.__getitem__)
    context = cast(
        "Any", SimpleNamespace(choose_service=lambda *_: "s", placement=placement)
    )
    return StageWork(context, request, ROUTE, 0, 0.0, 10.0).estimate_first_event_ms()


def test_long_prompts_leave_less_time_for_stages() -> None:
    assert estimate_first_event_ms(12_000) > estimate_first_event_ms(3_000) + 200.0


# Guards against stages that leave too little time for engines that read slowly.
def test_slow_engines_leave_less_time_for_stages() -> None:
    slow = EngineSpeed(tokens_per_ms=10.0)
    assert estimate_first_event_ms(3_000, slow) == 450.0


@pytest.mark.parametrize("own_tokens", [40_000, 400_000])
def test_longest_prompts_leave_half_of_the_goal_for_stages(own_tokens: int) -> None:
    assert estimate_first_event_ms(own_tokens) == ROUTE.aim_ms / 2

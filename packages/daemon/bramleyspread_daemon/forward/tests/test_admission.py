"""Refusals of an entry host that can't serve callers yet."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from bramleyspread_daemon.forward._entry import READY_IN_S, ForwardEntryProcess
from bramleyspread_daemon.forward._request_forwarder import RETRY_AFTER_S
from bramleyspread_daemon.forward._wire import Refusal
from bramleyspread_forwarding import ForwardRequest, KeysUnconfirmed

REQUEST = ForwardRequest(
    request_id="1",
    method="GET",
    path_and_query="/",
    path="/",
    host="h",
    headers=(),
    body=b"",
    key="k",
)
#: Longest time that control hosts take to elect a leader after a restart of all, with
#: the time in which entry hosts hear of it, in seconds.
ELECTION_S = 1.2


def admit(uptime_s: float, context: dict[str, Any]) -> Refusal:
    process = object.__new__(ForwardEntryProcess)
    process.context = cast("Any", SimpleNamespace(**context))
    process._process = cast("Any", SimpleNamespace(now=lambda: uptime_s))
    process._started_at = 0.0
    refusal = process._admit(REQUEST, cast("Any", None))
    assert isinstance(refusal, Refusal)
    return refusal


@pytest.mark.parametrize(
    "context",
    [
        {"routes": None},
        {
            "routes": object(),
            "find_route": lambda *_: None,
            "keys": SimpleNamespace(is_fresh=lambda _: False),
        },
        {
            "routes": object(),
            "find_route": lambda *_: SimpleNamespace(public=False),
            "keys": SimpleNamespace(
                is_fresh=lambda _: False, find_holder=lambda *_: KeysUnconfirmed()
            ),
        },
    ],
)
def test_caller_is_told_to_come_back_when_the_host_is_ready(
    context: dict[str, Any],
) -> None:
    for uptime_s in (0.0, 0.3, 0.9):
        refusal = admit(uptime_s, context)
        assert refusal.status == 503
        assert refusal.retry_after_s is not None
        assert ELECTION_S < uptime_s + refusal.retry_after_s <= READY_IN_S
    assert admit(60.0, context).retry_after_s == RETRY_AFTER_S

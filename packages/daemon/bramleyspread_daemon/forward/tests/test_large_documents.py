"""Changes of a large deployment document, over entry hosts' slow links."""

from __future__ import annotations

from typing import Any, cast

import curio
import pytest

from bramleyspread_core import (
    Address,
    Deployment,
    ForwardRoute,
    ForwardService,
    RequestKind,
    ServiceShare,
    StagePlan,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._feed_link import FEED_PATH
from bramleyspread_daemon.forward.tests.document_site import (
    ControlPool,
    DocumentNode,
    make_control,
)
from bramleyspread_daemon.forward.tests.test_feed import (
    CONTROL_HOSTS,
    KeptReply,
    make_entry,
)
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import FeedPage

#: Time in which accepted changes must be in force on every entry host, in seconds.
IN_FORCE_WITHIN_S = 2.0
#: Number of changes in quick succession.
CHANGES = 3
#: Time until what changed has been fetched, in seconds.
SETTLE_S = 0.1
#: Rate of an entry host's link, in Mbit/s.
LINK_MBPS = 5.0
#: Number of routes after a document has grown twice, by 300 and by 200.
ROUTES = 510
CONTROLS = tuple(Address(f"10.{at}.0.200", 8628) for at in range(CONTROL_HOSTS))


def make_document(version: int) -> Deployment:
    """Build a document; two versions differ in one route's timeout."""
    stages = tuple(
        StagePlan(f"stage-{at}", (at - 1,) if at else (), 60_000) for at in range(3)
    )
    routes = tuple(
        ForwardRoute(
            name=f"route-{at:05}",
            host=f"host-{at % 9}.example",
            prefix=f"/prefix-{at:05}/",
            kind=RequestKind.STREAM,
            timeout_ms=8_000 + (version if at == 0 else 0),
            aim_ms=1_700.0,
            gap_ms=400.0,
            abandon_after_ms=6_800.0,
            shares=(ServiceShare("llm", 1.0),),
            stages=stages,
            reports_prompt_parts=True,
        )
        for at in range(ROUTES)
    )
    services = tuple(
        ForwardService(name=name, max_connections=400)
        for name in ("llm", "stage-0", "stage-1", "stage-2")
    )
    return Deployment(version=version, routes=routes, services=services)


# Guards against changes of one route that pass an entry host's link as a whole document
# from each control host: they are in force too late, and calls wait behind them.
def test_changes_of_a_large_document_are_in_force_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> int:
        node = DocumentNode(make_document(1), CONTROLS)
        controls = {each: make_control(node, each) for each in CONTROLS}
        pool = ControlPool(controls)
        entry = make_entry(1, pool=pool)
        kept = await ask_all(controls, entry)
        await handle_pages(entry, kept)
        assert entry.version == 1
        size, pool.bytes = 0, 0
        for version in range(2, 2 + CHANGES):
            # All questions are open when the change is accepted.
            kept = await ask_all(controls, entry)
            node.deployment = make_document(version)
            for control in controls.values():
                await control.tick()
            await handle_pages(entry, kept)
            assert entry.version == version
            size += sum(len(each.body) for each in kept.values())
        return size + pool.bytes

    size = run_in_virtual_time(monkeypatch, main)
    assert size * 8 / (LINK_MBPS * 1e6) <= IN_FORCE_WITHIN_S


async def ask_all(
    controls: dict[Address, ForwardControl],
    entry: Any,  # noqa: ANN401
) -> dict[Address, KeptReply]:
    """Send one question of an entry host to each control host."""
    kept = {}
    for address, control in controls.items():
        kept[address] = KeptReply()
        query = encode_json(entry.make_query(address))
        request = HttpRequest("POST", FEED_PATH, "", {}, query)
        route = control.list_routes()["POST", FEED_PATH]
        await route(request, Reply(cast("Any", kept[address])))
    return kept


async def handle_pages(entry: Any, kept: dict[Address, KeptReply]) -> None:  # noqa: ANN401
    for address, reply in kept.items():
        if reply.body:
            page: FeedPage = decode_json(reply.body, FeedPage)
            await entry.handle_page(address, page, read_monotonic())
    await curio.sleep(SETTLE_S)

"""Entry hosts fetch newer documents from one control host, whatever fails."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any, cast

import curio
import msgspec
import pytest

from bramleyspread_core import Address, Deployment, decode_json, encode_json
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._document_link import DOCUMENT_PATH
from bramleyspread_daemon.forward._feed_link import FEED_PATH
from bramleyspread_daemon.forward.tests.document_site import (
    ControlPool,
    DocumentNode,
    make_control,
)
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply
from bramleyspread_daemon.forward.tests.test_feed import make_entry
from bramleyspread_daemon.forward.tests.test_large_documents import make_document
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import (
    DigestMismatch,
    DocumentParts,
    FeedPage,
    FeedQuery,
)

CONTROLS = tuple(Address(f"10.{at}.0.200", 8628) for at in range(3))
#: Time in which a change must be in force on every entry host, in seconds.
IN_FORCE_WITHIN_S = 2.0
#: Rate of an entry host's link, in bytes a second.
LINK_BYTES_PER_S = 5e6 / 8
#: Number of routes that one change adds.
ADDED_ROUTES = 1_400
#: Time in which no control host answers, in seconds.
SILENCE_S = 10.0
#: Changes in a burst, and the time between two, in seconds.
CHANGES, CHANGE_INTERVAL_S = 50, 0.02


class Site:
    """Three control hosts with one state, and an entry host that polls them."""

    def __init__(self, bytes_per_s: float = 0.0) -> None:
        self.node = DocumentNode(make_document(1), CONTROLS)
        self.controls = {each: make_control(self.node, each) for each in CONTROLS}
        self.pool = ControlPool(self.controls, bytes_per_s)
        self.entry: ForwardContext = make_entry(1, pool=self.pool)
        #: When each version was in force first.
        self.in_force_at: dict[int, float] = {}
        apply = self.entry.documents.set_document

        def record(parts: DocumentParts) -> None:
            apply(parts)
            version = parts.deployment.version
            assert version > max(self.in_force_at, default=0)
            self.in_force_at[version] = read_monotonic()

        cast("Any", self.entry.documents).set_document = record

    async def run(self) -> None:
        """Poll all control hosts until the first document is in force."""
        for control in CONTROLS:
            await curio.spawn(self._poll_forever, control, daemon=True)
        await curio.spawn(self._tick_controls, daemon=True)
        await self.wait_for(1)

    async def _tick_controls(self) -> None:
        while True:
            for control in tuple(self.controls.values()):
                await control.tick()
            await curio.sleep(0.02)

    async def _poll_forever(self, control: Address) -> None:
        while True:
            requested_at = read_monotonic()
            kept = KeptReply()
            body = encode_json(self.entry.make_query(control))
            host = self.controls[control]
            request = HttpRequest("POST", FEED_PATH, "", {}, body)
            handle = host.list_routes()["POST", FEED_PATH]
            await handle(request, Reply(cast("Any", kept)))
            while kept.response is None and self.controls[control] is host:
                await curio.sleep(0.001)
            if kept.response is None or control in self.pool.silent:
                await curio.sleep(0.25)
                continue
            self.pool.bytes += len(kept.response.body) + len(body)
            page: FeedPage = decode_json(kept.response.body, FeedPage)
            await self.entry.handle_page(control, page, requested_at)

    def submit(self, deployment: Deployment) -> None:
        """Let all control hosts know a newer document."""
        self.node.deployment = deployment

    async def wait_until_told(self, version: int) -> None:
        """Wait until control hosts have told of a version that isn't in force yet."""
        documents = self.entry.documents
        while max(documents.find_told_version(x) for x in CONTROLS) < version:
            await curio.sleep(0.0002)
        assert self.entry.version < version

    async def wait_for(self, version: int) -> None:
        """Wait until a version is in force; fails if it takes too long."""
        until = read_monotonic() + IN_FORCE_WITHIN_S
        while self.entry.version < version:
            assert read_monotonic() < until, f"version {version} is not in force"
            await curio.sleep(0.001)


def run(
    monkeypatch: pytest.MonkeyPatch,
    site: Site,
    action: Callable[[], Awaitable[None]],
) -> None:
    async def main() -> None:
        await site.run()
        await action()
        deployment = site.node.deployment
        assert deployment is not None
        assert site.entry.version == deployment.version
        parts = site.entry.documents.parts
        assert parts is not None
        assert parts.digest == DocumentParts.from_deployment(deployment).digest

    run_in_virtual_time(monkeypatch, main)


# Guards against bursts of changes that are sent one by one, or whole.
def test_burst_of_changes_is_in_force_in_time_over_a_slow_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(LINK_BYTES_PER_S)

    async def change() -> None:
        before = site.pool.bytes
        for version in range(2, 2 + CHANGES):
            site.submit(make_document(version))
            await curio.sleep(CHANGE_INTERVAL_S)
        await site.wait_for(1 + CHANGES)
        rate = (site.pool.bytes - before) / (CHANGES * CHANGE_INTERVAL_S)
        assert rate < LINK_BYTES_PER_S / 2

    run(monkeypatch, site, change)


@pytest.mark.parametrize("lost", [CONTROLS[:1], CONTROLS[1:]])
def test_change_is_in_force_while_control_hosts_are_silent(
    monkeypatch: pytest.MonkeyPatch, lost: tuple[Address, ...]
) -> None:
    site = Site()

    async def change() -> None:
        site.submit(make_document(2))
        await site.wait_until_told(2)
        site.pool.silent.update(lost)
        await site.wait_for(2)
        site.submit(make_document(3))
        await site.wait_for(3)

    run(monkeypatch, site, change)


# Guards against changes that are too large for the first timeout, and never in force.
def test_change_that_adds_many_routes_is_in_force_in_time_over_a_slow_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(LINK_BYTES_PER_S)

    async def change() -> None:
        document = make_document(2)
        added = tuple(
            msgspec.structs.replace(
                document.routes[0], name=f"added-{at}", prefix=f"/added-{at}/"
            )
            for at in range(ADDED_ROUTES)
        )
        routes = (*document.routes, *added)
        site.submit(msgspec.structs.replace(document, routes=routes))
        await site.wait_for(2)

    run(monkeypatch, site, change)


# Guards against hosts that ask without end while no control host answers.
def test_control_hosts_that_fall_silent_are_asked_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site()

    async def change() -> None:
        site.submit(make_document(2))
        await site.wait_until_told(2)
        site.pool.silent.update(CONTROLS)
        asked = len(site.pool.asked)
        await curio.sleep(SILENCE_S)
        assert len(site.pool.asked) - asked <= len(CONTROLS)
        site.pool.silent.clear()
        await site.wait_for(2)

    run(monkeypatch, site, change)


def test_change_is_fetched_from_control_hosts_that_started_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site()

    async def change() -> None:
        for at, control in enumerate(CONTROLS):
            host = make_control(site.node, control, f"life-{at + 2}")
            site.controls[control] = host
            site.submit(make_document(at + 2))
            await site.wait_for(at + 2)

    run(monkeypatch, site, change)


# Guards against a document in force that no operator wrote: what doesn't fit is
# refused, and the whole is fetched.
def test_whole_document_is_fetched_after_a_wrong_digest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site()
    mismatches: list[int] = []

    async def change() -> None:
        known = site.entry.documents.parts
        assert known is not None
        spoiled = make_document(1)
        spoiled = msgspec.structs.replace(spoiled, routes=spoiled.routes[:-1])
        parts = DocumentParts.from_deployment(spoiled)
        query = known.make_query()

        def apply(answer: Any) -> DocumentParts | DigestMismatch:
            applied = parts.apply(answer)
            assert isinstance(applied, DigestMismatch)
            mismatches.append(applied.version)
            return applied

        stand_in = cast("Any", type("_Spoiled", (), {})())
        stand_in.deployment, stand_in.apply = spoiled, apply
        stand_in.make_query = lambda: query
        site.entry.documents.parts = stand_in
        site.submit(make_document(2))
        await site.wait_for(2)
        assert mismatches == [2]

    run(monkeypatch, site, change)


# Guards against restarts of the whole system in turn, during which older hosts expect
# the document in the page, and older control hosts know no other call.
def test_older_hosts_get_documents_beside_newer_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site()

    async def change() -> None:
        control = site.controls[CONTROLS[0]]
        older = FeedQuery(asker=site.entry.own, version=0)
        assert b"told_version" not in encode_json(older)
        kept = KeptReply()
        request = HttpRequest("POST", FEED_PATH, "", {}, encode_json(older))
        handle = control.list_routes()["POST", FEED_PATH]
        await handle(request, Reply(cast("Any", kept)))
        assert kept.response is not None
        page: FeedPage = decode_json(kept.response.body, FeedPage)
        assert page.deployment == site.node.deployment

        site.pool.older.update(CONTROLS)
        asked = len(site.pool.asked)
        site.node.deployment = make_document(2)
        page = msgspec.structs.replace(page, deployment=make_document(2), version=2)
        await site.entry.handle_page(CONTROLS[0], page, read_monotonic())
        await site.wait_for(2)
        assert len(site.pool.asked) == asked

    run(monkeypatch, site, change)


# Guards against hosts that are ready only one poll after their first document.
def test_first_document_confirms_the_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site()

    async def change() -> None:
        assert site.entry.keys.confirmed_at > -math.inf
        assert site.entry.find_unready_reason() == ""

    run(monkeypatch, site, change)


def test_malformed_question_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site()

    async def change() -> None:
        kept = KeptReply()
        handle = site.controls[CONTROLS[0]].list_routes()["POST", DOCUMENT_PATH]
        request = HttpRequest("POST", DOCUMENT_PATH, "", {}, b'{"version": "x"}')
        await handle(request, Reply(cast("Any", kept)))
        assert kept.response is not None
        assert kept.response.status == 400

    run(monkeypatch, site, change)

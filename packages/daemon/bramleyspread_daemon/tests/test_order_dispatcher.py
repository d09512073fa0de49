"""Tests that orders are durable before they are sent, and sent only with the lease."""

from __future__ import annotations

from pathlib import Path

import curio
import pytest

from bramleyspread_core import LoadedModel
from bramleyspread_daemon import _control
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_daemon.tests.small_deployment import Deployment


def test_order_brings_target_to_state_of_document(tmp_path: Path) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        engines = deployment.targets[1]
        engines.models = (LoadedModel("m", "0"),)
        await deployment.start()
        await deployment.report_targets()
        assert not engines.orders
        deployment.node.fence = 7
        while not engines.orders:
            await deployment.report_targets()
            await curio.sleep(0.05)
        order = engines.orders[0]
        assert (order.fence, order.models) == (7, (LoadedModel("m", "1"),))
        assert order in deployment.node.intended_orders
        assert not deployment.targets[0].orders

    run(main)


def test_order_is_not_sent_after_lease_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The lease is checked again immediately before an order is sent."""
    monkeypatch.setattr(_control, "ORDER_INTERVAL_S", 3_600.0)

    async def main() -> None:
        deployment = Deployment(tmp_path)
        engines = deployment.targets[1]
        engines.models = ()
        await deployment.start()
        await deployment.report_targets()
        deployment.node.fence = 7
        dispatcher = deployment.control.orders
        timeline = tmp_path / "control.jsonl"
        while b"too late to be sent" not in timeline.read_bytes():
            deployment.node.lose_lease_after(1)
            await dispatcher.run_once()
            await curio.sleep(0.01)
        assert deployment.node.intended_orders
        assert dispatcher.sent == 0
        assert not engines.orders

    run(main)

"""Tests of the documents, the load and the topology of a demo."""

import random
from pathlib import Path

import yaml

from bramleyspread_core import ServiceDocument
from bramleyspread_standins._caller_requests import RequestGenerator
from bramleyspread_standins._demo import (
    ZONES,
    find_non_idempotent_stages,
    load_documents,
)
from bramleyspread_standins._topology import Topology

EXAMPLES = Path(__file__).parents[4] / "examples" / "consorcio"


def load_example() -> list[ServiceDocument]:
    return [document for document, _ in load_documents(EXAMPLES)]


def test_orders_documents_after_those_they_reference() -> None:
    documents = load_example()
    assert documents[-1].service == "booth-gateway"
    assert find_non_idempotent_stages(documents) == {"charge"}


def test_draws_the_same_load_from_the_same_seed() -> None:
    one, other = (
        RequestGenerator(load_example(), 7, "r").draw_load(60, 5) for _ in range(2)
    )
    assert one == other
    assert len({request.marker for request in one}) == 60
    assert all(
        bool(request.idempotency_key) is not request.pipeline.idempotent
        for request in one
    )


def test_lays_out_the_deployment_and_its_settings(tmp_path: Path) -> None:
    topology = Topology.from_documents(load_example(), ZONES, 2, random.Random(1))
    assert len(topology.entry_hosts) == 6
    assert sum(target.is_engine for target in topology.targets) == 10
    assert len(topology.targets) == 22
    topology.write_settings(tmp_path)
    settings = yaml.safe_load((tmp_path / "control-callao.yaml").read_text())
    assert [host["host"] for host in settings["control_hosts"]] == [
        f"control-{zone}" for zone in ZONES
    ]

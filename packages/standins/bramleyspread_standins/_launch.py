"""Makes the command lines of the processes of a demo."""

from __future__ import annotations

import random
import sys
from pathlib import Path

from bramleyspread_core import DesiredModel
from bramleyspread_standins._topology import DemoHost, DemoTarget, Topology

#: Engines whose index in ``Topology.targets`` is a multiple of this start without
#: models and wait for orders.
EMPTY_ENGINE_INTERVAL = 2


def find_program(name: str) -> str:
    """Return the path of a program in the folder of the Python interpreter.

    :param name: the program.
    """
    return str(Path(sys.executable).parent / name)


def make_host_command(role: str, host: DemoHost, folder: Path) -> list[str]:
    """Make the command line of an entry or control host.

    :param role: ``entry`` or ``control``.
    :param host: the host.
    :param folder: the folder of its settings file.
    """
    settings = str(folder / f"{host.name}.yaml")
    return [find_program("bramleyspreadd"), role, "--settings", settings]


def make_target_command(
    topology: Topology, number: int, folder: Path, seed: int
) -> list[str]:
    """Make the command line of a stand-in target.

    :param topology: the hosts and targets of the demo.
    :param number: the index of the target in the topology.
    :param folder: the folder of its ledger.
    :param seed: the demo's seed.
    """
    target = topology.targets[number]
    kind = "engine" if target.is_engine else "plain"
    hosts = list(topology.entry_hosts)
    random.Random(number).shuffle(hosts)
    return [
        *(sys.executable, "-m", "bramleyspread_standins", kind),
        f"--name={target.name}",
        f"--pool={target.pool}",
        f"--zone={target.zone}",
        f"--listen={target.address}",
        f"--seed={seed * 1_000 + number}",
        f"--ledger={folder / (target.name + '.ledger')}",
        *(f"--entry-host={host.address}" for host in hosts),
        *(_list_engine_options(target, number) if target.is_engine else ()),
    ]


def _list_engine_options(target: DemoTarget, number: int) -> list[str]:
    options = []
    if number % EMPTY_ENGINE_INTERVAL:
        models = target.pool_spec.models
        options += [f"--model={_format_model(model)}" for model in models]
    if not target.pool_spec.checks_fencing:
        options.append("--ignore-fencing")
    return options


def _format_model(model: DesiredModel) -> str:
    return f"{model.name}:{model.version}:{'+'.join(model.adapters)}"

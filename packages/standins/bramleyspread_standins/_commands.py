"""The command line of the stand-in targets."""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Sequence
from pathlib import Path

import curio

from bramleyspread_core import Address, LoadedModel, PoolName, ServiceName
from bramleyspread_standins._cache import CacheEventSettings
from bramleyspread_standins._engine import EngineCapacity
from bramleyspread_standins._engine_target import EngineTarget
from bramleyspread_standins._faults import FaultInjector, FaultSettings
from bramleyspread_standins._ledger import discard_entry, open_ledger
from bramleyspread_standins._orders import OrderSettings
from bramleyspread_standins._plain import PlainCapacity, PlainService
from bramleyspread_standins._target import Target, TargetSettings

MS_PER_S = 1_000


def parse_model(text: str) -> LoadedModel:
    """Parse a loaded model, ``name:version[:adapter+adapter]``.

    :param text: for example ``visa-rules:2026.11:spanish+quechua``.
    :raises argparse.ArgumentTypeError: if a part is missing.

    >>> parse_model("rules:1:es+qu").adapters
    ('es', 'qu')
    """
    name, _, rest = text.partition(":")
    version, _, adapters = rest.partition(":")
    if not name or not version:
        raise argparse.ArgumentTypeError("expected name:version[:adapter+adapter]")
    return LoadedModel(name, version, tuple(adapters.split("+")) if adapters else ())


def parse_pool(text: str) -> PoolName:
    """Parse the name of a pool, ``service.pool``.

    :param text: for example ``language-model.engines``.
    :raises argparse.ArgumentTypeError: if a part is missing.
    """
    service, separator, pool = text.partition(".")
    if not separator or not service or not pool:
        raise argparse.ArgumentTypeError("expected service.pool")
    return PoolName(ServiceName(service), pool)


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of ``python -m bramleyspread_standins``."""
    parser = argparse.ArgumentParser(
        prog="python -m bramleyspread_standins",
        description="Stand-ins of targets, for demos and tests.",
    )
    kinds = parser.add_subparsers(dest="kind", required=True)
    engine = kinds.add_parser("engine", help="a model engine")
    _add_common_options(engine)
    _add_engine_options(engine)
    plain = kinds.add_parser("plain", help="an encoder, retriever, reranker, ledger")
    _add_common_options(plain)
    add = plain.add_argument
    add("--slots", type=int, default=16, help="maximum number of concurrent calls")
    add("--waiting", type=int, default=64, help="maximum number of queued calls")
    add("--work-ms", type=float, default=10, help="mean duration of a call")
    return parser


def _add_common_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("--name", required=True, help="the target's name, unique")
    add("--pool", type=parse_pool, required=True, help="service.pool")
    add("--zone", required=True, help="its availability zone")
    add("--listen", type=Address.from_text, required=True, help="ip:port")
    add(
        "--entry-host",
        type=Address.from_text,
        action="append",
        required=True,
        help="ip:port of an entry host to announce to; repeat for more",
    )
    add("--ledger", type=Path, help="file that gets one JSON line a run")
    add("--seed", type=int, default=1, help="seed of all random choices")
    add("--load-lag-ms", type=float, default=200, help="age of the load reported")
    add("--latency-ms", type=float, default=0, help="fault: delay added to each call")
    add("--refuse-share", type=float, default=0, help="fault: share of calls refused")
    add("--silent-after-s", type=float, help="fault: stops responding after this time")


def _add_engine_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("--slots", type=int, default=16, help="maximum number of concurrent sequences")
    add("--waiting", type=int, default=64, help="maximum number of queued sequences")
    add("--step-ms", type=float, default=8, help="time of one step")
    add(
        "--model",
        type=parse_model,
        action="append",
        default=[],
        help="model loaded at the start",
    )
    add("--load-ms", type=float, default=200, help="time to load a model")
    add("--cache-prefixes", type=int, default=64, help="cache size in prefixes")
    add("--cache-lag-ms", type=float, default=500, help="age of cache events")
    add("--cache-gaps", type=float, default=0.1, help="share of cache events lost")
    add(
        "--ignore-fencing",
        action="store_true",
        help="obey orders with an old fencing number",
    )


def _make_settings(options: argparse.Namespace) -> TargetSettings:
    return TargetSettings(
        name=options.name,
        pool=options.pool,
        zone=options.zone,
        address=options.listen,
        entry_hosts=tuple(options.entry_host),
        load_delay_s=options.load_lag_ms / MS_PER_S,
    )


def _make_fault_injector(options: argparse.Namespace) -> FaultInjector:
    settings = FaultSettings(
        options.latency_ms / MS_PER_S, options.refuse_share, options.silent_after_s
    )
    return FaultInjector(settings, random.Random(options.seed), time.monotonic())


def make_target(options: argparse.Namespace) -> Target:
    """Make the target that the command line describes.

    :param options: the parsed options.
    """
    settings = _make_settings(options)
    faults = _make_fault_injector(options)
    ledger = open_ledger(options.ledger) if options.ledger else discard_entry
    if options.kind == "engine":
        return EngineTarget.from_settings(
            settings,
            faults,
            EngineCapacity(options.slots, options.waiting, options.step_ms / MS_PER_S),
            options.cache_prefixes,
            CacheEventSettings(options.cache_lag_ms / MS_PER_S, options.cache_gaps),
            OrderSettings(not options.ignore_fencing, options.load_ms / MS_PER_S),
            tuple(options.model),
            options.seed,
            ledger,
        )
    capacity = PlainCapacity(options.slots, options.waiting, options.work_ms / MS_PER_S)
    rng = random.Random(options.seed)
    service = PlainService(options.name, capacity, ledger, rng)
    return Target(settings, service, faults)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a stand-in until SIGTERM.

    :param arguments: the arguments; ``sys.argv`` if None.
    :returns: the exit code.
    """
    target = make_target(make_parser().parse_args(arguments))
    curio.run(target.run)
    return 0

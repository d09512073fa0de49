"""The process of a stand-in model engine."""

from __future__ import annotations

import random
import time
from urllib.parse import unquote

import msgspec
from msgspec.structs import replace

from bramleyspread_core import (
    Announcement,
    Brand,
    LoadedModel,
    Order,
    decode_json,
    encode_json,
)
from bramleyspread_standins._cache import CacheEventSettings, PrefixCache, owns_prefix
from bramleyspread_standins._engine import Engine, EngineCapacity
from bramleyspread_standins._faults import FaultInjector
from bramleyspread_standins._http import Exchange, HttpRequest
from bramleyspread_standins._ledger import Ledger
from bramleyspread_standins._orders import OrderHandler, OrderSettings
from bramleyspread_standins._target import Target, TargetSettings

#: The path below which KV caches are exported and imported.
KV_PATH = "/v1/kv/"
#: The role that an engine starts in.
INITIAL_ROLE = "generate"


class KvExport(msgspec.Struct, frozen=True):
    """A prefix's KV cache on its way between two engines of one brand."""

    #: The prefix key.
    prefix: str
    #: Tokens that it covers.
    tokens: int
    #: The model that made it.
    model: str = ""


class EngineTarget(Target):
    """An engine that takes orders and hands KV caches over."""

    def __init__(
        self,
        settings: TargetSettings,
        engine: Engine,
        cache: PrefixCache,
        faults: FaultInjector,
        orders: OrderSettings,
        models: tuple[LoadedModel, ...],
    ) -> None:
        self._engine = engine
        super().__init__(settings, self._engine, faults)
        self._cache = cache
        name = settings.name
        self._orders = OrderHandler(
            name, self.incarnation, orders, models, INITIAL_ROLE
        )
        self._engine.models = models

    @classmethod
    def from_settings(
        cls,
        settings: TargetSettings,
        faults: FaultInjector,
        size: EngineCapacity,
        cache_capacity: int,
        cache_timing: CacheEventSettings,
        orders: OrderSettings,
        models: tuple[LoadedModel, ...],
        seed: int,
        ledger: Ledger,
    ) -> EngineTarget:
        """Make an engine whose cache is empty.

        :param settings: who it is and where it listens.
        :param faults: faults to bring about.
        :param size: what it can do.
        :param cache_capacity: prefixes that its cache holds.
        :param cache_timing: how well the cache tells of its changes.
        :param orders: what it does with orders.
        :param models: models loaded at the start.
        :param seed: the seed of lost cache events.
        :param ledger: writes its runs down.
        :returns: the engine.
        """
        cache = PrefixCache(cache_capacity, cache_timing, random.Random(seed))
        engine = Engine(settings.name, size, cache, ledger)
        return cls(settings, engine, cache, faults, orders, models)

    def make_announcement(self, sequence: int) -> Announcement:
        """Make an announcement.

        :param sequence: its number.
        """
        return replace(
            super().make_announcement(sequence),
            models=self._orders.models,
            role=self._orders.role,
            checks_fencing=self._orders.checks_fencing,
            fence=self._orders.fence,
            cache_events=self._cache.take_events(time.monotonic()),
        )

    def advance(self, now: float) -> None:
        """Have the models ready whose loading is over.

        :param now: monotonic seconds.
        """
        self._orders.finish_loading(now)
        self._engine.models = self._orders.models

    async def handle_other(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer orders, and KV exports and imports."""
        if (request.method, request.path) == ("POST", "/v1/orders"):
            order: Order = decode_json(request.body, Order)
            answer = self._orders.handle(order, time.monotonic())
            self.advance(time.monotonic())
            await exchange.reply(200, encode_json(answer))
        elif request.path.startswith(KV_PATH) and request.method in ("GET", "PUT"):
            await self._handle_kv(request, exchange)
        else:
            await exchange.reply(404)

    async def _handle_kv(self, request: HttpRequest, exchange: Exchange) -> None:
        prefix = unquote(request.path.removeprefix(KV_PATH))
        organisation = request.headers.get("x-organisation", "")
        brand = Brand(organisation, request.headers.get("x-brand", ""))
        if not owns_prefix(brand, prefix):
            why = f"prefix {prefix!r} does not belong to brand {brand.key!r}"
            await exchange.reply(403, encode_json({"why": why}))
        elif request.method == "PUT":
            await self._import_kv(prefix, request.body, exchange)
        elif tokens := self._cache.find(prefix):
            await exchange.reply(200, encode_json(KvExport(prefix, tokens)))
        else:
            await exchange.reply(404, encode_json({"why": "prefix not held"}))

    async def _import_kv(self, prefix: str, body: bytes, exchange: Exchange) -> None:
        kv: KvExport = decode_json(body, KvExport)
        if kv.prefix != prefix:
            why = "the body names another prefix than the path"
            await exchange.reply(400, encode_json({"why": why}))
            return
        self._cache.store(prefix, kv.tokens, time.monotonic())
        await exchange.reply(200)

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
from bramleyspread_standins._ledger import LedgerWriter
from bramleyspread_standins._orders import OrderHandler, OrderSettings
from bramleyspread_standins._target import Target, TargetSettings

#: Prefix of the paths for exports and imports of KV caches.
KV_PATH = "/v1/kv/"
#: The role of an engine before its first order.
INITIAL_ROLE = "generate"


class KvExport(msgspec.Struct, frozen=True):
    """The KV cache of a prefix in transfer between two engines, within one brand."""

    #: The prefix key.
    prefix: str
    #: Number of tokens that it covers.
    tokens: int
    #: The model that it was made with.
    model: str = ""


class EngineTarget(Target):
    """A target that runs an engine, obeys orders and transfers KV caches."""

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
        capacity: EngineCapacity,
        cache_capacity: int,
        cache_events: CacheEventSettings,
        orders: OrderSettings,
        models: tuple[LoadedModel, ...],
        seed: int,
        ledger: LedgerWriter,
    ) -> EngineTarget:
        """Make an engine with an empty cache.

        :param settings: its identity and address.
        :param faults: injects faults.
        :param capacity: its capacity and speed.
        :param cache_capacity: number of prefixes that its cache holds.
        :param cache_events: delay and loss of cache events.
        :param orders: how it handles orders.
        :param models: models loaded at the start.
        :param seed: the seed of the loss of cache events.
        :param ledger: records its runs.
        :returns: the engine.
        """
        cache = PrefixCache(cache_capacity, cache_events, random.Random(seed))
        engine = Engine(settings.name, capacity, cache, ledger)
        return cls(settings, engine, cache, faults, orders, models)

    def make_announcement(self, sequence: int) -> Announcement:
        """Make an announcement.

        :param sequence: its sequence number.
        """
        return replace(
            super().make_announcement(sequence),
            models=self._orders.models,
            role=self._orders.role,
            checks_fencing=self._orders.checks_fencing,
            fence=self._orders.highest_fence,
            cache_events=self._cache.take_events(time.monotonic()),
        )

    def advance(self, now: float) -> None:
        """Make models available whose loading has finished.

        :param now: monotonic seconds.
        """
        self._orders.finish_loading(now)
        self._engine.models = self._orders.models

    async def handle_other(self, request: HttpRequest, exchange: Exchange) -> None:
        """Handle orders, and KV cache exports and imports."""
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
            reason = f"prefix {prefix!r} does not belong to brand {brand.key!r}"
            await exchange.reply(403, encode_json({"why": reason}))
        elif request.method == "PUT":
            await self._import_kv(prefix, request.body, exchange)
        elif tokens := self._cache.find(prefix):
            await exchange.reply(200, encode_json(KvExport(prefix, tokens)))
        else:
            await exchange.reply(404, encode_json({"why": "prefix not held"}))

    async def _import_kv(self, prefix: str, body: bytes, exchange: Exchange) -> None:
        kv: KvExport = decode_json(body, KvExport)
        if kv.prefix != prefix:
            reason = "the body names another prefix than the path"
            await exchange.reply(400, encode_json({"why": reason}))
            return
        self._cache.store(prefix, kv.tokens, time.monotonic())
        await exchange.reply(200)

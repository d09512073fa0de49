"""Brings targets to the state of the documents, by orders."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence

from msgspec.structs import replace

from bramleyspread_core import (
    CommandResult,
    Fault,
    Happening,
    Intended,
    IntendOrders,
    Order,
    OrderAnswer,
    ServiceDocument,
    TargetName,
    TargetsReport,
)
from bramleyspread_orders._config import ReconcilerConfig
from bramleyspread_orders._knowledge import TargetKnowledge
from bramleyspread_orders._pace import Pace
from bramleyspread_orders._plan import OrderPlan, OrderSend
from bramleyspread_orders._progress import OrderProgress, Phase
from bramleyspread_orders._wanted import WantedTarget, find_begun, find_wanted


class Reconciler:
    """Compares what targets announce with what documents ask, and orders.

    It orders only under a fencing number, and sends only what is durable.
    Call ``plan`` on every control host a few times a second; without the lease
    it does nothing but listen.
    """

    __slots__ = (
        "_config",
        "_fence",
        "_fence_since",
        "_happenings",
        "_knowledge",
        "_number",
        "_numbered_for",
        "_pending",
        "_progress",
        "_quiet_until",
        "_rng",
        "_superseded_by",
        "_waits_until",
    )

    def __init__(self, config: ReconcilerConfig, rng: random.Random) -> None:
        self._config = config
        self._rng = rng
        self._knowledge = TargetKnowledge(config.target_lease)
        self._fence: int | None = None
        self._fence_since = 0.0
        self._number = 0
        self._numbered_for = 0
        self._pending: IntendOrders | None = None
        self._progress: dict[TargetName, OrderProgress] = {}
        self._quiet_until: dict[TargetName, float] = {}
        self._superseded_by = 0
        self._waits_until = 0.0
        self._happenings: list[Happening] = []

    @classmethod
    def from_config(cls, config: ReconcilerConfig, rng: random.Random) -> Reconciler:
        """Make the reconciler of a control host that starts.

        :param config: its settings.
        :param rng: spreads retries over time.
        :returns: a reconciler that knows no target yet.
        """
        return cls(config, rng)

    def hear(self, report: TargetsReport, now: float) -> None:
        """Take an entry host's report, on leaders and others alike.

        :param report: the report; each target is to be in one every few seconds.
        :param now: monotonic seconds.
        """
        self._knowledge.hear(report, now)

    def plan(
        self,
        documents: Sequence[ServiceDocument],
        intents: Sequence[Order],
        fence: int | None,
        now: float,
    ) -> OrderPlan:
        """Find what to do now.

        :param documents: the documents in force.
        :param intents: the newest committed order of each target.
        :param fence: the fencing number to order with, or None.
        :param now: monotonic seconds.
        :returns: orders to make durable, and orders to send.
        """
        self._knowledge.expire(now)
        self._take_fence(fence, intents, now)
        if fence is None or fence <= self._superseded_by:
            return self._finish(None, ())
        if now < self._fence_since + self._config.learn_for:
            return self._finish(None, ())
        newest = {order.target: order for order in intents}
        wanted = find_wanted(documents, self._knowledge.list_pools(), newest)
        self._settle(wanted, now)
        sends = tuple(self._list_due(wanted, now))
        return self._finish(self._intend(fence, wanted, newest, now), sends)

    def intent_answered(
        self, intend: IntendOrders, result: CommandResult, now: float
    ) -> None:
        """Take the result of an ``intend``.

        :param intend: what was to be made durable.
        :param result: whether the orders are durable; when that is not known,
            they are never sent, and others with higher numbers are made.
        :param now: monotonic seconds.
        """
        if intend != self._pending:
            return
        self._pending = None
        if not isinstance(result, Intended):
            self._waits_until = now + self._config.retry_first
            return
        self._waits_until = now
        for order in intend.orders:
            self._progress[order.target] = OrderProgress(order, Phase.READY, now, now)
            self._report("order-intended", order)

    def order_answered(
        self, order: Order, answer: OrderAnswer | Fault, now: float
    ) -> None:
        """Take what came of a send.

        :param order: the order that was sent.
        :param answer: the target's answer, or why there is none.
        :param now: monotonic seconds.
        """
        if isinstance(answer, OrderAnswer) and answer.fence > order.fence:
            self._superseded_by = max(self._superseded_by, answer.fence)
            self._report("orderer-superseded", order, str(answer.fence))
        progress = self._progress.get(order.target)
        if progress is None or progress.order != order or progress.phase != Phase.SENT:
            return
        if isinstance(answer, OrderAnswer) and progress.failures == 0:
            # Its only send has arrived, so that nothing is under way any more.
            self._quiet_until.pop(order.target, None)
        if isinstance(answer, OrderAnswer) and answer.obeyed:
            obeyed = replace(progress, phase=Phase.OBEYED, since=now, failures=0)
            self._progress[order.target] = obeyed
            self._report("order-obeyed", order)
            return
        why = answer.why if isinstance(answer, OrderAnswer) else str(answer)
        self._report("order-failed", order, why)
        self._progress[order.target] = self._back_off(progress, now)

    def _take_fence(
        self, fence: int | None, intents: Sequence[Order], now: float
    ) -> None:
        if fence == self._fence:
            return
        self._fence = fence
        self._fence_since = now
        self._pending = None
        self._waits_until = now
        self._progress.clear()
        if fence is not None and fence != self._numbered_for:
            # A lease that comes back keeps counting: some orders may be undecided.
            same = [order.number for order in intents if order.fence == fence]
            self._number = max(same, default=0)
            self._numbered_for = fence

    def _settle(self, wanted: Mapping[TargetName, WantedTarget], now: float) -> None:
        """Drop orders that are done, out of date, or not reached in time."""
        for target, progress in list(self._progress.items()):
            want = wanted.get(target)
            if want is None or not want.is_asked_by(progress.order):
                del self._progress[target]
            elif want.state.is_reached(want.announcement):
                self._report("order-reached", progress.order)
                del self._progress[target]
            elif self._is_overdue(progress, now):
                self._progress[target] = self._back_off(progress, now)

    def _is_overdue(self, progress: OrderProgress, now: float) -> bool:
        if progress.phase is Phase.OBEYED:
            return now >= progress.since + self._config.reach_within
        is_sent = progress.phase is Phase.SENT
        return is_sent and now >= progress.since + 2 * self._config.order_timeout

    def _list_due(
        self, wanted: Mapping[TargetName, WantedTarget], now: float
    ) -> Iterator[OrderSend]:
        config = self._config
        for target, progress in list(self._progress.items()):
            if progress.phase is not Phase.READY or now < progress.due_at:
                continue
            want = wanted[target]
            if not self._may_send(want, now):
                continue
            self._quiet_until[target] = now + config.send_within + self._in_flight
            self._progress[target] = replace(progress, phase=Phase.SENT, since=now)
            yield OrderSend(
                want.announcement.address,
                progress.order,
                config.order_timeout,
                now + config.send_within,
            )

    def _may_send(self, want: WantedTarget, now: float) -> bool:
        """Whether no earlier order can still arrive after this one."""
        # Within one fencing number, targets do not tell old orders from new ones.
        if now < self._quiet_until.get(want.announcement.target, 0.0):
            return False
        if want.checks_fencing:
            return True
        return now >= self._fence_since + self._config.send_within + self._in_flight

    @property
    def _in_flight(self) -> float:
        return self._config.order_timeout + self._config.drift

    def _intend(
        self,
        fence: int,
        wanted: Mapping[TargetName, WantedTarget],
        intents: Mapping[TargetName, Order],
        now: float,
    ) -> IntendOrders | None:
        if now < self._waits_until:
            return None
        is_new = now < self._fence_since + self._config.reach_within
        begun = find_begun(wanted, intents) if is_new else set()
        pace = Pace()
        for target in {*self._progress, *begun}:
            pace.take(wanted[target])
        open_ = [
            want
            for target, want in wanted.items()
            if target not in self._progress
            and not want.state.is_reached(want.announcement)
        ]
        # What is under way already needs no leave, and goes first.
        open_.sort(key=lambda want: want.announcement.target not in begun)
        chosen = [
            want
            for want in open_
            if want.announcement.target in begun or pace.allows(want)
        ][: self._config.orders_at_once]
        if not chosen:
            return None
        self._waits_until = now + self._config.decide_within
        orders = tuple(self._make_order(fence, want) for want in chosen)
        self._pending = IntendOrders(orders)
        return self._pending

    def _make_order(self, fence: int, want: WantedTarget) -> Order:
        self._number += 1
        return Order(
            want.announcement.target,
            want.announcement.incarnation,
            fence,
            self._number,
            want.state.models,
            want.state.role,
        )

    def _back_off(self, progress: OrderProgress, now: float) -> OrderProgress:
        failures = progress.failures + 1
        doubled = self._config.retry_first * 2 ** min(failures - 1, 16)
        wait = min(self._config.retry_most, doubled)
        due_at = now + wait * (0.5 + self._rng.random() / 2)
        return replace(
            progress, phase=Phase.READY, due_at=due_at, since=now, failures=failures
        )

    def _report(self, kind: str, order: Order, detail: str = "") -> None:
        text = f"fence {order.fence} number {order.number}"
        text = f"{text}: {detail}" if detail else text
        self._happenings.append(
            Happening(kind, step="order", peer=order.target, detail=text)
        )

    def _finish(
        self, intend: IntendOrders | None, sends: tuple[OrderSend, ...]
    ) -> OrderPlan:
        happenings, self._happenings = tuple(self._happenings), []
        return OrderPlan(intend, sends, happenings)

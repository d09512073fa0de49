"""Decides which orders bring targets to the state that documents describe."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence

from msgspec.structs import replace

from bramleyspread_core import (
    CommandResult,
    Fault,
    Intended,
    IntendOrders,
    Order,
    OrderAnswer,
    ServiceDocument,
    TargetName,
    TargetsReport,
    UnstampedEvent,
    find_backoff_s,
)
from bramleyspread_orders._assignments import (
    TargetAssignment,
    assign_targets,
    find_unfinished,
)
from bramleyspread_orders._config import ReconcilerConfig
from bramleyspread_orders._pace import ChangeLimit
from bramleyspread_orders._plan import OrderPlan, OrderSend
from bramleyspread_orders._progress import OrderPhase, OrderProgress
from bramleyspread_orders._reported_targets import ReportedTargets


class Reconciler:
    """Gives orders to targets whose announced state differs from the documents.

    The control host that holds the lease to give orders is the orderer; the others
    only record reports. ``plan`` must be called on every control host a few times a
    second. Every order carries the orderer's fencing number, and is sent only after
    it is durable.
    """

    __slots__ = (
        "_config",
        "_events",
        "_fence",
        "_fence_since",
        "_last_number",
        "_last_number_fence",
        "_next_proposal_at",
        "_pending_command",
        "_progress",
        "_reported_targets",
        "_rng",
        "_send_blocked_until",
        "_superseded_by",
    )

    def __init__(self, config: ReconcilerConfig, rng: random.Random) -> None:
        self._config = config
        self._rng = rng
        self._reported_targets = ReportedTargets(config.target_lease_s)
        self._fence: int | None = None
        self._fence_since = 0.0
        self._last_number = 0
        #: The fencing number under which ``_last_number`` was used.
        self._last_number_fence = 0
        self._pending_command: IntendOrders | None = None
        self._progress: dict[TargetName, OrderProgress] = {}
        #: Time until which an earlier send to a target can still arrive.
        self._send_blocked_until: dict[TargetName, float] = {}
        #: Highest fencing number of later orderers that targets have reported.
        self._superseded_by = 0
        self._next_proposal_at = 0.0
        self._events: list[UnstampedEvent] = []

    @classmethod
    def from_config(cls, config: ReconcilerConfig, rng: random.Random) -> Reconciler:
        """Create the reconciler of a control host that starts.

        :param config: the settings.
        :param rng: source of the jitter that spreads retries over time.
        :returns: a reconciler without any reported targets.
        """
        return cls(config, rng)

    def handle_report(self, report: TargetsReport, now: float) -> None:
        """Record an entry host's report, whether or not this host is the orderer.

        :param report: the report. Each target must be in one every few seconds; one
            that is in none for ``target_lease_s`` is removed.
        :param now: monotonic seconds.
        """
        self._reported_targets.record(report, now)

    def plan(
        self,
        documents: Sequence[ServiceDocument],
        newest_orders: Sequence[Order],
        fence: int | None,
        now: float,
    ) -> OrderPlan:
        """Decide what to do now.

        :param documents: the documents in force.
        :param newest_orders: the newest committed order of each target.
        :param fence: the fencing number for new orders; None if this host does not
            hold the lease to give orders.
        :param now: monotonic seconds.
        :returns: orders to make durable, orders to send, and events to record.
        """
        self._reported_targets.expire(now)
        self._update_fence(fence, newest_orders, now)
        if fence is None or fence <= self._superseded_by:
            return self._build_plan(None, ())
        if now < self._fence_since + self._config.observation_period_s:
            return self._build_plan(None, ())
        newest = {order.target: order for order in newest_orders}
        assignments = assign_targets(
            documents, self._reported_targets.group_serving_by_pool(), newest
        )
        self._review_progress(assignments, now)
        sends = tuple(self._start_due_sends(assignments, now))
        return self._build_plan(
            self._propose_orders(fence, assignments, newest, now), sends
        )

    def handle_intent_result(
        self, intent_command: IntendOrders, result: CommandResult, now: float
    ) -> None:
        """Process the result of the command in ``OrderPlan.intent_command``.

        :param intent_command: the command.
        :param result: its result. Unless it says that the orders are durable, they
            are never sent, and new ones with higher numbers replace them.
        :param now: monotonic seconds.
        """
        if intent_command != self._pending_command:
            return
        self._pending_command = None
        if not isinstance(result, Intended):
            self._next_proposal_at = now + self._config.first_retry_delay_s
            return
        self._next_proposal_at = now
        for order in intent_command.orders:
            self._progress[order.target] = OrderProgress(
                order, OrderPhase.READY, now, now
            )
            self._record_event("order-intended", order)

    def handle_order_outcome(
        self, order: Order, answer: OrderAnswer | Fault, now: float
    ) -> None:
        """Process the outcome of a send.

        :param order: the order that was sent.
        :param answer: the target's answer, or the fault if there is none.
        :param now: monotonic seconds.
        """
        if isinstance(answer, OrderAnswer) and answer.fence > order.fence:
            self._superseded_by = max(self._superseded_by, answer.fence)
            self._record_event("orderer-superseded", order, str(answer.fence))
        progress = self._progress.get(order.target)
        if (
            progress is None
            or progress.order != order
            or progress.phase != OrderPhase.SENT
        ):
            return
        if isinstance(answer, OrderAnswer) and progress.failures == 0:
            # The order was sent only once and has arrived, so no copy of it is
            # in flight that could arrive after a later order.
            self._send_blocked_until.pop(order.target, None)
        if isinstance(answer, OrderAnswer) and answer.obeyed:
            obeyed = replace(
                progress, phase=OrderPhase.OBEYED, phase_since=now, failures=0
            )
            self._progress[order.target] = obeyed
            self._record_event("order-obeyed", order)
            return
        detail = answer.why if isinstance(answer, OrderAnswer) else str(answer)
        self._record_event("order-failed", order, detail)
        self._progress[order.target] = self._back_off(progress, now)

    def _update_fence(
        self, fence: int | None, newest_orders: Sequence[Order], now: float
    ) -> None:
        if fence == self._fence:
            return
        self._fence = fence
        self._fence_since = now
        self._pending_command = None
        self._next_proposal_at = now
        self._progress.clear()
        if fence is not None and fence != self._last_number_fence:
            # If the same fence is regained, numbering continues, because orders with
            # higher numbers may still be undecided.
            same_fence = [
                order.number for order in newest_orders if order.fence == fence
            ]
            self._last_number = max(same_fence, default=0)
            self._last_number_fence = fence

    def _review_progress(
        self, assignments: Mapping[TargetName, TargetAssignment], now: float
    ) -> None:
        """Drop orders that are obsolete or done; schedule retries of timed-out ones."""
        for target, progress in list(self._progress.items()):
            assignment = assignments.get(target)
            if assignment is None or not assignment.is_requested_by(progress.order):
                del self._progress[target]
            elif assignment.state.is_reached(assignment.announcement):
                self._record_event("order-reached", progress.order)
                del self._progress[target]
            elif self._is_timed_out(progress, now):
                self._progress[target] = self._back_off(progress, now)

    def _is_timed_out(self, progress: OrderProgress, now: float) -> bool:
        if progress.phase is OrderPhase.OBEYED:
            return now >= progress.phase_since + self._config.convergence_timeout_s
        is_sent = progress.phase is OrderPhase.SENT
        return (
            is_sent and now >= progress.phase_since + 2 * self._config.order_timeout_s
        )

    def _start_due_sends(
        self, assignments: Mapping[TargetName, TargetAssignment], now: float
    ) -> Iterator[OrderSend]:
        config = self._config
        for target, progress in list(self._progress.items()):
            if progress.phase is not OrderPhase.READY or now < progress.due_at:
                continue
            assignment = assignments[target]
            if not self._may_send(assignment, now):
                continue
            self._send_blocked_until[target] = (
                now + config.send_window_s + self._max_flight_time_s
            )
            self._progress[target] = replace(
                progress, phase=OrderPhase.SENT, phase_since=now
            )
            yield OrderSend(
                assignment.announcement.address,
                progress.order,
                config.order_timeout_s,
                now + config.send_window_s,
            )

    def _may_send(self, assignment: TargetAssignment, now: float) -> bool:
        """Whether no earlier order can still arrive after one that is sent now."""
        # Targets do not compare the numbers of orders under the same fence.
        if now < self._send_blocked_until.get(assignment.announcement.target, 0.0):
            return False
        if assignment.checks_fencing:
            return True
        # An order that an earlier orderer sent can still arrive, and the target would
        # not refuse it.
        return (
            now
            >= self._fence_since + self._config.send_window_s + self._max_flight_time_s
        )

    @property
    def _max_flight_time_s(self) -> float:
        """Longest time for which an order that was sent can still arrive."""
        return self._config.order_timeout_s + self._config.max_clock_drift_s

    def _propose_orders(
        self,
        fence: int,
        assignments: Mapping[TargetName, TargetAssignment],
        newest_orders: Mapping[TargetName, Order],
        now: float,
    ) -> IntendOrders | None:
        if now < self._next_proposal_at:
            return None
        is_new_orderer = now < self._fence_since + self._config.convergence_timeout_s
        unfinished = (
            find_unfinished(assignments, newest_orders) if is_new_orderer else set()
        )
        limit = ChangeLimit()
        for target in {*self._progress, *unfinished}:
            limit.add(assignments[target])
        unordered = [
            assignment
            for target, assignment in assignments.items()
            if target not in self._progress
            and not assignment.state.is_reached(assignment.announcement)
        ]
        # Targets that may still be working on an earlier order were counted above, so
        # new orders to them skip the limit on changes. They come first when there are
        # more orders than one command may hold.
        unordered.sort(
            key=lambda assignment: assignment.announcement.target not in unfinished
        )
        chosen = [
            assignment
            for assignment in unordered
            if assignment.announcement.target in unfinished or limit.try_add(assignment)
        ][: self._config.max_orders_per_command]
        if not chosen:
            return None
        self._next_proposal_at = now + self._config.commit_timeout_s
        orders = tuple(self._make_order(fence, assignment) for assignment in chosen)
        self._pending_command = IntendOrders(orders)
        return self._pending_command

    def _make_order(self, fence: int, assignment: TargetAssignment) -> Order:
        self._last_number += 1
        return Order(
            assignment.announcement.target,
            assignment.announcement.incarnation,
            fence,
            self._last_number,
            assignment.state.models,
            assignment.state.role,
        )

    def _back_off(self, progress: OrderProgress, now: float) -> OrderProgress:
        failures = progress.failures + 1
        config = self._config
        delay = find_backoff_s(
            config.first_retry_delay_s, failures - 1, config.max_retry_delay_s
        )
        due_at = now + delay * (0.5 + self._rng.random() / 2)
        return replace(
            progress,
            phase=OrderPhase.READY,
            due_at=due_at,
            phase_since=now,
            failures=failures,
        )

    def _record_event(self, kind: str, order: Order, detail: str = "") -> None:
        text = f"fence {order.fence} number {order.number}"
        text = f"{text}: {detail}" if detail else text
        self._events.append(
            UnstampedEvent(kind, step="order", peer=order.target, detail=text)
        )

    def _build_plan(
        self, intent_command: IntendOrders | None, sends: tuple[OrderSend, ...]
    ) -> OrderPlan:
        events, self._events = tuple(self._events), []
        return OrderPlan(intent_command, sends, events)

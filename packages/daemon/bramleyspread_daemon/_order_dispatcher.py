"""Sends a control host's orders to targets after they are durably recorded."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import h11

from bramleyspread_core import (
    Command,
    CommandResult,
    ControlNode,
    Fault,
    IntendOrders,
    MessageError,
    Order,
    OrderAnswer,
    Reason,
    TargetsReport,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._client import (
    ClientConnection,
    ConnectionClosedError,
    RequestNotSentError,
    fetch,
)
from bramleyspread_daemon._clock import ProcessClock, read_monotonic
from bramleyspread_daemon._timeline import TimelineFile
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_orders import OrderSend, Reconciler

#: The path at which targets receive orders.
ORDERS_PATH = "/v1/orders"
#: Timeout for opening a connection to a target.
CONNECT_TIMEOUT_S = 0.25

#: Proposes a command and passes its result to a callback.
Propose = Callable[[Command, Callable[[CommandResult], None]], Awaitable[None]]


class OrderDispatcher:
    """Carries out the reconciler's plans while this host holds the order lease.

    An order tells a target which models and which role to have.
    """

    def __init__(
        self,
        node: ControlNode,
        reconciler: Reconciler,
        propose: Propose,
        timeline: TimelineFile,
        clock: ProcessClock,
    ) -> None:
        self._node = node
        self._reconciler = reconciler
        self._propose = propose
        self._timeline = timeline
        self._clock = clock
        #: Number of orders sent, whether answered or not.
        self.sent = 0

    def receive_report(self, report: TargetsReport) -> None:
        """Handle an entry host's report on targets.

        :param report: the report.
        """
        self._reconciler.handle_report(report, read_monotonic())

    async def run_once(self) -> None:
        """Make a plan and carry it out."""
        now = read_monotonic()
        fence = self._node.get_fencing_number(now)
        documents = [each.document for each in self._node.list_documents()]
        intended_orders = self._node.list_intended_orders()
        plan = self._reconciler.plan(tuple(documents), intended_orders, fence, now)
        for event in plan.events:
            self._timeline.write(event)
        if plan.intent_command is not None:
            await self._propose_intent(plan.intent_command)
        for send in plan.sends:
            await curio.spawn(self._send, send, daemon=True)

    async def _propose_intent(self, command: IntendOrders) -> None:
        def on_result(result: CommandResult) -> None:
            self._reconciler.handle_intent_result(command, result, read_monotonic())

        await self._propose(command, on_result)

    async def _send(self, send: OrderSend) -> None:
        answer = await self._try_send(send)
        now = read_monotonic()
        self._reconciler.handle_order_outcome(send.order, answer, now)

    async def _try_send(self, send: OrderSend) -> OrderAnswer | Fault:
        order = send.order
        try:
            connection = await ClientConnection.open(
                send.address, self._clock, CONNECT_TIMEOUT_S
            )
        except RequestNotSentError as error:
            return _make_fault(order, Reason.CONNECT, str(error))
        try:
            if not self._may_send(send):
                return _make_fault(order, Reason.DEADLINE, "too late to be sent")
            self.sent += 1
            body = encode_json(order)
            response = await timeout_after(
                send.timeout_s, fetch, connection, "POST", ORDERS_PATH, body
            )
            answer: OrderAnswer = decode_json(response.body, OrderAnswer)
        except curio.TaskTimeout:
            return _make_fault(order, Reason.SILENT, f"no answer in {send.timeout_s} s")
        except (RequestNotSentError, ConnectionClosedError) as error:
            return _make_fault(order, Reason.CLOSED, str(error))
        except (MessageError, h11.RemoteProtocolError) as error:
            return _make_fault(order, Reason.PROTOCOL, str(error))
        finally:
            await connection.reset()
        return answer

    def _may_send(self, send: OrderSend) -> bool:
        """Whether the lease and the send deadline still allow the order to be sent."""
        now = read_monotonic()
        fence = self._node.get_fencing_number(now)
        return now <= send.send_before and fence == send.order.fence


def _make_fault(order: Order, reason: Reason, detail: str) -> Fault:
    return Fault(reason, "order", order.target, detail)

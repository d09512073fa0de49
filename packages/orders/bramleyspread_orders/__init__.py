"""Orders that bring targets to the state of the documents."""

from bramleyspread_orders._config import ReconcilerConfig
from bramleyspread_orders._plan import OrderPlan, OrderSend
from bramleyspread_orders._reconciler import Reconciler

__all__ = [
    "OrderPlan",
    "OrderSend",
    "Reconciler",
    "ReconcilerConfig",
]

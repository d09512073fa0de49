"""Reconciliation: orders that bring targets to the state that documents describe."""

from bramleyspread_orders._config import ReconcilerConfig
from bramleyspread_orders._plan import OrderPlan, OrderSend
from bramleyspread_orders._reconciler import Reconciler

__all__ = [
    "OrderPlan",
    "OrderSend",
    "Reconciler",
    "ReconcilerConfig",
]

"""How an engine handles orders, with or without a check of the fencing number."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyspread_core import LoadedModel, Order, OrderAnswer


@dataclass(frozen=True, slots=True)
class OrderSettings:
    """How an engine handles orders."""

    #: Whether orders with an old fencing number are refused.
    checks_fencing: bool = True
    #: Time to load one model, in seconds.
    load_time_s: float = 0.2


class OrderHandler:
    """Handles an engine's orders and holds the models and role that they set."""

    __slots__ = (
        "_incarnation",
        "_loading",
        "_name",
        "_settings",
        "highest_fence",
        "models",
        "role",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        settings: OrderSettings,
        models: tuple[LoadedModel, ...] = (),
        role: str = "",
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._settings = settings
        self._loading: tuple[float, tuple[LoadedModel, ...]] | None = None
        #: Highest fencing number of an obeyed order.
        self.highest_fence = 0
        #: Models ready to serve.
        self.models = models
        #: The current role, such as ``prefill`` or ``generate``.
        self.role = role

    @property
    def checks_fencing(self) -> bool:
        """Whether orders with an old fencing number are refused."""
        return self._settings.checks_fencing

    def handle(self, order: Order, now: float) -> OrderAnswer:
        """Obey an order, or refuse it with a reason.

        :param order: the order.
        :param now: monotonic seconds.
        """
        if order.target != self._name or order.incarnation != self._incarnation:
            return OrderAnswer(
                False, self.highest_fence, "for another target or incarnation"
            )
        if self.checks_fencing and order.fence < self.highest_fence:
            return OrderAnswer(False, self.highest_fence, "its fencing number is old")
        self.highest_fence = max(self.highest_fence, order.fence)
        self.role = order.role or self.role
        self._start_loading(order.models, now)
        return OrderAnswer(True, self.highest_fence)

    def finish_loading(self, now: float) -> None:
        """Make models available whose loading has finished.

        :param now: monotonic seconds.
        """
        if self._loading is not None and self._loading[0] <= now:
            self.models = self._loading[1]
            self._loading = None

    def _start_loading(self, models: tuple[LoadedModel, ...], now: float) -> None:
        if self._loading is not None and self._loading[1] == models:
            return
        missing = [model for model in models if model not in self.models]
        self.models = tuple(model for model in self.models if model in models)
        self._loading = (now + len(missing) * self._settings.load_time_s, models)

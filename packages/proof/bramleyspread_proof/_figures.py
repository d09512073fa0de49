"""Measured figures, with the bound that the target sets for them."""

from __future__ import annotations

import msgspec


class Figure(msgspec.Struct, frozen=True, omit_defaults=True):
    """One measured figure, as one JSON line of ``scripts/bench``.

    >>> Figure.at_most("restart", "ready", 1.2, "s", 2.0).holds
    True
    >>> Figure.at_least("entry", "throughput", 30, "requests/s", 40).holds
    False
    """

    #: The bench that measured it.
    bench: str
    #: What was measured.
    figure: str
    #: How much.
    value: float
    #: The unit of value and bound.
    unit: str
    #: The bound that the target sets; None where it sets none.
    bound: float | None = None
    #: Whether the bound holds; None where there is none.
    holds: bool | None = None

    @classmethod
    def at_most(
        cls, bench: str, figure: str, value: float, unit: str, bound: float
    ) -> Figure:
        """A figure that must not be above its bound.

        :param bench: the bench.
        :param figure: what was measured.
        :param value: how much.
        :param unit: the unit of both.
        :param bound: the bound.
        :returns: the figure, judged.
        """
        return cls(bench, figure, value, unit, bound, value <= bound)

    @classmethod
    def at_least(
        cls, bench: str, figure: str, value: float, unit: str, bound: float
    ) -> Figure:
        """A figure that must not be below its bound.

        :param bench: the bench.
        :param figure: what was measured.
        :param value: how much.
        :param unit: the unit of both.
        :param bound: the bound.
        :returns: the figure, judged.
        """
        return cls(bench, figure, value, unit, bound, value >= bound)

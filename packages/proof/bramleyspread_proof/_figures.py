"""Measured figures and the bounds that the target sets for them."""

from __future__ import annotations

import msgspec


class Figure(msgspec.Struct, frozen=True, omit_defaults=True):
    """A measured figure, which ``scripts/bench`` prints as a JSON line.

    >>> Figure.at_most("restart", "ready", 1.2, "s", 2.0).holds
    True
    >>> Figure.at_least("entry", "throughput", 30, "requests/s", 40).holds
    False
    """

    #: Name of the benchmark that measured it.
    bench: str
    #: Name of the measured quantity.
    figure: str
    #: Measured value.
    value: float
    #: Unit of the value and the bound.
    unit: str
    #: Bound set by the target; None if there is none.
    bound: float | None = None
    #: Whether the value is within the bound; None if there is no bound.
    holds: bool | None = None

    @classmethod
    def at_most(
        cls, bench: str, figure: str, value: float, unit: str, bound: float
    ) -> Figure:
        """Make a figure with an upper bound.

        :param bench: name of the benchmark.
        :param figure: name of the measured quantity.
        :param value: measured value.
        :param unit: unit of the value and the bound.
        :param bound: largest permitted value.
        :returns: the figure, compared with its bound.
        """
        return cls(bench, figure, value, unit, bound, value <= bound)

    @classmethod
    def at_least(
        cls, bench: str, figure: str, value: float, unit: str, bound: float
    ) -> Figure:
        """Make a figure with a lower bound.

        :param bench: name of the benchmark.
        :param figure: name of the measured quantity.
        :param value: measured value.
        :param unit: unit of the value and the bound.
        :param bound: smallest permitted value.
        :returns: the figure, compared with its bound.
        """
        return cls(bench, figure, value, unit, bound, value >= bound)

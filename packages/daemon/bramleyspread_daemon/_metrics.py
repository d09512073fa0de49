"""Metrics in the usual text format."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.formats import text

from bramleyspread_daemon._exchange import Reply

#: Every metric's name begins with this.
PREFIX = "bramleyspread_"


class Metrics:
    """The metrics of one process, filled from its own counts when asked for.

    >>> metrics = Metrics("entry-1")
    >>> metrics.count("requests_total", "Requests.", 3, ended="whole")
    >>> b'ended="whole",host="entry-1"} 3' in metrics.render()
    True
    """

    __slots__ = ("_counters", "_gauges", "_labels", "_registry")

    def __init__(self, host: str) -> None:
        self._registry = Registry()
        self._labels = {"host": host}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}

    def count(self, name: str, what: str, value: float, **labels: str) -> None:
        """Set a counter to what has been counted so far.

        :param name: its name, without the prefix.
        :param what: what it counts.
        :param value: the count.
        :param labels: its labels.
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(PREFIX + name, what, registry=self._registry)
            self._counters[name] = counter
        counter.set({**self._labels, **labels}, value)

    def gauge(self, name: str, what: str, value: float, **labels: str) -> None:
        """Set a gauge.

        :param name: its name, without the prefix.
        :param what: what it measures.
        :param value: the value now.
        :param labels: its labels.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(PREFIX + name, what, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set({**self._labels, **labels}, value)

    def render(self) -> bytes:
        """Write all metrics as text."""
        rendered: bytes = text.TextFormatter().marshall(self._registry)
        return rendered


def send_metrics(metrics: Metrics, reply: Reply) -> None:
    """Answer a scrape.

    :param metrics: the metrics.
    :param reply: the reply.
    """
    kind = ("content-type", "text/plain; version=0.0.4; charset=utf-8")
    reply.send(200, metrics.render(), (kind,))

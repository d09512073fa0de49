"""Metrics in the Prometheus text format."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.formats import text

from bramleyspread_daemon._exchange import Reply

#: Prefix of all metric names.
PREFIX = "bramleyspread_"


class Metrics:
    """The metrics of one process, filled from its counters on each scrape.

    >>> metrics = Metrics("entry-1")
    >>> metrics.set_counter("requests_total", "Requests.", 3, ended="whole")
    >>> b'ended="whole",host="entry-1"} 3' in metrics.render()
    True
    """

    __slots__ = ("_counters", "_gauges", "_labels", "_registry")

    def __init__(self, host: str) -> None:
        self._registry = Registry()
        self._labels = {"host": host}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}

    def set_counter(
        self, name: str, help_text: str, value: float, **labels: str
    ) -> None:
        """Set a counter.

        :param name: the name without the prefix.
        :param help_text: the metric's help text.
        :param value: the current count.
        :param labels: the labels.
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(PREFIX + name, help_text, registry=self._registry)
            self._counters[name] = counter
        counter.set({**self._labels, **labels}, value)

    def set_gauge(self, name: str, help_text: str, value: float, **labels: str) -> None:
        """Set a gauge.

        :param name: the name without the prefix.
        :param help_text: the metric's help text.
        :param value: the current value.
        :param labels: the labels.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(PREFIX + name, help_text, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set({**self._labels, **labels}, value)

    def render(self) -> bytes:
        """Render all metrics as text."""
        rendered: bytes = text.TextFormatter().marshall(self._registry)
        return rendered


def send_metrics(metrics: Metrics, reply: Reply) -> None:
    """Answer a scrape request.

    :param metrics: the metrics.
    :param reply: the reply to send them with.
    """
    content_type = ("content-type", "text/plain; version=0.0.4; charset=utf-8")
    reply.send(200, metrics.render(), (content_type,))

"""Metrics of an entry host by availability zone."""

from __future__ import annotations

from bramleyspread_capacity import ZoneCapacity
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._metrics import Metrics
from bramleyspread_daemon.forward._context import ForwardContext


def fill_zone_metrics(metrics: Metrics, context: ForwardContext) -> None:
    """Fill in the metrics of all zones with known targets.

    :param metrics: the metrics.
    :param context: the state of the host.
    """
    now = read_monotonic()
    for capacity in context.capacities.measure():
        _fill_capacity(metrics, capacity)
        share = context.slow_starts.find_share(capacity.service, capacity.zone, now)
        labels = {"service": capacity.service, "zone": capacity.zone}
        text = "Part of its usual work that the zone may get."
        metrics.set_gauge("zone_ramp", text, share, **labels)
    signals = context.signals
    for zone, number in signals.drains.kept_counts.items():
        text = "Choices for requests and jobs that left out the drained zone."
        metrics.set_counter("zone_held_back_total", text, number, zone=zone)
    for reason, number in signals.withdrawal_counts.items():
        text = "Choices of a target that did not hold when it was to be used."
        metrics.set_counter("withdrawn_choices_total", text, number, reason=reason)
    revision = context.targets.drains.revision
    metrics.set_gauge("drains_revision", "Zone drains obeyed.", revision)


def _fill_capacity(metrics: Metrics, capacity: ZoneCapacity) -> None:
    labels = {"service": capacity.service, "zone": capacity.zone}
    text = "Targets by what restricts them."
    metrics.set_gauge("zone_targets", text, capacity.usable, state="usable", **labels)
    for restriction, number in capacity.restricted.items():
        metrics.set_gauge(
            "zone_targets", text, number, state=restriction.value, **labels
        )
    text = "Calls that the targets which get work process at once."
    metrics.set_gauge("zone_calls", text, capacity.calls, **labels)
    text = "Requests a second that rate limits and warm-ups allow, all hosts together."
    metrics.set_gauge("zone_limited_rate", text, capacity.limited_rate, **labels)

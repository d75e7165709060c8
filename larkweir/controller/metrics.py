"""Gauges in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "larkweir_"


@dataclass(frozen=True, slots=True)
class Metric:
    """One value of a gauge. Values with the same name must have the same label names.

    The output prefixes the name with `larkweir_`.
    """

    name: str
    help: str
    value: float
    labels: dict[str, str] = field(default_factory=dict)


def encode(metrics: Iterable[Metric]) -> bytes:
    """Returns all values in the Prometheus text format, with gauges in the order of their first value."""
    # Imported here so that a controller without monitoring does not load the library.
    from prometheus_client import CollectorRegistry, Gauge, generate_latest

    collectors = CollectorRegistry()
    gauges: dict[str, Gauge] = {}
    for metric in metrics:
        if metric.name not in gauges:
            gauges[metric.name] = Gauge(
                PREFIX + metric.name, metric.help, tuple(metric.labels), registry=collectors
            )
        gauge = gauges[metric.name]
        (gauge.labels(**metric.labels) if metric.labels else gauge).set(float(metric.value))
    return bytes(generate_latest(collectors))

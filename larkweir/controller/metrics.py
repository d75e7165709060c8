"""Gauges in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "larkweir_"


@dataclass(frozen=True, slots=True)
class Metric:
    """One value of a gauge; its name is prefixed with `larkweir_`. Those of one name have the same labels."""

    name: str
    help: str
    value: float
    labels: dict[str, str] = field(default_factory=dict)


def encode(metrics: Iterable[Metric]) -> bytes:
    """All values, by gauge in the order in which each comes first."""
    # Imported here: a controller that nobody monitors starts without it.
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

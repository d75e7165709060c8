"""Factories of roll-outs, documents and reports for tests."""

from __future__ import annotations

from typing import Any

import msgspec
from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry
from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples
from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.configuration.rollouts import with_rollouts

ORDERED_UNIX_MS = 1_764_771_837_000.0


def rollout(**fields: Any) -> Rollout:
    return msgspec.structs.replace(Rollout("s", "v2", 12.0, ORDERED_UNIX_MS), **fields)


def document(*rollouts: Rollout) -> Document:
    return with_rollouts({"generation": 1, "routes": [], "services": []}, rollouts)


def report(
    order: Rollout, answered: int, failed: int = 0, *, others: int = 0, others_in_flight: int = 0
) -> RolloutReport:
    """A router's report with these counts for the target, and successful answers of the other versions."""
    return RolloutReport(
        order.order_id,
        TrackSamples(routes={"r": RouteSamples(answered, failed)}),
        TrackSamples(others_in_flight, {"r": RouteSamples(others)}),
    )


def versioned(registry: Registry, **versions: str) -> Registry:
    """Adds ready upstreams of service `s`, given as version by id."""
    for id_, version in versions.items():
        found = version or msgspec.UNSET
        registry.update(Upstream(id_, "s", "127.0.0.1:1", "z", reported_version=found), 0.0)
    return registry

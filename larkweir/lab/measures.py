"""What a run measures: requests by outcome, class, tenant and time, latencies, and the result made of them. Pure
logic.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from larkweir.lab.scenario import Class, Scenario
from larkweir.lab.servers import Server

BUCKET_MS = 250.0  # of the time line
ASKED, IN_TIME, ATTEMPTS = range(3)  # places in a bucket of the time line; rows of classes have the first two


class Measures:
    """Counts of one run. Requests that began before `warm_ms` are in the time line alone."""

    def __init__(self, scenario: Scenario, classes: Sequence[Class], span_ms: float, warm_ms: float) -> None:
        self._span_ms, self._warm_ms = span_ms, warm_ms
        self._classes, self._tenants = classes, scenario.tenants
        self.by_class = {row.name: [0, 0] for row in classes}  # asked, in time
        self.by_tenant = {row.name: [0, 0] for row in scenario.tenants}
        self.counts = dict.fromkeys(("asked", "served", "in_time", "refused", "attempts"), 0)
        self.line = [[0, 0, 0] for _ in range(math.ceil(span_ms / BUCKET_MS) + 1)]  # asked, in time, attempts
        self.latency = HdrHistogram(1, 100_000_000, 3)  # microseconds
        self.ran_twice = 0  # unsafe requests that took effect more than once
        self._sent = self._crossed = 0  # calls; of these, to another zone

    def asked(self, began_ms: float, kind: tuple[int, int]) -> None:
        """A client has sent a request; `kind` is its class and its tenant."""
        self._count("asked", began_ms)
        self._note(began_ms, kind, ASKED)
        self.line[int(began_ms / BUCKET_MS)][ASKED] += 1

    def attempted(self, began_ms: float) -> None:
        """A call was sent for a client's request that began then."""
        self._count("attempts", began_ms)
        self.line[int(began_ms / BUCKET_MS)][ATTEMPTS] += 1

    def served(self, began_ms: float, kind: tuple[int, int], spent_ms: float, in_time: bool) -> None:
        """A client has its answer."""
        self._count("served", began_ms)
        if in_time:
            self._count("in_time", began_ms)
            self._note(began_ms, kind, IN_TIME)
            self.line[int(began_ms / BUCKET_MS)][IN_TIME] += 1
        if began_ms >= self._warm_ms:
            self.latency.record_value(max(1, round(spent_ms * 1000.0)))

    def refused(self, began_ms: float) -> None:
        """A client has given its request up."""
        self._count("refused", began_ms)

    def sent(self, crosses: bool) -> None:
        """A call was sent, of a client's request or of a server's; `crosses`: to another zone."""
        self._sent, self._crossed = self._sent + 1, self._crossed + crosses

    def _count(self, name: str, began_ms: float) -> None:
        if began_ms >= self._warm_ms:
            self.counts[name] += 1

    def _note(self, began_ms: float, kind: tuple[int, int], place: int) -> None:
        if began_ms >= self._warm_ms:
            cls, tenant = kind
            self.by_class[self._classes[cls].name][place] += 1
            if self.by_tenant:
                self.by_tenant[self._tenants[tenant].name][place] += 1

    def result(self, servers: Sequence[Server], tiers: int, unstable: str) -> dict[str, Any]:
        """The run's result, as it is stored and reported. None where there was nothing to measure."""
        counts, latency = self.counts, self.latency
        some = latency.get_total_count() > 0
        quantiles = {
            f"p{name}": latency.get_value_at_percentile(value) / 1000.0 if some else None
            for name, value in (("50", 50.0), ("90", 90.0), ("99", 99.0), ("999", 99.9))
        }
        busy = [server.work_ms / self._span_ms / server.slots for server in servers]
        return {
            "in_time": _share(counts["asked"], counts["in_time"]),
            "served": _share(counts["asked"], counts["served"]),
            "refused": _share(counts["asked"], counts["refused"]),
            "attempts": _share(counts["asked"], counts["attempts"]),
            "mean_ms": round(latency.get_mean_value() / 1000.0, 4) if some else None,
            **quantiles,
            "asked": counts["asked"],
            "busiest": round(max(busy), 4),
            "calls": [server.calls for server in servers],
            "last_calls": self._last_calls(servers, tiers),
            "worth": self._worth(),
            "by_class": {name: _share(*row) for name, row in self.by_class.items()},
            "by_tenant": {name: _share(*row) for name, row in self.by_tenant.items()},
            "crossed": _share(self._sent, self._crossed),
            "ran_twice": self.ran_twice,
            "line": self.line,
            "latency": latency.encode().decode(),
            "unstable": unstable,
        }

    def _worth(self) -> float | None:
        """Of the worth that was asked for, the part that was served in time."""
        rows = [(row.worth, *self.by_class[row.name]) for row in self._classes]
        asked = sum(worth * count for worth, count, _ in rows)
        return round(sum(worth * good for worth, _, good in rows) / asked, 6) if asked else None

    def _last_calls(self, servers: Sequence[Server], tiers: int) -> float | None:
        """Calls of the last tier for each request that a client sent."""
        asked = sum(row[ASKED] for row in self.line)
        return _share(asked, sum(server.calls for server in servers if server.tier == tiers - 1))


def _share(asked: int, good: int) -> float | None:
    return round(good / asked, 6) if asked else None

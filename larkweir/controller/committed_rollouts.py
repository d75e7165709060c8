"""The roll-outs of the newest committed configuration, since when each is as it is, and for how long each has run."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.configuration.rollouts import rollouts_of
from larkweir.cluster.messages import RolloutAge

CATCH_UP_MS = 1_000.0  # after the start and a loss of contact, until commits arrive as they are made


@dataclass(frozen=True, slots=True)
class CommittedRollout:
    """One roll-out as it was committed.

    Attributes:
        rollout: its state.
        sequence: of the first configuration that has it in this state.
        ordered_ms: when it was ordered, by the steady clock of this process.
        is_estimate: `ordered_ms` was told from the time of day.
        is_learned_late: this process may not have known of the order when it was placed.
    """

    rollout: Rollout
    sequence: int
    ordered_ms: float
    is_estimate: bool
    is_learned_late: bool

    def elapsed_s(self, now_ms: float) -> float:
        """Since the order; never negative."""
        return max(0.0, now_ms - self.ordered_ms) / 1000.0


class CommittedRollouts:
    """What this controller knows as committed. Times are milliseconds that only rise, but for those of the day.

    An order counts from the moment at which this process learned of it. Where that may have been late, at the start and
    after a loss of contact, its age is that which other controllers tell, who have known it all along; until then, and
    where there is none, it is told from the time of day, which may jump.
    """

    def __init__(self) -> None:
        """No roll-out is known."""
        self._by_service: dict[str, CommittedRollout] = {}
        self._outdated_until_ms = math.inf

    def mark_outdated(self, now_ms: float) -> None:
        """This controller may miss what is committed at present: what it learns soon may be older."""
        if self._outdated_until_ms < math.inf:
            self._outdated_until_ms = now_ms + CATCH_UP_MS

    def update(self, document: Document, sequence: int, now_ms: float, unix_ms: float) -> None:
        """A configuration was committed under that sequence number. `unix_ms`: the time of day."""
        is_late = now_ms < self._outdated_until_ms
        if self._outdated_until_ms == math.inf:
            self._outdated_until_ms = now_ms + CATCH_UP_MS
        known, self._by_service = self._by_service, {}
        for rollout in rollouts_of(document):
            before = known.get(rollout.service)
            if before is not None and before.rollout == rollout:
                self._by_service[rollout.service] = before
                continue
            if before is not None and before.rollout.order_id == rollout.order_id:
                self._by_service[rollout.service] = replace(before, rollout=rollout, sequence=sequence)
                continue
            ordered_ms = now_ms - (_age_ms(rollout, unix_ms) if is_late else 0.0)
            self._by_service[rollout.service] = CommittedRollout(
                rollout, sequence, ordered_ms, is_estimate=is_late, is_learned_late=is_late
            )

    def ages(self, now_ms: float) -> dict[str, RolloutAge]:
        """Of the running ones, by service, without those that are estimates."""
        return {
            known.rollout.service: RolloutAge(known.rollout.order_id, max(0.0, now_ms - known.ordered_ms))
            for known in self.running()
            if not known.is_estimate
        }

    def adopt_ages(self, ages: Mapping[str, RolloutAge], now_ms: float) -> None:
        """Another controller tells these: the oldest counts, as an order is learned of after it was placed."""
        for service, age in ages.items():
            known = self._by_service.get(service)
            if known is None or known.rollout.order_id != age.order_id:
                continue
            ordered_ms = now_ms - age.elapsed_ms
            if known.is_estimate or ordered_ms < known.ordered_ms:
                self._by_service[service] = replace(known, ordered_ms=ordered_ms, is_estimate=False)

    def of(self, service: str) -> Rollout | None:
        """The latest roll-out of a service; None where there was none."""
        found = self._by_service.get(service)
        return found.rollout if found is not None else None

    def all(self) -> list[CommittedRollout]:
        """The latest of each service that has had any."""
        return list(self._by_service.values())

    def running(self) -> list[CommittedRollout]:
        """Those that are neither completed nor rolled back."""
        return [known for known in self._by_service.values() if known.rollout.is_running]


def _age_ms(rollout: Rollout, unix_ms: float) -> float:
    """Since the order, by the time of day."""
    return min(max(0.0, unix_ms - rollout.ordered_unix_ms), rollout.duration_s * 1000.0)

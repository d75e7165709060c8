"""Roll-outs of the newest committed configuration: when each entered its current state and how long it has run."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.configuration.rollouts import rollouts_of
from larkweir.cluster.messages import RolloutAge

# Commits that arrive this soon after a start or a loss of contact may have been made earlier. After that, commits
# arrive as they are made.
CATCH_UP_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class CommittedRollout:
    """One committed roll-out.

    Attributes:
        rollout: the committed state.
        sequence: sequence number of the first configuration that contains the roll-out in this state.
        ordered_ms: when the roll-out was ordered, by the monotonic clock of this process.
        is_estimate: `ordered_ms` was computed from the wall clock.
        is_learned_late: this process may have learned of the order some time after it was placed.
    """

    rollout: Rollout
    sequence: int
    ordered_ms: float
    is_estimate: bool
    is_learned_late: bool

    def elapsed_s(self, now_ms: float) -> float:
        """Returns the seconds since the order; never negative."""
        return max(0.0, now_ms - self.ordered_ms) / 1000.0


class CommittedRollouts:
    """The committed roll-outs that this controller knows of, by service.

    Times are milliseconds of the monotonic clock, except `unix_ms`, which is wall-clock time.

    The age of an order counts from the moment at which this process learned of it. After a start or a loss of contact
    that moment may be late. The age is then taken from other controllers that have known the order since it was placed.
    Until one of them reports an age, the age is estimated from the wall clock, which may jump.
    """

    def __init__(self) -> None:
        """Starts without any roll-outs."""
        self._by_service: dict[str, CommittedRollout] = {}
        self._outdated_until_ms = math.inf

    def mark_outdated(self, now_ms: float) -> None:
        """Records that this controller may have missed commits: orders learned of within `CATCH_UP_MS` may be older."""
        if self._outdated_until_ms < math.inf:
            self._outdated_until_ms = now_ms + CATCH_UP_MS

    def update(self, document: Document, sequence: int, now_ms: float, unix_ms: float) -> None:
        """Records the roll-outs of a newly committed configuration. `unix_ms`: the wall-clock time."""
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
        """Returns the ages of running roll-outs by service, except those that are estimates."""
        return {
            known.rollout.service: RolloutAge(known.rollout.order_id, max(0.0, now_ms - known.ordered_ms))
            for known in self.running()
            if not known.is_estimate
        }

    def adopt_ages(self, ages: Mapping[str, RolloutAge], now_ms: float) -> None:
        """Adopts ages that another controller reports.

        An estimate is always replaced. Otherwise the highest age is kept: a controller can only learn of an order after
        it was placed, so that the age that it reports is never too high.
        """
        for service, age in ages.items():
            known = self._by_service.get(service)
            if known is None or known.rollout.order_id != age.order_id:
                continue
            ordered_ms = now_ms - age.elapsed_ms
            if known.is_estimate or ordered_ms < known.ordered_ms:
                self._by_service[service] = replace(known, ordered_ms=ordered_ms, is_estimate=False)

    def of(self, service: str) -> Rollout | None:
        """Returns the latest roll-out of a service; None if it has had none."""
        found = self._by_service.get(service)
        return found.rollout if found is not None else None

    def all(self) -> list[CommittedRollout]:
        """Returns the latest roll-out of each service that has had one."""
        return list(self._by_service.values())

    def running(self) -> list[CommittedRollout]:
        """Returns the roll-outs that are neither completed nor rolled back."""
        return [known for known in self._by_service.values() if known.rollout.is_running]


def _age_ms(rollout: Rollout, unix_ms: float) -> float:
    """Returns the time since the order by the wall clock, limited to the range from 0 to the roll-out's duration."""
    return min(max(0.0, unix_ms - rollout.ordered_unix_ms), rollout.duration_s * 1000.0)

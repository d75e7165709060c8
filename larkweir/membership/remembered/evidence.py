"""Confidence that an upstream is still there, from evidence and its age. Pure logic.

It rests on what was seen of an upstream itself, not on a file's date. Between two processes upstreams come and go at a
rate that the process before has seen: with `gone` of them lost in `exposure_ms` of upstream-time, and a prior of one in
a day, the odds that one is still there after `age_ms` are those of a gamma-distributed rate (Lomax):
(exposure / (exposure + age)) ** gone. A fleet that changes daily is believed for hours, one that never does for days.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

HOUR_MS = 3_600_000.0
DAY_MS = 24.0 * HOUR_MS
MAX_AGE_MS = 30.0 * DAY_MS  # past which an address says nothing, however quiet the fleet was: leases run out
MEMORY_MS = 7.0 * DAY_MS  # of upstream-time, in which what was seen of coming and going counts
UNKNOWN_AGE_MS = HOUR_MS  # assumed at the least where the age of a list is not known


class EvidenceKind(IntEnum):
    """What shows that an upstream was there. The numbers are stored on disk, and never reused."""

    LISTED = 0  # discovery named it
    PROBED = 1  # it answered a probe
    ANSWERED = 2  # it served a request
    SHOWN = 3  # it said which one it is


# The confidence in each while it is new. A list may be behind what it lists; a server may answer probes and serve
# nothing, or serve at an address that has become another's.
INITIAL_CONFIDENCE = {
    EvidenceKind.LISTED: 0.7,
    EvidenceKind.PROBED: 0.8,
    EvidenceKind.ANSWERED: 0.95,
    EvidenceKind.SHOWN: 1.0,
}


class Source(IntEnum):
    """Where a list comes from."""

    STORED = 0  # persisted by an earlier process of this balancer
    CONFIGURED = 1  # given by the configuration: of an unknown age


class Churn(NamedTuple):
    """What was seen of coming and going, with one loss in one day assumed beforehand."""

    gone: float = 0.0
    exposure_ms: float = 0.0

    def after(self, gone: int, upstreams: int, span_ms: float) -> Churn:
        """With `gone` of `upstreams` lost in `span_ms` more; what lies far back fades."""
        exposure = self.exposure_ms + upstreams * max(0.0, span_ms)
        # Fades by the whole fleet's time: a large fleet tells as much in a day as a small one in a month.
        max_exposure = MEMORY_MS * max(1, upstreams)
        fraction = min(1.0, max_exposure / exposure) if exposure > 0.0 else 1.0
        return Churn((self.gone + gone) * fraction, exposure * fraction)

    def survival_odds(self, age_ms: float) -> float:
        """The odds that an upstream seen `age_ms` ago is still there."""
        exposure = self.exposure_ms + DAY_MS
        return float((exposure / (exposure + max(0.0, age_ms))) ** (self.gone + 1.0))


NEVER_SEEN = Churn()


class Evidence(NamedTuple):
    """What is known of one upstream, beside its row in the list. Times are the clock's milliseconds; 0: never."""

    listed_ms: float = 0.0  # when discovery last listed it
    served_ms: float = 0.0  # when it last served, answered a probe, or identified itself
    kind: EvidenceKind = EvidenceKind.LISTED  # of the last time that it served


def confidence(evidence: Evidence, churn: Churn, source: Source, is_uncertain: bool, now_ms: float) -> float:
    """How likely the upstream is still there, from 0 to 1. `is_uncertain`: how the clocks of the two processes relate
    is not known.
    """
    best = 0.0
    for at, kind in ((evidence.listed_ms, EvidenceKind.LISTED), (evidence.served_ms, evidence.kind)):
        if at <= 0.0 and source is Source.STORED:
            continue
        age = now_ms - at
        if is_uncertain or source is Source.CONFIGURED or age < 0.0:
            age = max(age if at > 0.0 else 0.0, UNKNOWN_AGE_MS)
        if age >= MAX_AGE_MS:
            continue
        best = max(best, INITIAL_CONFIDENCE[kind] * churn.survival_odds(age) * (1.0 - age / MAX_AGE_MS))
    # With an uncertain clock an age is a guess, so that a probe comes before anything is sent.
    return best * (0.5 if is_uncertain else 1.0)


REFUSED = 0.25  # left of the confidence in one that refuses a connection: two in a row end its use
FAILED = 0.5  # left of it in one that is there, and did not do what was asked


def after_failure(value: float, refused: bool) -> float:
    """What a failure leaves of a confidence."""
    return value * (REFUSED if refused else FAILED)

"""What a restarted process may use of the state that its predecessor has stored. Pure logic."""

from __future__ import annotations

from typing import Any, NamedTuple

from larkweir.membership.remembered.evidence import Churn, Evidence, EvidenceKind
from larkweir.store.state import StoredState

MAX_LEARNED_AGE_MS = (
    60_000.0  # of what the decisions have learned: older, it does not describe the present load
)
CLOCK_TOLERANCE_MS = 5_000.0  # by which the clocks of two processes may differ without a warning


class RecoverableState(NamedTuple):
    """What a restarted process goes on from. Times are milliseconds of its own clock."""

    listing: dict[str, Any]  # the list, in discovery's form; empty: none
    source: str  # discovery's address
    drains: dict[str, float]  # since when each upstream drains
    request_ids: list[tuple[str, float]]  # not to be run again, each with the time from which its span counts
    learned: dict[str, Any]
    warnings: tuple[str, ...]  # what was not used, and why
    evidence: dict[str, Evidence]  # of each upstream in the list
    churn: Churn
    is_clock_uncertain: bool  # ages are not known


def recoverable_state(
    state: StoredState, now_ms: float, span_ms: float, boot: tuple[str, float] = ("", 0.0)
) -> RecoverableState:
    """What may be used at `now_ms`, where request ids are retained for `span_ms`. `boot` is this process's, in the form
    of `StoredState.boot`.

    What prevents a second execution is used for as long as it may matter, whatever the clock reads; what is only an
    optimization is used while it is fresh. If the machine has not rebooted since, the time since boot shows by how much
    the system clock was set, in either direction, and all ages are known. If it has rebooted and the clock has gone
    back, they are not: then nothing that ages counts as fresh, and everything that prevents counts as new.
    """
    warnings = []
    shift = 0.0
    if boot[0] and boot[0] == state.boot[0] and abs(boot[1] - state.boot[1]) > CLOCK_TOLERANCE_MS:
        shift = boot[1] - state.boot[1]
        warnings.append(
            f"the clock has been set by {shift / 1000.0:.0f} s; ages are those of the machine's own"
        )
    went_back = state.clock_ms + shift > now_ms + CLOCK_TOLERANCE_MS
    if went_back:
        warnings.append(f"the clock has gone back by {(state.clock_ms - now_ms) / 1000.0:.0f} s")
    if state.passed_over:
        warnings.append(f"{state.passed_over} records did not fit")
    is_stale = went_back or now_ms - (state.learned_ms + shift) > MAX_LEARNED_AGE_MS
    if is_stale and state.learned:
        warnings.append("what was learned is too old to go by")
    listing: dict[str, Any] = {}
    if state.listed:
        listing = {"generation": state.generation, "reset": True, "instances": list(state.listed.values())}
    return RecoverableState(
        listing=listing,
        source=state.source,
        drains={name: min(max(0.0, since + shift), now_ms) for name, since in state.drains.items()},
        request_ids=_request_ids(state, now_ms, span_ms, shift, went_back),
        learned={} if is_stale else _without_credit(state.learned),
        warnings=tuple(warnings),
        evidence=_evidence(state, shift),
        churn=state.churn,
        is_clock_uncertain=went_back,
    )


def _request_ids(
    state: StoredState, now_ms: float, span_ms: float, shift: float, went_back: bool
) -> list[tuple[str, float]]:
    ids = []
    for trace, item in state.open.items():
        last = max(item.began_ms, item.ended_ms) + shift
        # Open at the crash: it may still be running. Its span counts from now on.
        if not item.ended_ms or went_back:
            last = now_ms
        if last + max(item.span_ms, span_ms) > now_ms:
            ids.append((trace, min(last, now_ms)))
    return ids


def _without_credit(learned: dict[str, Any]) -> dict[str, Any]:
    """A copy without the credit: whether it was spent before the crash is not known."""
    return {**learned, "credit": 0.0} if "credit" in learned else dict(learned)


def _evidence(state: StoredState, shift: float) -> dict[str, Evidence]:
    found = {}
    answered_ms = state.answered_ms + shift if state.answered_ms else 0.0
    for name in state.listed:
        at, kind = state.served.get(name, (0.0, EvidenceKind.LISTED))
        found[name] = Evidence(answered_ms, at + shift if at else 0.0, kind)
    return found

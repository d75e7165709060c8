"""`members`: the list that a balancer would start from, with ages and trust. Not its lock: reading changes
nothing.
"""

from __future__ import annotations

import sys
import time

from larkweir_balancing.restored_trust import DIRECT_SEND_CONFIDENCE, MIN_CONFIDENCE

from larkweir.cli.state import BAD, WELL, read_store
from larkweir.membership.remembered.evidence import DAY_MS, HOUR_MS, Source, confidence
from larkweir.store.recoverable_state import recoverable_state
from larkweir.store.recovery import recover
from larkweir.store.state_store import read_boot


def _ago(at_ms: float, now_ms: float) -> str:
    if not at_ms:
        return "never"
    age = now_ms - at_ms
    for unit, span in (("d", DAY_MS), ("h", HOUR_MS), ("min", 60_000.0)):
        if abs(age) >= span:
            return f"{age / span:.1f}{unit}"
    return f"{age / 1000.0:.0f}s"


def members(folder: str, verify: bool) -> int:
    """Print the list, or with `verify` only its faults; 0 is well, 2 where it is bad or none is there."""
    try:
        found, site = read_store(folder)
    except OSError as problem:
        print(f"{folder}: {problem.strerror or problem}", file=sys.stderr)
        return BAD
    if not found:
        print(f"{folder}: no store is here", file=sys.stderr)
        return BAD
    recovered = recover(found, site)
    for fault in recovered.faults:
        print(f"{folder}: {fault}", file=sys.stderr)
    if verify:
        return BAD if recovered.faults else WELL
    now = time.time() * 1000.0
    told = recoverable_state(recovered.state, now, 0.0, read_boot(now))
    held = told.listing or {"generation": 0, "instances": []}
    print(f"generation {held['generation']} of {told.source or 'nobody'}: {len(held['instances'])} upstreams")
    stays, gone = told.churn.survival_odds(HOUR_MS), told.churn.gone
    print(f"one that is seen is there an hour later with odds of {stays:.2f} ({gone:.0f} went lately)")
    for warning in told.warnings:
        print(f"doubt: {warning}")
    if held["instances"]:
        print(
            f"{'id':<24} {'address':<22} {'zone':<10} {'word':<8} {'heard':>8} {'proved':>8} {'how':<9} trust"
        )
    for row in held["instances"]:
        known = told.evidence[row["instanceId"]]
        value = confidence(known, told.churn, Source.STORED, told.is_clock_uncertain, now)
        use = (
            "not used"
            if value < MIN_CONFIDENCE
            else "sent to"
            if value >= DIRECT_SEND_CONFIDENCE
            else "probed first"
        )
        print(
            f"{row['instanceId']:<24.60} {row['hostPort']:<22} {row.get('zone', ''):<10.40} {row['lifecycle']:<8} "
            f"{_ago(known.listed_ms, now):>8} {_ago(known.served_ms, now):>8} {known.kind.name.lower():<9} "
            f"{value:.2f} {use if row['lifecycle'] == 'active' else 'drains'}"
        )
    return BAD if recovered.faults and not held["instances"] else WELL

"""Which requests may be sent to a restored server: one loaded from disk that discovery has not listed since the start.

Three properties are separate: the probability that the server is still there (`confidence`); what this process has
observed of it (`evidence`); and whether its identity and location are verified (`is_verified`, `has_location`), since
its address may belong to another server by now. A safe request to the wrong server costs only an attempt. A request
with side effects would take effect in the wrong place, so it is sent only to a verified server. Servers that discovery
lists have no `RestoredTrust`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from larkweir_balancing.settings import Effect, Group, RequestClass


class ObservedEvidence(IntEnum):
    """What has been observed of a restored server by this process; a later member includes those before it."""

    NOTHING = 0
    PROBE = 1  # it has answered a probe
    ANSWER = 2  # it has served a request


class RestoredTrust(NamedTuple):
    """What is known of a restored server."""

    confidence: float  # 0 to 1: the probability that it is still there
    evidence: ObservedEvidence = ObservedEvidence.NOTHING
    is_verified: bool = False  # it has proved that it is the server that was listed
    has_location: bool = False  # it has also proved its zone and cell
    probe_pending: bool = False  # a probe of it is in flight or due


MIN_CONFIDENCE = 0.1  # under which a server is not used at all
# Confidence from which a safe request is sent without waiting for a probe. It will probably be served, and waiting for
# a probe would add a round trip to each request.
DIRECT_SEND_CONFIDENCE = 0.5
# Own requests in flight at once, by evidence. A server that is no longer there costs each of them an attempt. A server
# that answers probes but fails requests shows this with the first few.
MAX_IN_FLIGHT = {ObservedEvidence.NOTHING: 1, ObservedEvidence.PROBE: 4}


def is_trusted(cls: RequestClass, trust: RestoredTrust) -> bool:
    """Whether a request of this class may be sent to the server if none is in flight there."""
    if trust.confidence < MIN_CONFIDENCE:
        return False
    if cls.effect is Effect.SAFE:
        # If no probe is pending, a safe request serves as one.
        return (
            trust.evidence > ObservedEvidence.NOTHING
            or trust.confidence >= DIRECT_SEND_CONFIDENCE
            or not trust.probe_pending
        )
    if not trust.is_verified or trust.evidence is ObservedEvidence.NOTHING:
        return False
    if cls.effect is Effect.KEYED and cls.group is not Group.ALL:
        # Duplicates are dropped only within the zone or cell, so the location must be certain.
        return trust.has_location
    return True


def is_admitted(cls: RequestClass, trust: RestoredTrust, in_flight: int) -> bool:
    """Whether a request of this class may be sent to the server now, with `in_flight` own requests there."""
    return in_flight < MAX_IN_FLIGHT.get(trust.evidence, in_flight + 1) and is_trusted(cls, trust)


def may_become_trusted(cls: RequestClass, trust: RestoredTrust) -> bool:
    """Whether the server is trusted with a request of this class, or may be after a pending probe."""
    return trust.confidence >= MIN_CONFIDENCE and (trust.probe_pending or is_trusted(cls, trust))

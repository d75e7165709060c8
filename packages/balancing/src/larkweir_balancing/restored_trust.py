"""What may be sent to a server that is only restored from disk: discovery has not listed it since this process started.

Three things are kept apart: how likely it is that the server is still there (`confidence`); what has been observed
of it since the start (`evidence`); and whether it has shown what it is (`is_verified`, `has_location`), since an
address may belong to another server by now. A safe request to an unverified server costs an attempt. One with an
effect would do its work at the wrong place: it is sent only to a verified one. Servers that discovery lists have no
`RestoredTrust`.
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
    is_verified: bool = False  # it has shown that it is the listed one
    has_location: bool = False  # and in which zone and cell it is
    probe_pending: bool = False  # a probe of it is in flight or due


MIN_CONFIDENCE = 0.1  # under which a server is not used at all
# From which a safe request is tried there at once: more likely than not it is served, and a probe first would cost each
# the time of one call.
DIRECT_SEND_CONFIDENCE = 0.5
# Own calls out at once, by what was seen. A server that is not there costs each of them an attempt; one that answers
# probes and fails requests shows that with the first few.
MAX_IN_FLIGHT = {ObservedEvidence.NOTHING: 1, ObservedEvidence.PROBE: 4}


def is_trusted(cls: RequestClass, trust: RestoredTrust) -> bool:
    """Whether a request of this class may go there, were it alone."""
    if trust.confidence < MIN_CONFIDENCE:
        return False
    if cls.effect is Effect.SAFE:
        # Where no probe is to come, a safe request is the probe.
        return (
            trust.evidence > ObservedEvidence.NOTHING
            or trust.confidence >= DIRECT_SEND_CONFIDENCE
            or not trust.probe_pending
        )
    if not trust.is_verified or trust.evidence is ObservedEvidence.NOTHING:
        return False
    if cls.effect is Effect.KEYED and cls.group is not Group.ALL:
        return trust.has_location  # its repeats are dropped inside a zone or cell, which must not be a guess
    return True


def is_admitted(cls: RequestClass, trust: RestoredTrust, in_flight: int) -> bool:
    """Whether a request of this class may go there now, with so many own calls there."""
    return in_flight < MAX_IN_FLIGHT.get(trust.evidence, in_flight + 1) and is_trusted(cls, trust)


def may_become_trusted(cls: RequestClass, trust: RestoredTrust) -> bool:
    """Whether waiting may make it one that a request of this class may go to."""
    return trust.confidence >= MIN_CONFIDENCE and (trust.probe_pending or is_trusted(cls, trust))

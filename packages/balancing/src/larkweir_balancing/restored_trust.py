"""What may go to a server that is only remembered: a list held over from before says it was there, and nobody has
said so since.

Three things are told apart. How likely it is that the server is still there (`trust`); what has been seen of it in this
life (`seen`); and whether it has shown what it is (`belongs`, `placed`), since an address may by now be another's. A
safe request to a stranger costs an attempt. One with an effect would do its work at the wrong place: it goes only to a
server that has shown itself. Servers that discovery vouches for have no `Proof`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from larkweir_balancing.settings import Effect, Group, RequestClass


class ObservedEvidence(IntEnum):
    """What has been seen of a remembered server in this life; a later one includes those before it."""

    NOTHING = 0
    PROBE = 1  # it has answered a probe
    ANSWER = 2  # it has served a request


class RestoredTrust(NamedTuple):
    confidence: float  # 0 to 1: the odds that it is still there
    evidence: ObservedEvidence = ObservedEvidence.NOTHING
    is_verified: bool = False  # it has shown that it is the one that the list means
    has_location: bool = False  # and in which zone and cell it is
    probe_pending: bool = False  # a probe of it is out or due: more may be known in a moment


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
        return (
            trust.has_location
        )  # its repeats are dropped inside a zone or cell: which one must not be a guess
    return True


def is_admitted(cls: RequestClass, trust: RestoredTrust, in_flight: int) -> bool:
    """Whether a request of this class may go there now, with so many own calls there."""
    return in_flight < MAX_IN_FLIGHT.get(trust.evidence, in_flight + 1) and is_trusted(cls, trust)


def may_become_trusted(cls: RequestClass, trust: RestoredTrust) -> bool:
    """Whether waiting may make it one that a request of this class may go to."""
    return trust.confidence >= MIN_CONFIDENCE and (trust.probe_pending or is_trusted(cls, trust))

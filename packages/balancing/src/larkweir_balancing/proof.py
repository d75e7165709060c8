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

from larkweir_balancing.interface import Effect, Group, RequestClass


class Seen(IntEnum):
    """What has been seen of a remembered server in this life; a later one includes those before it."""

    NOTHING = 0
    PROBE = 1  # it has answered a probe
    ANSWER = 2  # it has served a request


class Proof(NamedTuple):
    trust: float  # 0 to 1: the odds that it is still there
    seen: Seen = Seen.NOTHING
    belongs: bool = False  # it has shown that it is the one that the list means
    placed: bool = False  # and in which zone and cell it is
    pending: bool = False  # a probe of it is out or due: more may be known in a moment


FLOOR = 0.1  # under which a server is not used at all
# From which a safe request is tried there at once: more likely than not it is served, and a probe first would cost each
# the time of one call.
SEND_FIRST = 0.5
# Own calls out at once, by what was seen. A server that is not there costs each of them an attempt; one that answers
# probes and fails requests shows that with the first few.
AT_ONCE = {Seen.NOTHING: 1, Seen.PROBE: 4}


def trusted(cls: RequestClass, proof: Proof) -> bool:
    """Whether a request of this class may go there, were it alone."""
    if proof.trust < FLOOR:
        return False
    if cls.effect is Effect.SAFE:
        # Where no probe is to come, a safe request is the probe.
        return proof.seen > Seen.NOTHING or proof.trust >= SEND_FIRST or not proof.pending
    if not proof.belongs or proof.seen is Seen.NOTHING:
        return False
    if cls.effect is Effect.KEYED and cls.group is not Group.ALL:
        return proof.placed  # its repeats are dropped inside a zone or cell: which one must not be a guess
    return True


def admits(cls: RequestClass, proof: Proof, out: int) -> bool:
    """Whether a request of this class may go there now, with so many own calls there."""
    return out < AT_ONCE.get(proof.seen, out + 1) and trusted(cls, proof)


def hopeful(cls: RequestClass, proof: Proof) -> bool:
    """Whether waiting may make it one that a request of this class may go to."""
    return proof.trust >= FLOOR and (proof.pending or trusted(cls, proof))

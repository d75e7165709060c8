"""States of servers, outcomes of attempts and kinds of lists, as the platform's protocol has them."""

from __future__ import annotations

from enum import Enum, IntEnum


class ServerState(IntEnum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How one attempt or probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    FULL = 2  # turned away unseen: proves that it never ran
    TIMEOUT = 3  # no answer in time; may have run, or still be running
    CONNECT_FAILED = 4  # no connection: proves that it never ran
    RESET = 5  # connection lost; may have run
    CANCELLED = 6  # called off by us; may have run
    MOOT = 7  # never sent: proves that it never ran
    REJECTED = 8  # the server says that the request itself is no good; tells nothing of the server's state


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


class ListKind(Enum):
    """What a list event carries."""

    FULL = "full"  # the whole list: a server that it lacks is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the whole list as last held; may be old
    # entries of servers that are only remembered, changed by what was seen of them; not discovery's word
    PROOF = "proof"
    FAILED = "failed"  # a call to discovery failed or the subscription broke; no entries

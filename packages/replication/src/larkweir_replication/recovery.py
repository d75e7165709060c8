"""How a replica whose disk holds no usable state learns from the others what it may have promised.

The recovery protocol of Viewstamped Replication Revisited (Liskov and Cowling 2012, section 4.3): a nonce keeps
answers to earlier requests apart. A replica that has not recovered has no vote, and answers nobody.
"""

from __future__ import annotations

from random import Random

from larkweir_replication.messages import Recover, RecoverReply
from larkweir_replication.state import ReplicaState

NONCE_BITS = 48


class Recovery:
    """The answers to one request at a time."""

    def __init__(self, state: ReplicaState, rng: Random) -> None:
        """`state`: of the replica whose memory is lost."""
        self._state = state
        self._rng = rng
        self._nonce = -1
        self._replies: dict[str, RecoverReply] = {}

    def request(self) -> None:
        """Asks all known nodes; answers to earlier requests, of earlier processes too, no longer count."""
        self._nonce = self._rng.getrandbits(NONCE_BITS)
        self._replies = {}
        for node in sorted(self._state.known_nodes - {self._state.node}):
            self._state.send(node, Recover(self._nonce))

    def on_reply(self, sender: str, reply: RecoverReply) -> bool:
        """Counts an answer.

        Once enough have answered, takes over the highest promise and the newest state, begins to make them durable
        and returns True. Until they are durable, further answers are ignored.
        """
        state = self._state
        state.known_nodes.update(reply.snapshot.members)
        if state.durability.has_pending_writes or reply.nonce != self._nonce:
            return False
        self._replies[sender] = reply
        newest = max((reply.snapshot for reply in self._replies.values()), key=lambda one: one.rank)
        groups = [group for group in (newest.members, newest.previous_members) if group]
        if not all(self._has_enough_replies(group) for group in groups):
            return False
        state.promised = max(reply.promised for reply in self._replies.values())
        state.accepted = newest
        state.persist()
        return True

    def _has_enough_replies(self, group: tuple[str, ...]) -> bool:
        """Whether every majority that the forgotten vote was part of has another member among the replies."""
        majority = len(group) // 2 + 1
        replied = len(set(group).intersection(self._replies) - {self._state.node})
        return replied >= (len(group) - majority + 1 if self._state.node in group else majority)

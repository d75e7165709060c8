"""Lets a replica whose disk holds no usable state learn from the others what it may have promised.

The recovery protocol of Viewstamped Replication Revisited (Liskov and Cowling 2012, section 4.3): a nonce
distinguishes replies from those to earlier requests. A replica that has not recovered does not vote or reply.
"""

from __future__ import annotations

from random import Random

from larkweir_replication.messages import Recover, RecoverReply
from larkweir_replication.state import ReplicaState

NONCE_BITS = 48


class Recovery:
    """Sends requests and counts the replies to the latest one."""

    def __init__(self, state: ReplicaState, rng: Random) -> None:
        """`state`: the state of the replica that must recover."""
        self._state = state
        self._rng = rng
        self._nonce = -1
        self._replies: dict[str, RecoverReply] = {}

    def request(self) -> None:
        """Sends a request to all known nodes. Replies to earlier requests, also of earlier processes, are ignored."""
        self._nonce = self._rng.getrandbits(NONCE_BITS)
        self._replies = {}
        for node in sorted(self._state.known_nodes - {self._state.node}):
            self._state.send(node, Recover(self._nonce))

    def on_reply(self, sender: str, reply: RecoverReply) -> bool:
        """Counts a reply.

        Once enough nodes have replied, takes over the highest promise and the newest state, starts to write them and
        returns True. Until the write completes, further replies are ignored.
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
        """Whether each majority that this replica may have been part of has another member that has replied."""
        majority = len(group) // 2 + 1
        replied = len(set(group).intersection(self._replies) - {self._state.node})
        return replied >= (len(group) - majority + 1 if self._state.node in group else majority)

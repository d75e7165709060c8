"""How a replica whose disk tells nothing learns from the others what it may have promised."""

from __future__ import annotations

from random import Random

from larkweir_replication.messages import DurableState, Recover, RecoverReply

NONCE_BITS = 48


class Recovery:
    """The answers to one question at a time. Whoever has not recovered has no vote, and answers nobody."""

    def __init__(self, node: str, rng: Random) -> None:
        """`node`: whose memory is lost."""
        self._node = node
        self._rng = rng
        self._nonce = -1
        self._replies: dict[str, RecoverReply] = {}

    def ask(self) -> Recover:
        """A question to all nodes that are known; answers to those before, of earlier lives too, count no more."""
        self._nonce = self._rng.getrandbits(NONCE_BITS)
        self._replies = {}
        return Recover(self._nonce)

    def learn(self, sender: str, reply: RecoverReply) -> DurableState | None:
        """One answer. What this replica is to hold, once enough have answered."""
        if reply.nonce != self._nonce:
            return None
        self._replies[sender] = reply
        newest = max((reply.snapshot for reply in self._replies.values()), key=lambda one: one.rank)
        groups = [group for group in (newest.members, newest.previous_members) if group]
        if not all(self._has_enough_replies(group) for group in groups):
            return None
        return DurableState(max(reply.promised for reply in self._replies.values()), newest)

    def _has_enough_replies(self, group: tuple[str, ...]) -> bool:
        """Whether every majority that the forgotten vote was part of has another member among the replies."""
        majority = len(group) // 2 + 1
        heard = len(set(group).intersection(self._replies) - {self._node})
        return heard >= (len(group) - majority + 1 if self._node in group else majority)

"""The election of a candidate: a pre-vote, which changes nothing at the receivers, then the promises of a majority.

Pre-vote: Ongaro's dissertation 2014, section 9.6. Prepare and promise: phase 1 of Paxos (Lamport 2001).
"""

from __future__ import annotations

import msgspec

from larkweir_replication.messages import Epoch, Prepare, PreVote, Snapshot
from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing


class Election:
    """Requests votes and counts them. Requests are repeated, because a connection may not be open yet."""

    def __init__(self, state: ReplicaState, timing: Timing, now_ms: float) -> None:
        """`state`: the state of the replica that is a candidate."""
        self._state = state
        self._timing = timing
        self._round = 0
        self._grants: set[str] = set()
        self._promises: dict[str, Snapshot | None] = {}
        self._last_request_ms = now_ms

    def is_request_due(self, now_ms: float) -> bool:
        """Whether it is time to repeat the request to nodes that have not replied."""
        return now_ms >= self._last_request_ms + self._timing.heartbeat_interval_ms

    def begin_pre_vote(self) -> None:
        """Starts a round; replies to earlier rounds no longer count."""
        self._round += 1
        self._grants = {self._state.node}

    def request_pre_votes(self, now_ms: float) -> None:
        """Sends the request to members and to known nodes that are not members: one of those may be the primary."""
        self._last_request_ms = now_ms
        state = self._state
        for node in sorted({*state.other_members(), *state.known_nodes} - self._grants - {state.node}):
            state.send(node, PreVote(self._round))

    def is_current_round(self, number: int) -> bool:
        """Whether `number` is the current round of pre-votes."""
        return number == self._round

    def add_grant(self, node: str) -> bool:
        """Counts a grant; returns whether a majority would vote for this candidate."""
        self._grants.add(node)
        return self._state.newest().has_quorum(self._grants)

    def prepare(self, now_ms: float) -> None:
        """Promises itself an epoch above all known ones, and requests the same promise from the members."""
        self._promises = {}
        self._state.promised = Epoch(self._state.promised.number + 1, self._state.node)
        self._state.persist()
        self.request_promises(now_ms)

    def request_promises(self, now_ms: float) -> None:
        """Sends the request to the members that have not promised yet."""
        self._last_request_ms = now_ms
        for node in self._state.other_members():
            if node not in self._promises:
                self._state.send(node, Prepare(self._state.promised))

    def add_promise(self, node: str, snapshot: Snapshot | None) -> bool:
        """Counts a promise, with the newest state that its sender has accepted; returns whether the election is won.

        The newest of all reported states decides who the members are. The election is won once a majority of them has
        promised; the candidate then takes that state over under the new epoch. Members that appear only in that state
        are sent the request as well.
        """
        state = self._state
        self._promises[node] = snapshot
        reported = [one for one in (*self._promises.values(), state.accepted) if one is not None]
        newest = max(reported, key=lambda one: one.rank)
        if newest.has_quorum(set(self._promises)):
            self._take_over(newest)
            return True
        for other in sorted({*newest.members, *newest.previous_members} - {state.node, *self._promises}):
            if other not in state.other_members():
                state.send(other, Prepare(state.promised))
        return False

    def _take_over(self, newest: Snapshot) -> None:
        state = self._state
        state.accepted = msgspec.structs.replace(newest, epoch=state.promised)
        state.known_nodes.update(newest.members)
        state.persist()

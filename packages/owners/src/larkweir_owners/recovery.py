"""The recovery of an acceptor that has just started: before it votes, it catches up from enough others. Pure logic.

A new or lost disk means a new incarnation. So does each start without a fingerprint from the previous process. A new
incarnation votes once it has caught up from n - m + 1 other replicas, where m is the majority of n (the proof is in
docs/design/owners.md). Acceptors remember each other's progress, so that an acceptor whose disk was restored from an
older copy can detect it. Such an acceptor is treated like one that lost its disk: no other replica learns from it until
it has caught up.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from larkweir_owners.acceptor_state import (
    AcceptorOutput,
    AcceptorState,
    IncarnationEntry,
    PeerProgressEntry,
    ReplicaSetEntry,
    Slot,
    SlotEntry,
    fingerprint,
)
from larkweir_owners.messages import (
    NO_PROGRESS,
    Ballot,
    CatchUpPage,
    CatchUpRequest,
    Incarnation,
    Progress,
    Record,
    RecoveryQuery,
    RecoveryReply,
    ReplicaSet,
)

RETRY_MS = 500.0  # interval between queries by an acceptor that does not vote yet
MAX_PAGE_BYTES = 4096  # limit for the values in a CatchUpPage; names and numbers are extra
MAX_PAGE_KEYS = 32


class ReplicaMode(StrEnum):
    """The state of an acceptor. The values appear in messages, log lines and STATUS."""

    NEW = "new"  # its disk has no incarnation yet
    RESTARTED = "back"  # has a disk, and asks the others whether its state is the latest
    CATCHING_UP = "catching"  # others know of no later state; it catches up, and others may learn from it
    LOST = "lost"  # its disk was lost or is outdated; it catches up, and no other replica learns from it
    VOTING = "voting"
    FAILED = "failed"  # its disk can't be written


class Recovery:
    """The mode of one acceptor and its steps towards `ReplicaMode.VOTING`. `state` is shared with the acceptor."""

    def __init__(self, name: str, state: AcceptorState, closed_fingerprint: str) -> None:
        """`closed_fingerprint`: the fingerprint of the file when the previous voting process closed it, passed on in a
        handover. If it matches `state`, nothing was promised since then, and no other replica has to be asked.
        """
        self.mode = ReplicaMode.RESTARTED if state.can_vote else ReplicaMode.NEW
        if state.can_vote and closed_fingerprint and closed_fingerprint == fingerprint(state):
            self.mode = ReplicaMode.VOTING
        self.next_ms = 0.0
        self._name, self._state = name, state
        self._replies: dict[str, RecoveryReply] = {}
        self._catch_up_incarnation: Incarnation | None = None
        self._caught_up_to: dict[str, str | None] = {}  # by replica: the last key; None when complete
        self._learned_slots: dict[str, Slot] = {}

    def tick(self, now_ms: float) -> AcceptorOutput:
        """Query the other replicas, or ask them for further pages."""
        output = AcceptorOutput()
        if self.mode in (ReplicaMode.VOTING, ReplicaMode.FAILED) or self._name not in self._all_names():
            self.next_ms = float("inf")
            return output
        self.next_ms = now_ms + RETRY_MS
        for peer in self._peers():
            if self._catch_up_incarnation is None:
                output.send(peer, RecoveryQuery(self._state.disk_id))
            elif (after := self._caught_up_to.get(peer, "")) is not None:
                output.send(peer, CatchUpRequest(self._catch_up_incarnation, after))
        return output

    # ------------------------------------------------ as the recovering replica

    def on_reply(self, source: str, reply: RecoveryReply, output: AcceptorOutput) -> None:
        """Handle another replica's answer to a RecoveryQuery."""
        if (
            self.mode not in (ReplicaMode.NEW, ReplicaMode.RESTARTED)
            or source not in self._peers()
            or self._catch_up_incarnation is not None
        ):
            return
        if reply.replica_set.epoch > self._state.replica_set.epoch:
            output.persist(self._state, ReplicaSetEntry(reply.replica_set))
            self._replies.clear()
            return
        self._replies[source] = reply
        if self.mode is ReplicaMode.RESTARTED:
            self._check_disk()
        else:
            self._check_first_start(output)

    def _check_disk(self) -> None:
        """Start to catch up: as LOST if another replica knows more progress of this one than its disk holds,
        otherwise as CATCHING_UP once enough have replied.
        """
        if max(reply.requester_progress for reply in self._replies.values()) > self._progress():
            self._start_catch_up(ReplicaMode.LOST)
        elif self._are_enough(self._replies):
            # At most one disk may be bad at a time: if a peer's disk is bad, this one is current
            self._start_catch_up(ReplicaMode.CATCHING_UP)

    def _check_first_start(self, output: AcceptorOutput) -> None:
        """Find out whether an empty disk belongs to a new replica or to one that lost its disk."""
        replies, disk_id = self._replies, self._state.disk_id
        me = (1, disk_id, 0)
        if self.is_added():
            self.start_voting(self._state.replica_set.added[1:], output)  # added with this empty disk
        elif len(replies) == len(self._peers()) and all(
            reply.mode == ReplicaMode.NEW for reply in replies.values()
        ):
            # All replicas are new: if there were earlier records, no replica holds them any more
            progress = tuple((name, (1, reply.progress[1], 0)) for name, reply in replies.items())
            output.persist(self._state, PeerProgressEntry(progress))
            self.start_voting((1, disk_id), output)
        elif any(reply.requester_progress == me for reply in replies.values()) and self._are_enough(
            name for name, reply in replies.items() if reply.requester_progress in (me, NO_PROGRESS)
        ):
            # The others counted it as new when they started, and it has given no answer yet
            self.start_voting((1, disk_id), output)
        elif self._are_enough(
            name for name, reply in replies.items() if reply.mode not in (ReplicaMode.NEW, ReplicaMode.LOST)
        ):
            self._start_catch_up(ReplicaMode.LOST)

    def _start_catch_up(self, mode: ReplicaMode) -> None:
        self.mode = mode
        most = max((reply.requester_progress for reply in self._replies.values()), default=NO_PROGRESS)
        self._catch_up_incarnation = (max(most[0], self._state.incarnation[0], 1) + 1, self._state.disk_id)
        self._caught_up_to.clear()
        self._learned_slots.clear()

    def on_page(self, source: str, page: CatchUpPage, output: AcceptorOutput) -> None:
        """Handle a page of another replica's slots. After all pages of enough replicas, this replica votes."""
        if page.incarnation != self._catch_up_incarnation or source not in self._peers():
            return
        if page.replica_set.epoch > self._state.replica_set.epoch:  # the peers may differ now: start again
            output.persist(self._state, ReplicaSetEntry(page.replica_set))
            self._caught_up_to.clear()
            return
        if self._caught_up_to.get(source, "") != page.after_key:
            return
        for key, promised, accepted, record in page.slots:
            self._learned_slots[key] = _merged(
                Slot(promised, accepted, record), self._learned_slots.get(key, Slot())
            )
        self._caught_up_to[source] = page.slots[-1][0] if page.has_more else None
        if page.has_more:
            output.send(source, CatchUpRequest(page.incarnation, page.slots[-1][0]))
        if not self._are_enough(name for name, after in self._caught_up_to.items() if after is None):
            return
        for key, slot in sorted(self._learned_slots.items()):
            merged = _merged(slot, self._state.slots.get(key, Slot()))
            output.persist(self._state, SlotEntry(key, merged, 0))
        self._learned_slots.clear()
        self.start_voting(page.incarnation, output)

    def start_voting(self, incarnation: Incarnation, output: AcceptorOutput) -> None:
        """Vote under this incarnation from now on."""
        is_same = incarnation == self._state.incarnation
        answer_count = self._state.answer_count if is_same else 0
        output.persist(self._state, IncarnationEntry(incarnation, True, answer_count))
        self.mode = ReplicaMode.VOTING
        self._catch_up_incarnation = None
        self._replies.clear()

    def on_replica_set_changed(self) -> None:
        """Discard the replies received so far, because they do not apply to the newly adopted replica set."""
        if self.mode not in (ReplicaMode.VOTING, ReplicaMode.FAILED):
            self._replies.clear()
            self.next_ms = 0.0

    def is_added(self) -> bool:
        """Whether the replica set change in progress adds this replica, with this disk."""
        name, _, disk_id = self._state.replica_set.added
        return (name, disk_id) == (self._name, self._state.disk_id) and bool(self._state.replica_set.previous)

    # ------------------------------------------------ as a peer of a recovering replica

    def on_query(self, source: str, output: AcceptorOutput) -> None:
        """Tell a replica that has just started what is known about it."""
        state = self._state
        shown = self._progress() if state.can_vote else (0, state.disk_id, 0)
        known = state.peer_progress.get(source, NO_PROGRESS)
        output.send(source, RecoveryReply(known, self.mode, shown, state.replica_set))

    def on_catch_up_request(self, source: str, request: CatchUpRequest, output: AcceptorOutput) -> None:
        """Record the new incarnation of a replica that catches up, then send it a page."""
        state = self._state
        if self.mode not in (ReplicaMode.VOTING, ReplicaMode.CATCHING_UP) or source not in self._all_names():
            return
        known = state.peer_progress.get(source, NO_PROGRESS)
        if request.incarnation < known[:2]:
            return
        if request.incarnation > known[:2]:
            output.persist(state, PeerProgressEntry(((source, (*request.incarnation, 0)),)))
        slots, has_more = self._page(request.after_key)
        page = CatchUpPage(request.incarnation, request.after_key, slots, has_more, state.replica_set)
        output.send(source, page)

    def _page(self, after_key: str) -> tuple[tuple[tuple[str, Ballot, Ballot, Record | None], ...], bool]:
        slots: list[tuple[str, Ballot, Ballot, Record | None]] = []
        size_bytes = 0
        for key in sorted(key for key in self._state.slots if key > after_key):
            slot = self._state.slots[key]
            size_bytes += len(slot.record.value) if slot.record is not None else 0
            if slots and (size_bytes > MAX_PAGE_BYTES or len(slots) == MAX_PAGE_KEYS):
                return tuple(slots), True
            slots.append((key, slot.promised_ballot, slot.accepted_ballot, slot.record))
        return tuple(slots), False

    # ------------------------------------------------ the replica set

    def _progress(self) -> Progress:
        return (*self._state.incarnation, self._state.answer_count)

    def _all_names(self) -> tuple[str, ...]:
        replica_set = self._state.replica_set
        return tuple(sorted({*replica_set.names, *replica_set.previous}))

    def _peers(self) -> list[str]:
        return [name for name in self._all_names() if name != self._name]

    def _are_enough(self, names: Iterable[str]) -> bool:
        """Whether `names` has n - m + 1 other members of each relevant replica set, where m is the set's majority. Then
        every majority that this replica was part of includes at least one of them.
        """
        others = {name for name in names if name != self._name}
        replica_set = self._state.replica_set
        return all(
            self._name not in members or len(others.intersection(members)) >= _enough(members)
            for members in (replica_set.names, replica_set.previous)
        )


def _enough(members: tuple[str, ...]) -> int:
    """Return the number of others from which a replica of such a set must catch up."""
    return min(len(members) - ReplicaSet(0, members).quorum + 1, len(members) - 1)


def _merged(slot: Slot, other: Slot) -> Slot:
    """Merge two replicas' slots of a register: the higher promise, and the record that was accepted last."""
    newest = slot if slot.accepted_ballot > other.accepted_ballot else other
    return Slot(max(slot.promised_ballot, other.promised_ballot), newest.accepted_ballot, newest.record)

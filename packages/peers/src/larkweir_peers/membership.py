"""The state of each listed member, as learned from its own messages and from gossip, and the updates to gossip.

Implements SWIM (Das, Gupta, Motivala 2002) sections 4.1 and 4.2, with Lifeguard (Dadgar, Phillips, Currey 2017)
sections IV-B and IV-C. All addresses are listed from the start, so there is no join message: a member that was never
contacted is assumed to be alive until it is suspected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from larkweir_peers.addresses import pack_address
from larkweir_peers.local_health import LocalHealth
from larkweir_peers.messages import MAX_INCARNATION, REFUTATION_BITS, MemberState, MemberUpdate
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.suspicion import Suspicion
from larkweir_peers.update_queue import UpdateQueue

GONE_STATES = (MemberState.DEAD, MemberState.LEFT)


class MemberEvent(NamedTuple):
    """A member has changed to `state`. `at_ms` is the local time of the change."""

    name: str
    state: MemberState
    incarnation: int
    at_ms: float


class ListChange(NamedTuple):
    """The addresses that a new list of peers adds and removes."""

    added: list[str]
    removed: list[str]


@dataclass(slots=True)
class Member:
    """The known state of a listed peer. `name` is its address as text."""

    name: str
    address_bytes: bytes
    state: MemberState = MemberState.UNHEARD
    incarnation: int = 0  # 0: not known
    suspicion: Suspicion | None = None
    needs_known_incarnation: bool = (
        False  # it sent an incarnation older than the known one, so the known one is sent to it
    )

    @property
    def first_reporter(self) -> bytes:
        """The packed address of the first member to suspect it; empty if it is not suspect."""
        return next(iter(self.suspicion.reporters)) if self.suspicion is not None else b""

    def as_update(self) -> MemberUpdate:
        """The state of this member as an update."""
        return MemberUpdate(self.address_bytes, self.state, self.incarnation, self.first_reporter)


class Membership:
    """The states of all members. Each change of state is appended to `events`, from which the caller removes it."""

    MAX_EVENTS = 4_096
    MAX_FILL_UPDATES = 3  # maximum number of unhealthy members whose state fills up a message

    def __init__(
        self,
        address: str,
        others: Sequence[str],
        process_start_ms: int,
        config: ProtocolConfig,
        health: LocalHealth,
    ) -> None:
        """`process_start_ms` should be later than that of any earlier process at this address. If the clock has gone
        back, the peers' updates about the earlier process make this one raise its incarnation above it.

        Raises:
            AddressError: an address is not an IPv4 address and port.
        """
        self.address_bytes = pack_address(address)
        self.incarnation = max(1, process_start_ms) << REFUTATION_BITS
        self.is_leaving = False
        self.events: deque[MemberEvent] = deque(maxlen=self.MAX_EVENTS)
        self._config = config
        self._health = health
        self.members = {
            name: Member(name, pack_address(name)) for name in dict.fromkeys(others) if name != address
        }
        self._by_address = {member.address_bytes: member for member in self.members.values()}
        self._suspects: dict[str, Member] = {}
        self._unhealthy: dict[str, Member] = {}  # suspect or gone
        self._unhealthy_cursor = 0
        self._updates = UpdateQueue()
        self._due_ms = inf
        self._alive: tuple[str, ...] | None = None
        self.gone_count = 0

    # State

    @property
    def live_count(self) -> int:
        """The number of processes that are neither dead nor have left, including this one."""
        return len(self.members) - self.gone_count + 1

    def alive(self) -> tuple[str, ...]:
        """The members that are neither suspect, dead nor have left, in the order of the list."""
        if self._alive is None:
            live_states = (MemberState.UNHEARD, MemberState.ALIVE)
            self._alive = tuple(name for name, member in self.members.items() if member.state in live_states)
        return self._alive

    def gone_members(self) -> list[str]:
        """The members that are dead or have left."""
        return [name for name, member in self._unhealthy.items() if member.state in GONE_STATES]

    def counts_by_state(self) -> dict[MemberState, int]:
        """How many members are in each state."""
        found = dict.fromkeys(MemberState, 0)
        for member in self.members.values():
            found[member.state] += 1
        return found

    # The list

    def replace_peers(self, others: Sequence[str], now_ms: float) -> ListChange:
        """Replace the list of members. Returns the added and removed addresses.

        Added members are assumed to be alive. All state of removed members is dropped, and suspicions that only they
        had reported end. The other members keep their state.

        Raises:
            AddressError: an address is not an IPv4 address and port. The list is unchanged.
        """
        listed = dict.fromkeys(name for name in others if pack_address(name) != self.address_bytes)
        removed = [name for name in self.members if name not in listed]
        added = [name for name in listed if name not in self.members]
        for name in removed:
            self._remove(self.members[name])
        for name in added:
            member = self.members[name] = Member(name, pack_address(name))
            self._by_address[member.address_bytes] = member
        self.members = {name: self.members[name] for name in listed}  # in the order of the list
        for reporter in {pack_address(name) for name in removed}:
            for suspect in list(self._suspects.values()):
                self._withdraw_suspicion(suspect, reporter, now_ms)
        self._alive = None
        self._reschedule_expiry()
        return ListChange(added, removed)

    def _remove(self, member: Member) -> None:
        del self.members[member.name], self._by_address[member.address_bytes]
        self.gone_count -= member.state in GONE_STATES
        self._suspects.pop(member.name, None)
        self._unhealthy.pop(member.name, None)
        self._updates.discard(member.address_bytes)

    def _withdraw_suspicion(self, suspect: Member, reporter: bytes, now_ms: float) -> None:
        """Remove a reporter that is no longer listed. If no reporter is left, the suspect gets its former state."""
        assert suspect.suspicion is not None
        suspect.suspicion.reporters.pop(reporter, None)
        if not suspect.suspicion.reporters:
            self._updates.discard(suspect.address_bytes)
            state = MemberState.ALIVE if suspect.incarnation else MemberState.UNHEARD
            self._set_state(suspect, state, suspect.incarnation, now_ms)

    # Messages and updates

    def on_message_from(self, member: Member, incarnation: int, now_ms: float) -> None:
        """Handle a message sent by the member itself. Only a higher incarnation ends a suspicion.

        A higher incarnation is gossiped, except at the first contact: all members are assumed to be alive anyway, and
        a starting fleet would send thousands of updates without new information.
        """
        if incarnation > member.incarnation:
            was_contacted = member.state is not MemberState.UNHEARD
            self._set_state(member, MemberState.ALIVE, incarnation, now_ms)
            if was_contacted:
                self._updates.add(MemberUpdate(member.address_bytes, MemberState.ALIVE, incarnation))

    def on_update(self, update: MemberUpdate, now_ms: float) -> bool:
        """Apply an update from a message. Returns whether its member is listed."""
        if update.member == self.address_bytes:
            self._on_update_about_self(update)
            return True
        member = self._by_address.get(update.member)
        if member is None:
            return False
        state = MemberState(update.state)
        if not update.incarnation and member.incarnation and state in (MemberState.SUSPECT, MemberState.DEAD):
            self._on_update_without_incarnation(member, update, now_ms)
        elif state is MemberState.ALIVE:
            if update.incarnation > member.incarnation:
                self._set_state(member, state, update.incarnation, now_ms)
                self._updates.add(update)
        elif state is MemberState.SUSPECT:
            self._on_suspicion(member, update, now_ms)
        elif update.incarnation >= member.incarnation and member.state not in GONE_STATES:
            self._set_state(member, state, update.incarnation, now_ms)
            self._updates.add(update)
        elif update.incarnation > member.incarnation:
            member.incarnation = update.incarnation
        return True

    def _on_update_without_incarnation(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        """Apply an update from a reporter that never had contact with the member. A suspicion is applied to the known
        incarnation. A report of death may be older than that incarnation, so the known incarnation is gossiped instead.
        """
        if update.state == MemberState.SUSPECT:
            known = MemberUpdate(update.member, MemberState.SUSPECT, member.incarnation, update.reporter)
            self._on_suspicion(member, known, now_ms)
        elif member.state is MemberState.ALIVE and update.member not in self._updates:
            self._updates.add(MemberUpdate(update.member, MemberState.ALIVE, member.incarnation))

    def _on_update_about_self(self, update: MemberUpdate) -> None:
        """Refute a false update about this process, or one with a higher incarnation, by raising the incarnation."""
        is_true = update.state == MemberState.ALIVE and update.incarnation == self.incarnation
        if self.is_leaving or is_true or update.incarnation < self.incarnation:
            return
        if update.state != MemberState.ALIVE:
            self._health.adjust(1)  # Lifeguard section IV-A: this process was slow to answer
        self.incarnation = min(update.incarnation + 1, MAX_INCARNATION)
        self._updates.add(MemberUpdate(self.address_bytes, MemberState.ALIVE, self.incarnation))

    def on_probe_failed(self, name: str, now_ms: float) -> None:
        """Suspect a member that did not answer the probes of this process."""
        member = self.members[name]
        if member.state not in GONE_STATES:
            state, incarnation = MemberState.SUSPECT, member.incarnation
            update = MemberUpdate(member.address_bytes, state, incarnation, self.address_bytes)
            self._on_suspicion(member, update, now_ms)

    def _on_suspicion(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        if update.incarnation < member.incarnation or member.state in GONE_STATES:
            return
        if update.reporter != self.address_bytes and update.reporter not in self._by_address:
            return  # the reporter is not listed
        suspicion = member.suspicion
        if suspicion is None or update.incarnation > member.incarnation:
            suspicion = self._new_suspicion(update.reporter, now_ms)
            self._set_state(member, MemberState.SUSPECT, update.incarnation, now_ms)
            member.suspicion = suspicion
        elif (
            update.reporter not in suspicion.reporters
            and len(suspicion.reporters) <= suspicion.needed_confirmations
        ):
            suspicion.reporters[update.reporter] = None
        else:
            return
        # A further reporter may move the timeout into the past. `max` prevents `tick` from taking that for a pause.
        self._due_ms = min(self._due_ms, max(now_ms, suspicion.due_ms))
        self._updates.add(update)

    def _new_suspicion(self, reporter: bytes, now_ms: float) -> Suspicion:
        process_count, confirmations = self.live_count, self._config.suspicion_confirmations
        timeouts = self._config.suspicion_timeouts_ms(process_count)
        can_be_confirmed = process_count - 2 >= confirmations
        needed = confirmations if can_be_confirmed else 0
        return Suspicion(now_ms, timeouts.min_ms, timeouts.max_ms, needed, {reporter: None})

    def _set_state(self, member: Member, state: MemberState, incarnation: int, now_ms: float) -> None:
        before, member.state, member.incarnation, member.suspicion = member.state, state, incarnation, None
        if state is before:
            return
        self.gone_count += (state in GONE_STATES) - (before in GONE_STATES)
        self._alive = None
        self._suspects.pop(member.name, None)
        if state is MemberState.SUSPECT:
            self._suspects[member.name] = member
        elif not self._suspects:
            self._due_ms = inf  # a due time in the past would later be taken for a process pause
        if state <= MemberState.ALIVE:
            self._unhealthy.pop(member.name, None)
        else:
            self._unhealthy[member.name] = member
        self.events.append(MemberEvent(member.name, state, incarnation, now_ms))

    # Time

    @property
    def due_ms(self) -> float:
        """No suspicion times out before this time; infinity if there are no suspicions."""
        return self._due_ms

    def expire(self, now_ms: float) -> None:
        """Declare suspects dead whose timeout has expired."""
        if now_ms < self.due_ms:
            return
        for member in list(self._suspects.values()):
            if member.suspicion is not None and member.suspicion.due_ms <= now_ms:
                self._set_state(member, MemberState.DEAD, member.incarnation, now_ms)
                self._updates.add(MemberUpdate(member.address_bytes, MemberState.DEAD, member.incarnation))
        self._reschedule_expiry()

    def postpone_suspicions(self, by_ms: float) -> None:
        """Extend all suspicions by the length of a pause, during which this process could not receive refutations."""
        for member in self._suspects.values():
            if member.suspicion is not None:
                member.suspicion.started_ms += by_ms
        self._reschedule_expiry()

    def _reschedule_expiry(self) -> None:
        self._due_ms = min((m.suspicion.due_ms for m in self._suspects.values() if m.suspicion), default=inf)

    # Dissemination

    def leave(self) -> None:
        """Announce that this process is shutting down, and stop refuting updates about it."""
        self.is_leaving = True
        self._updates.add(MemberUpdate(self.address_bytes, MemberState.LEFT, self.incarnation))

    def updates_for(self, to: Member, limit: int) -> list[MemberUpdate]:
        """Select at most `limit` updates for a message to a member: first the receiver's own state if it is not alive
        (Lifeguard section IV-C), then the least-sent updates, then the states of unhealthy members in rotation.
        """
        out: dict[bytes, MemberUpdate] = {}
        if limit <= 0:
            return []
        if to.state > MemberState.ALIVE or to.needs_known_incarnation:
            to.needs_known_incarnation = False
            out[to.address_bytes] = to.as_update()
        self._updates.take_into(out, limit, self._config.retransmissions(self.live_count))
        self._append_unhealthy(out, min(limit, len(out) + self.MAX_FILL_UPDATES))
        return list(out.values())

    def _append_unhealthy(self, out: dict[bytes, MemberUpdate], limit: int) -> None:
        unhealthy_count = len(self._unhealthy)
        if len(out) >= limit or not unhealthy_count:
            return
        candidates = list(self._unhealthy.values()) if unhealthy_count <= 64 else self._rotate_unhealthy()
        for _ in range(len(candidates)):
            if len(out) >= limit:
                return
            self._unhealthy_cursor += 1
            member = candidates[self._unhealthy_cursor % len(candidates)]
            out.setdefault(member.address_bytes, member.as_update())

    def _rotate_unhealthy(self) -> list[Member]:
        """Return the first few unhealthy members, and move them to the end."""
        unhealthy = self._unhealthy.values()
        first = [member for member, _ in zip(unhealthy, range(self.MAX_FILL_UPDATES), strict=False)]
        for member in first:
            self._unhealthy[member.name] = self._unhealthy.pop(member.name)
        return first

"""What is believed of each listed peer, by what it says itself and by rumour, and which rumours are told on.

SWIM (Das, Gupta, Motivala 2002) sections 4.1 and 4.2, with Lifeguard (Dadgar, Phillips, Currey 2017) sections IV-B and
IV-C. All names are listed from the start, so nobody joins: who was never heard is taken to be there until shown
otherwise.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import inf
from typing import NamedTuple

from larkweir_peers.addresses import pack_address
from larkweir_peers.messages import MAX_INCARNATION, REFUTATION_BITS, MemberState, MemberUpdate
from larkweir_peers.protocol_config import LocalHealth, ProtocolConfig, Suspicion

GONE_STATES = (MemberState.DEAD, MemberState.LEFT)


class MemberEvent(NamedTuple):
    """What is believed of a member from now on."""

    name: str
    state: MemberState
    incarnation: int
    at_ms: float


@dataclass(slots=True)
class Member:
    name: str
    address_bytes: bytes
    state: MemberState = MemberState.UNHEARD
    incarnation: int = 0
    suspicion: Suspicion | None = None
    # It spoke with an incarnation of a former life, and is to hear of the one known here.
    needs_known_incarnation: bool = False


class _QueuedUpdate(NamedTuple):
    update: MemberUpdate
    sequence: int


class Membership:
    MAX_EVENTS = 4_096
    MAX_FILL_UPDATES = 3  # pieces of what is not well that go where there is room, in turn

    def __init__(
        self,
        address: str,
        others: Sequence[str],
        process_start_ms: int,
        config: ProtocolConfig,
        health: LocalHealth,
    ) -> None:
        """`life_ms`: when this life began, on a clock that does not go back from life to life; where it does all the
        same, the others' word of the former life lifts this one above it.
        """
        self.address_bytes = pack_address(address)
        self.incarnation = max(1, process_start_ms) << REFUTATION_BITS
        self.leaving = False
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
        self._latest_updates: dict[bytes, _QueuedUpdate] = {}  # the last of each member
        self._queue: list[tuple[int, int, bytes]] = []  # a heap: how often told, how new, of whom
        self._last_sequence = 0
        self._due_ms = inf
        self._alive: tuple[str, ...] | None = None
        self.gone_count = 0

    # ------------------------------------------------ what is known

    @property
    def live_count(self) -> int:
        """Processes that are not held to be lost, with this one."""
        return len(self.members) - self.gone_count + 1

    def alive(self) -> tuple[str, ...]:
        """Whom to ask: all that are neither suspect nor gone, in the list's order."""
        if self._alive is None:
            self._alive = tuple(
                name
                for name, member in self.members.items()
                if member.state in (MemberState.UNHEARD, MemberState.ALIVE)
            )
        return self._alive

    def gone_members(self) -> list[str]:
        return [name for name, member in self._unhealthy.items() if member.state in GONE_STATES]

    def counts_by_state(self) -> dict[MemberState, int]:
        found = dict.fromkeys(MemberState, 0)
        for member in self.members.values():
            found[member.state] += 1
        return found

    # ------------------------------------------------ the list

    def replace_peers(self, others: Sequence[str], now_ms: float) -> tuple[list[str], list[str]]:
        """The names that came and those that went. Who came is taken to be there until shown otherwise; of who went
        nothing is left, nor what it alone suspected. The others stay as they are.
        """
        listed = dict.fromkeys(name for name in others if pack_address(name) != self.address_bytes)
        removed = [name for name in self.members if name not in listed]
        added = [name for name in listed if name not in self.members]
        for name in removed:
            self._remove(self.members[name])
        for name in added:
            member = self.members[name] = Member(name, pack_address(name))
            self._by_address[member.address_bytes] = member
        self.members = {name: self.members[name] for name in listed}  # in the list's order
        for reporter in {pack_address(name) for name in removed}:
            for suspect in list(self._suspects.values()):
                self._withdraw_suspicion(suspect, reporter, now_ms)
        self._alive = None
        self._reschedule_expiry()
        return added, removed

    def _remove(self, member: Member) -> None:
        del self.members[member.name], self._by_address[member.address_bytes]
        self.gone_count -= member.state in GONE_STATES
        self._suspects.pop(member.name, None)
        self._unhealthy.pop(member.name, None)
        self._latest_updates.pop(member.address_bytes, None)  # its place in the queue is passed over

    def _withdraw_suspicion(self, suspect: Member, reporter: bytes, now_ms: float) -> None:
        """One who suspects it is listed no more. Where nobody else does, it is as well as it was."""
        assert suspect.suspicion is not None
        suspect.suspicion.reporters.pop(reporter, None)
        if not suspect.suspicion.reporters:
            self._latest_updates.pop(suspect.address_bytes, None)
            state = MemberState.ALIVE if suspect.incarnation else MemberState.UNHEARD
            self._set_state(suspect, state, suspect.incarnation, now_ms)

    # ------------------------------------------------ what is heard

    def on_message_from(self, member: Member, incarnation: int, now_ms: float) -> None:
        """It spoke itself. Only an incarnation of its own ends a suspicion. Told on, unless it is what all take to be
        so: a fleet that starts would else have thousands of rumours of nothing.
        """
        if incarnation > member.incarnation:
            was_contacted = member.state is not MemberState.UNHEARD
            self._set_state(member, MemberState.ALIVE, incarnation, now_ms)
            if was_contacted:
                self._broadcast(MemberUpdate(member.address_bytes, MemberState.ALIVE, incarnation))

    def on_update(self, update: MemberUpdate, now_ms: float) -> bool:
        """A rumour; False where it is of nobody that is listed."""
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
                self._broadcast(update)
        elif state is MemberState.SUSPECT:
            self._on_suspicion(member, update, now_ms)
        elif update.incarnation >= member.incarnation and member.state not in GONE_STATES:
            self._set_state(member, state, update.incarnation, now_ms)
            self._broadcast(update)
        elif update.incarnation > member.incarnation:
            member.incarnation = update.incarnation
        return True

    def _on_update_without_incarnation(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        """Its suspicion is as good as any, of the life that is known here. Its word of a death may be of a time before
        that life: it is told of it.
        """
        if update.state == MemberState.SUSPECT:
            known = MemberUpdate(update.member, MemberState.SUSPECT, member.incarnation, update.reporter)
            self._on_suspicion(member, known, now_ms)
        elif member.state is MemberState.ALIVE and update.member not in self._latest_updates:
            self._broadcast(MemberUpdate(update.member, MemberState.ALIVE, member.incarnation))

    def _on_update_about_self(self, update: MemberUpdate) -> None:
        """Whatever is said of this life, or of one that seems later, is refuted by a higher incarnation."""
        is_own = update.state == MemberState.ALIVE and update.incarnation == self.incarnation
        if self.leaving or is_own or update.incarnation < self.incarnation:
            return
        if update.state != MemberState.ALIVE:
            self._health.adjust(1)  # Lifeguard section IV-A: it was slow to answer
        self.incarnation = min(update.incarnation + 1, MAX_INCARNATION)
        self._broadcast(MemberUpdate(self.address_bytes, MemberState.ALIVE, self.incarnation))

    def on_probe_failed(self, name: str, now_ms: float) -> None:
        """A probe of this process came to nothing."""
        member = self.members[name]
        if member.state not in GONE_STATES:
            update = MemberUpdate(
                member.address_bytes, MemberState.SUSPECT, member.incarnation, self.address_bytes
            )
            self._on_suspicion(member, update, now_ms)

    def _on_suspicion(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        if update.incarnation < member.incarnation or member.state in GONE_STATES:
            return
        if update.reporter != self.address_bytes and update.reporter not in self._by_address:
            return  # nobody's suspicion counts for nothing
        suspicion = member.suspicion
        if suspicion is None or update.incarnation > member.incarnation:
            live_count = self.live_count
            min_timeout_ms, max_timeout_ms = self._config.suspicion_timeouts_ms(live_count)
            needed_confirmations = (
                self._config.suspicion_confirmations
                if live_count - 2 >= self._config.suspicion_confirmations
                else 0
            )
            self._set_state(member, MemberState.SUSPECT, update.incarnation, now_ms)
            member.suspicion = Suspicion(
                now_ms, min_timeout_ms, max_timeout_ms, needed_confirmations, {update.reporter: None}
            )
        elif (
            update.reporter not in suspicion.reporters
            and len(suspicion.reporters) <= suspicion.needed_confirmations
        ):
            suspicion.reporters[update.reporter] = None
        else:
            return
        assert member.suspicion is not None
        # Others' word may have ended it in the past: that is no lateness of this process.
        self._due_ms = min(self._due_ms, max(now_ms, member.suspicion.due_ms))
        self._broadcast(update)

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
            self._due_ms = inf  # one that is past would look like a standstill later
        if state <= MemberState.ALIVE:
            self._unhealthy.pop(member.name, None)
        else:
            self._unhealthy[member.name] = member
        self.events.append(MemberEvent(member.name, state, incarnation, now_ms))

    # ------------------------------------------------ time

    @property
    def due_ms(self) -> float:
        """When the first suspicion may run out; not before, and infinite where there is none."""
        return self._due_ms

    def expire(self, now_ms: float) -> None:
        if now_ms < self.due_ms:
            return
        for member in list(self._suspects.values()):
            if member.suspicion is not None and member.suspicion.due_ms <= now_ms:
                self._set_state(member, MemberState.DEAD, member.incarnation, now_ms)
                self._broadcast(MemberUpdate(member.address_bytes, MemberState.DEAD, member.incarnation))
        self._reschedule_expiry()

    def postpone_suspicions(self, by_ms: float) -> None:
        """This process stood still: nobody could clear himself to it meanwhile."""
        for member in self._suspects.values():
            if member.suspicion is not None:
                member.suspicion.started_ms += by_ms
        self._reschedule_expiry()

    def _reschedule_expiry(self) -> None:
        self._due_ms = min((m.suspicion.due_ms for m in self._suspects.values() if m.suspicion), default=inf)

    # ------------------------------------------------ what is told on

    def leave(self) -> None:
        """This process goes for good: it says so, and refutes nothing any more."""
        self.leaving = True
        self._broadcast(MemberUpdate(self.address_bytes, MemberState.LEFT, self.incarnation))

    def _broadcast(self, update: MemberUpdate) -> None:
        self._last_sequence += 1
        self._latest_updates[update.member] = _QueuedUpdate(update, self._last_sequence)
        heappush(self._queue, (0, -self._last_sequence, update.member))
        if (
            len(self._queue) > 2 * len(self._latest_updates) + 64
        ):  # guards against a heap of what was overtaken
            current = {(-queued.sequence, address) for address, queued in self._latest_updates.items()}
            self._queue = [entry for entry in self._queue if entry[1:] in current]
            heapify(self._queue)

    def updates_for(self, to: Member, limit: int) -> list[MemberUpdate]:
        """What goes with a datagram to a member: first what is believed of itself, if that is not well (Lifeguard
        section IV-C), then what was told least, then in turn those that are not well.
        """
        out: dict[bytes, MemberUpdate] = {}
        if limit <= 0:
            return []
        if to.state > MemberState.ALIVE or to.needs_known_incarnation:
            to.needs_known_incarnation = False
            reporter = next(iter(to.suspicion.reporters)) if to.suspicion is not None else b""
            out[to.address_bytes] = MemberUpdate(to.address_bytes, to.state, to.incarnation, reporter)
        self._append_queued(out, limit)
        self._append_unhealthy(out, min(limit, len(out) + self.MAX_FILL_UPDATES))
        return list(out.values())

    def _append_queued(self, out: dict[bytes, MemberUpdate], limit: int) -> None:
        max_sends = self._config.retransmissions(self.live_count)
        queue, kept = self._queue, []
        while queue and len(out) < limit:
            send_count, sequence, address = heappop(queue)
            queued = self._latest_updates.get(address)
            if queued is None or queued.sequence != -sequence:
                continue  # a newer one has taken its place
            out.setdefault(address, queued.update)
            if send_count + 1 < max_sends:
                kept.append((send_count + 1, sequence, address))
            else:
                del self._latest_updates[address]
        for entry in kept:
            heappush(queue, entry)

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
            reporter = next(iter(member.suspicion.reporters)) if member.suspicion is not None else b""
            out.setdefault(
                member.address_bytes,
                MemberUpdate(member.address_bytes, member.state, member.incarnation, reporter),
            )

    def _rotate_unhealthy(self) -> list[Member]:
        """Of many that are not well, the first few: each that was told goes to the end."""
        candidates = [
            member for member, _ in zip(self._unhealthy.values(), range(self.MAX_FILL_UPDATES), strict=False)
        ]
        for member in candidates:
            self._unhealthy[member.name] = self._unhealthy.pop(member.name)
        return candidates

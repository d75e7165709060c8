"""Serves from a list that was restored from disk, or that the configuration gives, until discovery answers. Probes its
upstreams through the pool, and tells the decisions what probes and requests' own answers show, in the order in which
they do. `entries.py` decides.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any, NamedTuple

from larkweir_balancing.interface import ListKind, Outcome, ServerEntry, ServerState

from larkweir.background.rules import Outcome as Step
from larkweir.background.rules import Task
from larkweir.background.runner import Runner
from larkweir.config.options import Remembered as Options
from larkweir.config.platform import Config
from larkweir.core.clock import Clock, Timer
from larkweir.core.message import Message
from larkweir.core.ports import Listing, Pool
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import DiscoveryError, parse_listing
from larkweir.membership.remembered.entries import (
    REVIEW_INTERVAL_MS,
    Change,
    Place,
    RestoredEntries,
    still_drained,
)
from larkweir.membership.remembered.evidence import Churn, Evidence, EvidenceKind, Source
from larkweir.membership.remembered.identity import UpstreamIdentity, parse_identity


class RestoredState(NamedTuple):
    """What an earlier process of this balancer has left of its list. Times are the clock's milliseconds."""

    held: dict[str, Any]  # a whole list in discovery's form, not checked yet
    rows: dict[str, Evidence]
    churn: Churn
    is_uncertain: bool  # how the clocks of the two processes relate
    drains: dict[str, float]  # since when each that drains has drained
    source: Source = Source.KEPT


class RestoredProbe:
    """Observes the end of one probe."""

    __slots__ = ("_server", "_witness")
    streams = False

    def __init__(self, witness: RestoredMembers, server: int) -> None:
        self._witness = witness
        self._server = server

    def started(self, answer: Message) -> bool:
        """A probe's answer is not forwarded."""
        return False

    def no_longer_needed(self) -> bool:
        """Whether discovery has answered meanwhile."""
        return self._witness.entries is None

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        """The probe has ended."""
        self._witness.ended(self._server, outcome, answer, probe=True)


class RestoredMembers:
    """The restored list, from the start until discovery has answered; and after that, the evidence worth persisting."""

    STEP_MS = 5.0  # from step to step of probing
    MAX_PROBES_PER_STEP = 4  # 800 a second at the most
    PROBE_MS = 50.0  # for an answer
    # For so long a discovery whose list is older than the restored one can't end a drain.
    DRAIN_MEMORY_MS = 3_600_000.0

    def __init__(
        self,
        options: Options,
        config: Config,
        clock: Clock,
        log: Callable[[str], None],
        discovery: Discovery,
        tell: Callable[[Listing], None],
        pool: Pool,
        target: bytes,
    ) -> None:
        self._options = options
        self._config = config
        self._clock = clock
        self._log = log
        self._discovery = discovery
        self._tell = tell
        self._pool = pool
        self._target = target
        self._header = options.identity.lower().encode()
        self._timer: Timer | None = None
        self._ended = False
        self._rows: dict[str, dict[str, Any]] = {}  # of the restored list, by name, in discovery's form
        self._parsed: dict[str, tuple[ServerEntry, tuple[str, int]]] = {}  # of those in use
        self._draining: dict[str, str] = {}  # lifecycles of those that drain
        self._generation = 0  # of the restored list
        self._drains: dict[str, float] = {}  # as restored
        # Called with an upstream's number and since when it has drained, for each restored drain.
        self.on_drain_restored: Callable[[int, float], None] = lambda number, since_ms: None
        self._unlisted: dict[str, Change] = {}  # missing from discovery's first list, although they answer
        self._drained_until = 0.0
        self.entries: RestoredEntries | None = None
        self.answered_ms = 0.0  # when discovery last answered; 0: it has not
        self.proved: dict[int, tuple[float, EvidenceKind]] = {}  # by number, since `evidence` was called
        discovery.names.reverse = {}
        discovery.on_answer = self._on_answer
        discovery.reroute(self._on_listing)

    def _on_answer(self) -> None:
        self.answered_ms = self._clock.now_ms()

    @property
    def is_settled(self) -> bool:
        """Whether discovery's list alone counts."""
        return self.answered_ms > 0.0 and not self._unlisted

    # ------------------------------------------------ the start

    def restore(self, restored: RestoredState, runner: Runner | None) -> None:
        """Serve from a restored list, as far as there is confidence in it; nothing where discovery has been faster."""
        if self.answered_ms or not restored.held.get("instances"):
            return
        settings = self._config.settings
        entries = RestoredEntries(settings.me, settings.copies, settings.may_probe, bool(self._header))
        entries.churn = restored.churn
        entries.source = restored.source
        entries.is_uncertain = restored.is_uncertain
        evidence, own_address = self._load_rows(restored)
        generation = restored.held.get("generation")
        self._generation = generation if isinstance(generation, int) else 0
        self._drains = restored.drains
        self.entries = entries
        changes = entries.load(evidence, self._clock.now_ms())
        counts = entries.counts()
        self._log(
            f"remembered: {len(evidence)} upstreams, {counts.open} in use at first"
            + (f", {counts.distrusted} not trusted" if counts.distrusted else "")
            + (f"; {own_address} at this balancer's own address" if own_address else "")
        )
        self._announce(changes, ListKind.CACHED)
        if runner is not None:
            runner.add(
                Task("remembered.age", priority=3, period_ms=REVIEW_INTERVAL_MS, first_ms=REVIEW_INTERVAL_MS),
                self._review,
            )
        self._arm()

    def _load_rows(self, restored: RestoredState) -> tuple[dict[str, tuple[Place, Evidence]], int]:
        """Keep the rows that can be used; returns place and evidence of each by name, and how many rows have this
        balancer's own address.
        """
        evidence: dict[str, tuple[Place, Evidence]] = {}
        own_address = 0
        listen = f"{self._config.listen[0]}:{self._config.listen[1]}"
        for row in restored.held["instances"]:
            name = row.get("instanceId") if isinstance(row, dict) else None
            if not isinstance(name, str):
                continue
            lifecycle = str(row.get("lifecycle"))
            if lifecycle == "leaving":
                self._draining[name] = lifecycle
            elif row.get("hostPort") == listen:
                own_address += 1  # what is sent there would come back
            elif lifecycle == "active":
                self._rows[name] = row
                place = Place(row.get("zone", ""), row.get("cell", 0))
                evidence[name] = (place, restored.rows.get(name, Evidence()))
        return evidence, own_address

    def _announce(self, changes: list[Change], kind: ListKind = ListKind.PROOF) -> None:
        """Tell the decisions of changes."""
        entries, addresses = [], []
        for change in changes:
            known = self._parse(change.name)
            if known is None:
                continue
            entry, address = known
            entries.append(self._entry(entry, change))
            addresses.append(address)
        if entries:
            self._tell(Listing(kind, self._generation, tuple(entries), tuple(addresses)))

    def _parse(self, name: str) -> tuple[ServerEntry, tuple[str, int]] | None:
        """A row of the list, parsed when it is first needed: nothing is parsed that is never used."""
        found = self._parsed.get(name)
        if found is None and name in self._rows:
            try:
                listing, _ = parse_listing(
                    {"generation": 0, "reset": True, "instances": [self._rows[name]]}, self._discovery.names
                )
            except DiscoveryError as problem:
                self._log(f"remembered: {name:.100}: {problem}")
                del self._rows[name]
                return None
            found = self._parsed[name] = (listing.entries[0], listing.addresses[0])
        return found

    def _entry(self, entry: ServerEntry, change: Change) -> ServerEntry:
        return ServerEntry(
            entry.server,
            ServerState.GONE if change.proof is None else ServerState.READY,
            entry.started_ms,
            entry.weight,
            self._discovery.names.zone(change.place.zone),
            change.place.cell,
            entry.kind,
            change.proof,
        )

    # ------------------------------------------------ probes and answers

    def _arm(self) -> None:
        """Set the timer for the next probe, unless it is set."""
        if self.entries is None or self._ended or self._timer is not None:
            return
        due = self.entries.next_probe_ms()
        if due < inf:
            now = self._clock.now_ms()
            self._timer = self._clock.at(max(due, now + (0.0 if due <= now else 1.0)), self._probe)

    def _probe(self) -> None:
        """Send the probes that are due, a few at a time."""
        self._timer = None
        if self.entries is None or self._ended:
            return
        now = self._clock.now_ms()
        for name in self.entries.due_probes(now, self.MAX_PROBES_PER_STEP):
            known = self._parse(name)
            if known is None:
                self._announce(self.entries.on_ended(name, True, Outcome.CONNECT_FAILED, None, now)[1])
                continue
            (entry, host), number = known, known[0].server
            message = Message()
            message.method, message.target = b"GET", self._target
            message.headers = [(b"Host", b"%s:%d" % (host[0].encode(), host[1]))]
            owner = RestoredProbe(self, number)
            if number not in self._pool.targets:  # dropped meanwhile: it is added again before it is probed
                self._pool.update(number, host, ServerState.READY, entry.started_ms, entry.kind)
            if self._pool.call(number, message, now + self.PROBE_MS, owner, probe=True) is None:
                owner.ended(Outcome.CONNECT_FAILED, None)
        if self.entries is not None and self.entries.next_probe_ms() < inf:
            at = max(self.entries.next_probe_ms(), now + self.STEP_MS)
            self._timer = self._clock.at(at, self._probe)

    def _identity_of(self, answer: Message | None) -> UpstreamIdentity | None:
        if answer is None or not self._header:
            return None
        values = [value for key, value in answer.headers if key.lower() == self._header]
        return parse_identity(values[0]) if len(values) == 1 else None

    def ended(self, server: int, outcome: Outcome, answer: Message | None, probe: bool = False) -> bool:
        """An attempt or a probe has ended; whether its answer may count (`larkweir.core.ports.AnswerVerifier`)."""
        if outcome is Outcome.OK and not probe:
            self.proved[server] = (self._clock.now_ms(), EvidenceKind.ANSWERED)
        if self.entries is None:
            return True
        name = self._name(server)
        if name is None:
            return True
        identity = self._identity_of(answer)
        counts, changes = self.entries.on_ended(name, probe, outcome, identity, self._clock.now_ms())
        if not counts and identity is not None:
            self.proved.pop(server, None)
            self._log(f"remembered: at the address of {name:.100} is {identity.instance:.100}")
        self._announce(changes)
        self._arm()
        return counts

    def begun(self, server: int, answer: Message) -> bool:
        """A long answer has begun; whether it may count (`larkweir.core.ports.AnswerVerifier`)."""
        identity = self._identity_of(answer) if self.entries is not None else None
        if identity is None or identity.instance == self._name(server):
            return True
        return self.ended(server, Outcome.OK, answer)

    def _name(self, server: int) -> str | None:
        reverse = self._discovery.names.reverse
        return reverse.get(server) if reverse is not None else None

    def _review(self) -> Step:
        if self.entries is None:
            return Step.DONE
        last, changes = self.entries.review(self._clock.now_ms())
        self._announce(changes)
        self._arm()
        return Step.DONE if last else Step.MORE

    # ------------------------------------------------ discovery answers

    def _on_listing(self, listing: Listing) -> None:
        if listing.kind in (ListKind.FULL, ListKind.DELTA):
            if self.entries is not None:
                if listing.kind is ListKind.DELTA:
                    return  # changes to a list that is not the restored one: the whole one is asked for
                self._on_first_list(listing, self.entries)
            listing = self._corrected(listing)
        self._tell(listing)
        if self._drains and listing.kind is ListKind.FULL and self.entries is None:
            # A drain's grace runs from when it was first reported, to whichever process.
            for name, since_ms in self._drains.items():
                self.on_drain_restored(self._discovery.number(name) or 0, since_ms)
            self._drains = {}

    def _on_first_list(self, listing: Listing, entries: RestoredEntries) -> None:
        """Discovery's first list: the restored one ends here, but for upstreams that discovery may not know of yet."""
        now = self._clock.now_ms()
        lifecycles = self._lifecycles_of(listing)
        missed = entries.missing_from(
            lifecycles, {name for name, lifecycle in lifecycles.items() if lifecycle == "left"}
        )
        self._unlisted = {
            name: Change(name, entry.announced, entry.place)
            for name in missed
            if (entry := entries.entries[name]).announced is not None
        }
        counts = entries.counts()
        self.entries = None
        active = sum(lifecycle == "active" for lifecycle in lifecycles.values())
        self._log(
            f"remembered: discovery lists {active}; of the remembered "
            f"{counts.proved} had answered, {counts.lost} had not"
        )
        if self._unlisted:
            self._log(
                f"remembered: {len(self._unlisted)} upstreams that answer are not in its list, more than half "
                f"of those: used on for {self._options.panic_ms / 1000.0:.0f} s"
            )
            self._clock.at(now + self._options.panic_ms, self._drop_unlisted)
        else:
            self._parsed = {}
        self._rows = {}
        if self._draining:
            self._drained_until = now + self.DRAIN_MEMORY_MS

    def _lifecycles_of(self, listing: Listing) -> dict[str, str]:
        lifecycles = {ServerState.READY: "active", ServerState.DRAINING: "leaving", ServerState.GONE: "left"}
        found = {}
        for entry in listing.entries:
            name = self._name(entry.server)
            if name is not None:
                found[name] = lifecycles[entry.state]
        return found

    def _corrected(self, listing: Listing) -> Listing:
        """The list, with upstreams that are still used although it lacks them, and with drains that only an older list
        would undo.
        """
        if not self._unlisted and not self._draining:
            return listing
        lifecycles = self._lifecycles_of(listing)
        drained: set[str] = set()
        if self._draining:
            if listing.version >= self._generation or self._clock.now_ms() >= self._drained_until:
                self._draining = {}
            else:
                drained = still_drained(self._draining, lifecycles, listing.version, self._generation)
        entries = [
            replace(entry, state=ServerState.DRAINING) if self._name(entry.server) in drained else entry
            for entry in listing.entries
        ]
        addresses = list(listing.addresses)
        for name in list(self._unlisted):
            if name in lifecycles:  # discovery knows of it: what it says counts
                del self._unlisted[name]
        if listing.kind is ListKind.FULL:
            for name, change in self._unlisted.items():
                entry, address = self._parsed[name]
                entries.append(self._entry(entry, change))
                addresses.append(address)
        return Listing(listing.kind, listing.version, tuple(entries), tuple(addresses))

    def _drop_unlisted(self) -> None:
        """The time is over for which upstreams were used that discovery does not list."""
        kept, self._unlisted = self._unlisted, {}
        if self._ended:
            return
        gone = [Change(name, None, change.place) for name, change in kept.items()]
        if gone:
            self._log(f"remembered: {len(gone)} upstreams that discovery does not list are not used any more")
        self._announce(
            gone, ListKind.DELTA if not self._config.settings.on_request_discovery else ListKind.PROOF
        )
        self._parsed = {}

    # ------------------------------------------------ for the store and operators

    def evidence(self, max_count: int) -> dict[str, Evidence]:
        """Upstreams that have served since the last call, `max_count` at the most."""
        found: dict[str, Evidence] = {}
        while self.proved and len(found) < max_count:
            server, (at, how) = self.proved.popitem()
            name = self._name(server)
            if name is not None:
                found[name] = Evidence(0.0, at, how)
        return found

    def close(self) -> None:
        """Probe and log nothing any more."""
        self._ended = True

    def facts(self) -> dict[str, object]:
        """Fields of STATUS."""
        if self.entries is None:
            return {"remembered": "kept" if self._unlisted else "off", "remembered_kept": len(self._unlisted)}
        counts = self.entries.counts()
        return {
            "remembered": "used",
            "remembered_listed": counts.listed,
            "remembered_open": counts.open,
            "remembered_proved": counts.proved,
            "remembered_lost": counts.lost,
        }

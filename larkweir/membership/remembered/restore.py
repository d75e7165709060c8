"""Serves from a list that was restored from disk, or that the configuration gives, until discovery answers. Reports to
the decisions what probes and requests' own answers show, in the order in which they do. `entries.py` decides.
"""

from __future__ import annotations

from collections.abc import Callable

from larkweir_balancing.interface import ListKind, Outcome

from larkweir.background.rules import Outcome as Step
from larkweir.background.rules import Task
from larkweir.background.runner import Runner
from larkweir.config.options import Remembered as Options
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.message import Message
from larkweir.core.ports import Listing, Pool
from larkweir.membership.discovery import Discovery
from larkweir.membership.remembered.entries import REVIEW_INTERVAL_MS, Change, RestoredEntries
from larkweir.membership.remembered.evidence import Evidence, EvidenceKind
from larkweir.membership.remembered.identity import UpstreamIdentity, parse_identity
from larkweir.membership.remembered.prober import RestoredProber
from larkweir.membership.remembered.reconciliation import ListReconciler
from larkweir.membership.remembered.rows import RestoredRows, RestoredState


class RestoredMembers:
    """The restored list, from the start until discovery has answered; and after that, the evidence worth persisting."""

    def __init__(
        self,
        options: Options,
        config: Config,
        clock: Clock,
        log: Callable[[str], None],
        discovery: Discovery,
        forward_listing: Callable[[Listing], None],
        pool: Pool,
        target: bytes,
    ) -> None:
        self._options = options
        self._config = config
        self._clock = clock
        self._log = log
        self._discovery = discovery
        self._forward_listing = forward_listing
        self._header = options.identity.lower().encode()
        self._is_closed = False
        self._rows = RestoredRows(discovery.names, log)
        self._reconciler = ListReconciler(self._rows, self._name)
        self._drains: dict[str, float] = {}  # as restored, until discovery has answered
        # Called with an upstream's number and since when it has drained, for each restored drain.
        self.on_drain_restored: Callable[[int, float], None] = lambda number, since_ms: None
        self.entries: RestoredEntries | None = None
        self.answered_ms = 0.0  # when discovery last answered; 0: it has not
        self.served: dict[int, tuple[float, EvidenceKind]] = {}  # by number, since `evidence` was called
        self.prober = RestoredProber(self, self._rows, clock, pool, target, self._on_unusable)
        discovery.names.reverse = {}
        discovery.on_answer = self._on_answer
        discovery.reroute(self._on_listing)

    def _on_answer(self) -> None:
        self.answered_ms = self._clock.now_ms()

    @property
    def is_complete(self) -> bool:
        """Whether discovery's list alone counts."""
        return self.answered_ms > 0.0 and not self._reconciler.unlisted

    # ------------------------------------------------ the start

    def restore(self, restored: RestoredState, runner: Runner | None) -> None:
        """Serve from a restored list, as far as there is confidence in it; nothing where discovery has been faster."""
        if self.answered_ms or not restored.listing.get("instances"):
            return
        settings = self._config.settings
        entries = RestoredEntries(
            settings.me, settings.balancer_count, settings.may_probe, bool(self._header)
        )
        entries.churn = restored.churn
        entries.source = restored.source
        entries.is_uncertain = restored.is_uncertain
        listen = f"{self._config.listen[0]}:{self._config.listen[1]}"
        evidence, own_address = self._rows.load(restored, listen)
        self._drains = restored.drains
        self.entries = entries
        changes = entries.load(evidence, self._clock.now_ms())
        counts = entries.counts()
        self._log(
            f"remembered: {len(evidence)} upstreams, {counts.in_use} in use at first"
            + (f", {counts.distrusted} not trusted" if counts.distrusted else "")
            + (f"; {own_address} at this balancer's own address" if own_address else "")
        )
        self._announce(changes, ListKind.CACHED)
        if runner is not None:
            runner.add(
                Task("remembered.age", priority=3, period_ms=REVIEW_INTERVAL_MS, first_ms=REVIEW_INTERVAL_MS),
                self._review,
            )
        self.prober.arm()

    def _announce(self, changes: list[Change], kind: ListKind = ListKind.PROOF) -> None:
        """Report changes to the decisions."""
        listing = self._rows.listing(changes, kind)
        if listing is not None:
            self._forward_listing(listing)

    # ------------------------------------------------ probes and answers

    def _on_unusable(self, name: str, now_ms: float) -> None:
        if self.entries is not None:
            self._announce(self.entries.on_ended(name, True, Outcome.CONNECT_FAILED, None, now_ms)[1])

    def _identity_of(self, answer: Message | None) -> UpstreamIdentity | None:
        if answer is None or not self._header:
            return None
        values = [value for key, value in answer.headers if key.lower() == self._header]
        return parse_identity(values[0]) if len(values) == 1 else None

    def ended(self, server: int, outcome: Outcome, answer: Message | None, probe: bool = False) -> bool:
        """An attempt or a probe has ended; whether its answer may count (`larkweir.core.ports.AnswerVerifier`)."""
        if outcome is Outcome.OK and not probe:
            self.served[server] = (self._clock.now_ms(), EvidenceKind.ANSWERED)
        if self.entries is None:
            return True
        name = self._name(server)
        if name is None:
            return True
        identity = self._identity_of(answer)
        counts, changes = self.entries.on_ended(name, probe, outcome, identity, self._clock.now_ms())
        if not counts and identity is not None:
            self.served.pop(server, None)
            self._log(f"remembered: at the address of {name:.100} is {identity.instance:.100}")
        self._announce(changes)
        self.prober.arm()
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
        self.prober.arm()
        return Step.DONE if last else Step.MORE

    # ------------------------------------------------ discovery answers

    def _on_listing(self, listing: Listing) -> None:
        if listing.kind in (ListKind.FULL, ListKind.DELTA):
            if self.entries is not None:
                if listing.kind is ListKind.DELTA:
                    return  # changes to a list that is not the restored one: the whole one is asked for
                self._on_first_list(listing, self.entries)
            listing = self._reconciler.corrected(listing, self._clock.now_ms())
        self._forward_listing(listing)
        if self._drains and listing.kind is ListKind.FULL and self.entries is None:
            # A drain's grace runs from when it was first reported, to whichever process.
            for name, since_ms in self._drains.items():
                self.on_drain_restored(self._discovery.number(name) or 0, since_ms)
            self._drains = {}

    def _on_first_list(self, listing: Listing, entries: RestoredEntries) -> None:
        """Discovery's first list ends the restored one, but for upstreams that discovery may not know of yet."""
        now = self._clock.now_ms()
        active = self._reconciler.begin(listing, entries, now)
        counts = entries.counts()
        self.entries = None
        self._log(
            f"remembered: discovery lists {active}; of the remembered "
            f"{counts.answered} had answered, {counts.lost} had not"
        )
        unlisted = self._reconciler.unlisted
        if unlisted:
            self._log(
                f"remembered: {len(unlisted)} upstreams that answer are not in its list, more than half "
                f"of those: used on for {self._options.panic_ms / 1000.0:.0f} s"
            )
            self._clock.at(now + self._options.panic_ms, self._drop_unlisted)
        else:
            self._rows.forget_parsed()
        self._rows.forget_unparsed()

    def _drop_unlisted(self) -> None:
        """The time is over for which upstreams were used that discovery does not list."""
        changes = self._reconciler.drop_unlisted()
        if self._is_closed:
            return
        if changes:
            self._log(
                f"remembered: {len(changes)} upstreams that discovery does not list are not used any more"
            )
        self._announce(
            changes, ListKind.DELTA if not self._config.settings.on_request_discovery else ListKind.PROOF
        )
        self._rows.forget_parsed()

    # ------------------------------------------------ for the store and operators

    def evidence(self, max_count: int) -> dict[str, Evidence]:
        """Upstreams that have served since the last call, `max_count` at the most."""
        found: dict[str, Evidence] = {}
        while self.served and len(found) < max_count:
            server, (at, how) = self.served.popitem()
            name = self._name(server)
            if name is not None:
                found[name] = Evidence(0.0, at, how)
        return found

    def close(self) -> None:
        """Probe and log nothing any more."""
        self._is_closed = True
        self.prober.close()

    def facts(self) -> dict[str, object]:
        """Fields of STATUS."""
        if self.entries is None:
            unlisted = self._reconciler.unlisted
            return {"remembered": "kept" if unlisted else "off", "remembered_kept": len(unlisted)}
        counts = self.entries.counts()
        return {
            "remembered": "used",
            "remembered_listed": counts.listed,
            "remembered_open": counts.in_use,
            "remembered_proved": counts.answered,
            "remembered_lost": counts.lost,
        }

"""One balancer: its parts, put together and connected, what a reload changes in place, and what a successor gets."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import replace
from importlib import import_module
from typing import TYPE_CHECKING, Any

from larkweir_balancing import Balancer

from larkweir.config.classes import in_place
from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.memory_budget import MemoryBudget
from larkweir.core.ports import Decisions
from larkweir.core.request_handler import RequestHandler
from larkweir.core.request_parser import RequestParser
from larkweir.core.stderr_log import StderrLog
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import DiscoveryError, InstanceRow
from larkweir.protocols.connection import Connection
from larkweir.protocols.http1.callers import CallerConnection
from larkweir.protocols.http1.upstreams import UpstreamConnection
from larkweir.protocols.listener import Listener
from larkweir.upstreams.pool import UpstreamPool

if TYPE_CHECKING:
    from larkweir_peers.transport import PeerTransport

    from larkweir.background.runner import Runner
    from larkweir.coordination.captures.part import Part as Captures
    from larkweir.coordination.edits.part import Part as Edits
    from larkweir.coordination.owners import OwnersPlugin
    from larkweir.lifecycle.channel import HandoverState
    from larkweir.lifecycle.peer_request_ids import NotifyTaken, PeerRequestIds
    from larkweir.membership.remembered.evidence import Evidence
    from larkweir.membership.remembered.restore import RestoredMembers
    from larkweir.routes.hands import Routes
    from larkweir.routes.switch import Switch
    from larkweir.store.state_store import StateStore
    from larkweir.storms.gate import Gate


def speaks_fastcgi(options: Operator) -> bool:
    """Whether callers or upstreams may speak FastCGI."""
    by_default = bool(options.fastcgi.listen) or options.fastcgi.upstreams != "off"
    by_default = by_default or options.edits.on  # another balancer's edit may say so of a pool
    return by_default or any(pool.protocol == "fastcgi" for pool in options.pools.values())


# The parts beside the core, in the order in which they are plugged in, and whether each is on; one that is off is not
# imported. A part is a module with `attach(node, options)`, and says by a protocol what it needs of the node. One that
# makes the log or the decisions has `begin(node, options)` as well, which comes before the core stands, and may
# return options that count for all behind it.
PARTS: tuple[tuple[str, Callable[[Operator], bool]], ...] = (
    ("larkweir.coordination.edits.part", lambda options: options.edits.on),
    ("larkweir.routes.part", lambda options: bool(options.routes or options.pools or options.edits.on)),
    ("larkweir.storms.part", lambda options: options.storms.on),
    ("larkweir.logs.part", lambda options: options.log.format == "json"),
    ("larkweir.protocols.fastcgi.part", speaks_fastcgi),
    ("larkweir.membership.remembered.part", lambda options: options.store.on or options.remembered.known),
    ("larkweir.store.part", lambda options: options.store.on),
    ("larkweir.door.part", lambda options: options.door.on),
    ("larkweir.coordination.part", lambda options: options.peers.on),
    ("larkweir.coordination.owners", lambda options: options.owners.on),
    ("larkweir.budget.part", lambda options: options.budget.on),
    ("larkweir.coordination.captures.part", lambda options: options.captures.on),
)


class Node:
    """The parts of one balancer. Nothing runs until the listener and discovery are started."""

    SPARE = 24  # descriptors for the process itself

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions | None = None,
        offset_ms: float | None = None,
        options: Operator | None = None,
    ) -> None:
        self.config = config
        self.settings = config.settings  # as the parts hold them: classes that are gone keep their places
        self.clock = Clock(loop, offset_ms)
        self.log = StderrLog(config.name)
        loop.set_exception_handler(self._on_loop_error)
        self.memory = MemoryBudget(config.memory_mb)
        self._processes = 1  # of this balancer, that share the limits
        self.options = options or Operator()  # as the operator file says them, whatever has been merged
        self._declare_extensions()
        self.decisions: Decisions = decisions or Balancer(config.settings, config.seed)
        parts = [import_module(name) for name, on in PARTS if options is not None and on(options)]
        for part in parts:
            if hasattr(part, "begin"):
                options = part.begin(self, options) or options
        self._build_core(config)
        for part in parts:
            part.attach(self, options)

    def _declare_extensions(self) -> None:
        """What optional parts set or add to."""
        # What parts add: what ends with the process, what takes a new generation (before the dispatcher does; the
        # options are those that go with it), and what they tell of themselves.
        self.closers: list[Callable[[], None]] = []
        self.generations: list[Callable[[Config, Operator | None], None]] = []
        self.facts: list[Callable[[], dict[str, object]]] = []
        # How a caller's connection is made, by the protocol that its socket speaks.
        self.makes: dict[str, Callable[[Listener], Connection]] = {"http1": CallerConnection}
        # What a route says that an upstream speaks; "": nothing.
        self.speaks: Callable[[int], str] | None = None
        self.routes: Routes | None = None
        self.storms: Gate | None = None
        self.runner: Runner | None = None  # of work beside requests, where any part has some
        self.remembered: RestoredMembers | None = None
        self.state_store: StateStore | None = None
        self.peers: PeerTransport | None = None
        self.owners: OwnersPlugin | None = None
        self.edits: Edits | None = None
        self.captures: Captures | None = None
        self.peer_request_ids: PeerRequestIds | None = None  # where another process serves beside this one

    def _build_core(self, config: Config) -> None:
        callers, upstreams = self._budgets(config)
        self.upstreams = UpstreamPool(
            self.clock, self.memory, UpstreamConnection, config.settings, upstreams, config.drain_grace_ms
        )
        self.dispatcher = Dispatcher(
            config, self.clock, self.log, self.upstreams, self.memory, self.decisions
        )
        self.discovery = Discovery(config, self.dispatcher.on_listing, self.log.write)
        self.dispatcher.extensions.membership = self.discovery
        self.request_handler = RequestHandler(
            self.dispatcher, RequestParser(config.settings), lambda: self.listener.ready
        )
        self.listener = Listener(self.dispatcher, self.request_handler, CallerConnection, callers)

    @property
    def learner(self) -> Balancer | Switch | None:
        """The decisions, where they can tell and be told what was learned."""
        if self.routes is not None:
            return self.routes.switch
        return self.decisions if isinstance(self.decisions, Balancer) else None

    def hold_peers(self, held: bool) -> None:
        """Held: a successor goes on under this one's name among the peers, as soon as its duties are handed over."""
        if self.edits is not None:
            self.edits.hold(held)
        if self.captures is not None:
            self.captures.hold(held)
        if self.owners is not None:
            self.owners.hold(held)
        elif self.peers is not None:
            self.peers.set_suspended(held)

    def close(self) -> None:
        """Nothing runs any more, but the listener."""
        self.discovery.stop()
        self.upstreams.close()
        for close in self.closers:
            close()

    def _budgets(self, config: Config) -> tuple[int, int]:
        """Callers' and upstreams' sockets: of the descriptors, what the process itself needs goes first."""
        spare = max(8, config.sockets // self._processes - self.SPARE)
        return spare * 9 // 20, spare // 2

    def share_limits(self, processes: int) -> None:
        """So many processes of this balancer share the limits from now on. What is open or buffered stays."""
        self._processes = processes
        self.memory.resize(self.config.memory_mb / processes)
        callers, upstreams = self._budgets(self.config)
        self.listener.budget = callers
        self.upstreams.configure(self.settings, upstreams, self.config.drain_grace_ms)

    def reconfigure(self, config: Config, options: Operator | None = None) -> None:
        """A new generation takes over, whole, between two events. `config` has been checked and differs from
        the present one only in what may change live. `options`: the operator file that goes with it.
        """
        self.config = config
        # Requests are held by their class's place: it stays.
        self.settings = settings = in_place(self.settings.classes, config.settings, self._class_places())
        self.memory.resize(config.memory_mb / self._processes)
        callers, upstreams = self._budgets(config)
        self.listener.budget = callers
        taken = {item.name for item in config.settings.classes}
        self.request_handler.parser = RequestParser(
            settings, taken, self.clock.now_ms(), self.request_handler.parser
        )
        self.upstreams.configure(settings, upstreams, config.drain_grace_ms)
        whole = replace(config, settings=settings)
        if options is not None:
            self.options = options
            if self.edits is not None:
                options = self.edits.merged(options)
        for configure in self.generations:
            configure(whole, options)
        self.dispatcher.reconfigure(whole)
        self.discovery.move(config.discovery)

    def _class_places(self) -> set[int]:
        """The places of the classes of open requests."""
        if self.routes is not None:
            return self.routes.switch.class_places()
        if isinstance(self.decisions, Balancer):
            return {request.class_index for request in self.decisions.requests.values()}
        return set()

    # ------------------------------------------------ from process to process

    def handover_state(self, share: bool = True) -> HandoverState:
        """What a successor needs. With `share` it gets this process's credit with cold upstreams, which is then spent
        here: both together keep to one.
        """
        from larkweir.lifecycle.channel import HandoverState  # not imported before the first handover

        held = dict(self.discovery.held.snapshot())
        learned = self.learner.learned() if share and self.learner is not None else {}
        peer_ids = self.peer_request_ids.ids() if self.peer_request_ids is not None else []
        return HandoverState(
            offset_ms=self.clock.offset_ms,
            discovery=self.discovery.address,
            held=held,
            drains=self.drains(),
            ids=[*peer_ids, *self.dispatcher.requests.ids()],
            learned=learned,
        )

    def begin(self, known: HandoverState | None = None) -> None:
        """Start discovery, before the first request, and go on from what is known: of another process that has handed
        it over, of what the store has persisted, or of the list that the configuration gives.
        """
        if self.remembered is None or self.runner is None:
            self.discovery.start()
            if known is not None:
                self.adopt(known)
            return
        from larkweir.lifecycle.channel import HandoverState
        from larkweir.membership.remembered.evidence import Churn, Source
        from larkweir.membership.remembered.restore import RestoredState

        told = self.state_store.open() if self.state_store is not None else None
        restored: RestoredState | None = None
        given = self.config.known
        if known is None or not known.held:  # a list that was handed over is newer than either
            if told is not None and told.listing and told.source == self.discovery.address:
                version = given.get("generation")
                if not isinstance(version, int) or version < told.listing["generation"]:
                    restored = RestoredState(
                        told.listing, told.evidence, told.churn, told.is_clock_uncertain, told.drains
                    )
            if restored is None and given and not self.discovery.trust_known:
                restored = RestoredState(given, {}, Churn(), False, {}, Source.GIVEN)
            self.discovery.trust_known = restored is None
        else:
            self.discovery.trust_known = True
        self.discovery.start()
        if known is not None:
            self.adopt(known)
        if restored is not None:
            self.remembered.restore(restored, self.runner)
        if told is not None:
            self.adopt(
                HandoverState(
                    self.clock.offset_ms, told.source, {}, told.drains, told.request_ids, told.learned
                )
            )
        if self.state_store is not None:
            self.state_store.attach(self, self.runner)

    # ------------------------------------------------ what is persisted (`larkweir.store.changes.StateSources`)

    def is_settled(self) -> bool:
        """Whether discovery has answered, so that its list is the one to persist."""
        return self.remembered is not None and self.remembered.is_settled

    def changed_ids(self) -> set[str]:
        """Instance ids whose rows may have changed; the caller takes out those that it has looked at."""
        changed = self.discovery.held.changed_ids
        return changed if changed is not None else set()

    def row(self, name: str) -> InstanceRow | None:
        """An upstream's row in discovery's form; None if it is not listed."""
        return self.discovery.row(name)

    def generation(self) -> int:
        """The version of the list."""
        return self.discovery.generation

    def answered_ms(self) -> float:
        """When discovery last answered, in milliseconds of this process's clock."""
        return self.remembered.answered_ms if self.remembered is not None else 0.0

    def evidence(self, max_count: int) -> dict[str, Evidence]:
        """At most `max_count` upstreams that have served since the last call."""
        return self.remembered.evidence(max_count) if self.remembered is not None else {}

    def source(self) -> str:
        """Discovery's address."""
        return self.discovery.address

    def drains(self) -> dict[str, float]:
        """When each upstream that drains was told to, by instance id, in milliseconds of this process's clock."""
        found: dict[str, float] = {}
        if not self.upstreams.draining:
            return found
        reverse = self.discovery.names.reverse
        if reverse is not None:
            return {
                reverse[number]: self.upstreams.table[number].draining_since_ms
                for number in self.upstreams.draining
                if number in reverse
            }
        numbers = {
            number: self.upstreams.table[number].draining_since_ms for number in self.upstreams.draining
        }
        for row in self.discovery.held.snapshot()["instances"]:
            told = numbers.get(self.discovery.number(row["instanceId"]) or 0, 0.0)
            if told:
                found[row["instanceId"]] = told
        return found

    def learned(self) -> dict[str, Any]:
        """What the decisions have learned, without giving the credit away: this process goes on with it."""
        if self.learner is None:
            return {}
        if self.routes is not None:
            held = [pool.decisions.slow_start for pool in self.routes.switch.pools.values()]
        else:
            assert isinstance(self.decisions, Balancer)
            held = [self.decisions.slow_start]
        credits = [item.credit for item in held]
        found = self.learner.learned()
        for item, credit in zip(held, credits, strict=True):
            item.credit = credit
        for told in (found, *found.get("pools", {}).values()):
            told["credit"] = 0.0
        return found

    def exchange_ids(self, process: int, notify: NotifyTaken) -> PeerRequestIds:
        """Another process serves beside this one: each sends the other the ids that it accepts."""
        if self.peer_request_ids is None:
            # Not imported before the first handover.
            from larkweir.lifecycle.peer_request_ids import PeerRequestIds

            self.peer_request_ids = self.request_handler.peer_ids = PeerRequestIds(
                self.clock.now_ms, self.dispatcher.requests.merge_ids
            )
        self.peer_request_ids.join(process, notify)
        return self.peer_request_ids

    def adopt(self, known: HandoverState) -> None:
        """Go on from another process's state, as far as it is newer than this one's."""
        try:
            if known.held:
                self.discovery.adopt(known.discovery, known.held)
        except DiscoveryError as problem:
            self.log.write(f"handover: the list: {problem}")
        # This process may have started with a clock of its own.
        shift = self.clock.offset_ms - known.offset_ms
        if known.discovery == self.discovery.address:
            for name, told in known.drains.items():
                self.upstreams.set_draining_since(self.discovery.number(name) or 0, told + shift)
        self.dispatcher.requests.merge_ids([(trace, ended + shift) for trace, ended in known.ids])
        if known.learned and self.learner is not None:
            self.learner.adopt(known.learned)

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no handler caught: one bounded line, and the process goes on."""
        problem = context.get("exception")
        frames = "".join(traceback.format_exception(problem, limit=-3)) if problem is not None else ""
        self.log.write(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

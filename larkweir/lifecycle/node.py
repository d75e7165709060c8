"""Hands: one balancer put together from its parts, and the figures that a generation changes in place."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from larkweir.config.classes import in_place
from larkweir.config.options import Fastcgi, Operator
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.core.engine import Engine
from larkweir.core.intake import Intake
from larkweir.core.journal import Journal
from larkweir.core.ports import Decisions
from larkweir.core.requests import Requests
from larkweir.core.room import Room
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import DiscoveryError
from larkweir.protocols.http1.callers import CallerConnection
from larkweir.protocols.http1.upstreams import UpstreamConnection
from larkweir.protocols.listener import Connection, Listener
from larkweir.upstreams.call import Upstream
from larkweir.upstreams.pool import Connection as Link
from larkweir.upstreams.pool import Upstreams
from mulleinhitch import Balancer

if TYPE_CHECKING:
    from larkweir_peers.hands import Socket

    from larkweir.background.runner import Runner
    from larkweir.budget.chain import Chain
    from larkweir.door.guard import Guard
    from larkweir.fleet.owners import Part
    from larkweir.lifecycle.channel import Knowledge
    from larkweir.logs.lines import JsonJournal
    from larkweir.membership.remembered.evidence import Row
    from larkweir.membership.remembered.hands import Remembered
    from larkweir.routes.hands import Routes
    from larkweir.routes.switch import Switch
    from larkweir.store.keeper import Keeper
    from larkweir.storms.gate import Gate


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
        self.journal = Journal(config.name)
        telling: JsonJournal | None = None
        if options is not None and options.log.format == "json":
            from larkweir.logs.lines import JsonJournal  # not imported where the log is of words

            self.journal = telling = JsonJournal(config.name, options.log.requests_per_s)
        loop.set_exception_handler(self._on_loop_error)
        self.room = Room(config.memory_mb)
        self._lives = 1  # that share the limits
        callers, upstreams = self._budgets(config)
        self.upstreams = Upstreams(
            self.clock, self.room, UpstreamConnection, config.settings, upstreams, config.drain_grace_ms
        )
        self.routes: Routes | None = None
        if decisions is None and options is not None and (options.routes or options.pools):
            from larkweir.routes.hands import Routes  # not imported where there are none

            self.routes = Routes(options, config, self.clock, self.journal.line)
        self.decisions = decisions or (
            self.routes.switch if self.routes is not None else Balancer(config.settings, config.seed)
        )
        self.storms: Gate | None = None
        watched = self.decisions
        if options is not None and options.storms.on and isinstance(watched, Balancer):
            from larkweir.storms.gate import Gate  # not imported where it is off

            self.storms = Gate(options.storms, config, watched, self.journal.line)
            watched = self.storms.watch
        if telling is not None and options is not None:
            watched = self._tell(watched, telling, options.log.requests)
        self.engine = Engine(config, self.clock, self.journal, self.upstreams, self.room, watched)
        tell = self.engine.on_listing
        if self.routes is not None:
            self.routes.engine = self.engine
            self.routes.reroute(self.engine.on_listing)
            tell = self.routes.on_listing
        self.discovery = Discovery(config, tell, self.journal.line)
        self.engine.discovery = self.discovery
        self.intake = Intake(self.engine, Requests(config.settings), lambda: self.listener.ready)
        self.intake.router = self.routes
        self.listener = Listener(self.engine, self.intake, CallerConnection, callers)
        self._closers: list[Callable[[], None]] = []
        # How a caller's connection is made, by the protocol that its socket speaks.
        self.makes: dict[str, Callable[[Listener], Connection]] = {"http1": CallerConnection}
        if options is not None and (
            options.fastcgi.listen
            or options.fastcgi.upstreams != "off"
            or any(pool.protocol == "fastcgi" for pool in options.pools.values())
        ):
            self._add_fastcgi(options.fastcgi)
        if self.storms is not None:
            self.storms.attach(self.engine, self.upstreams, self.listener)
        self.keeper: Keeper | None = None
        self.runner: Runner | None = None  # of work beside requests, where any part has some
        self.remembered: Remembered | None = None
        if options is not None and (options.store.on or options.remembered.known):
            self._add_memory(options)
        self.guard: Guard | None = None
        if options is not None and options.door.on:
            from larkweir.door.guard import Guard  # not imported where it is off

            self.guard = self.intake.guard = Guard(
                options.door,
                config.settings,
                self.clock,
                config.seed,
                self.engine.is_known,
                self.journal.line,
            )
        self.peers: Socket | None = None
        if options is not None and options.peers.on:
            from larkweir.fleet.part import attach  # not imported where it is off

            self.peers = attach(self, options)
        self.owners: Part | None = None
        if options is not None and options.owners.on:
            from larkweir.config.platform import ConfigError

            if self.peers is None:
                raise ConfigError("owners.on: it needs peers: write on = true in [peers], or false here")
            from larkweir.fleet import owners  # not imported where it is off

            self.owners = owners.attach(self, self.peers, options)
            self._closers.append(self.owners.close)
        if self.peers is not None:
            self._closers.append(self.peers.close)
        self.chain: Chain | None = None
        if options is not None and options.budget.on:
            from larkweir.budget.chain import Chain  # not imported where it is off

            self.chain = self.engine.budgets = Chain(options.budget, config.settings, self.journal.line)

    def _tell(self, decisions: Decisions, journal: JsonJournal, part: float) -> Decisions:
        """The decisions with what goes in and out of them told to the log."""
        from larkweir.logs.watch import Watch  # not imported where the log is of words

        def trace_of(number: int) -> bytes:
            exchange = self.engine.exchange_of(number)
            return exchange.trace if exchange is not None else b""

        def address_of(number: int) -> str:
            upstream = self.upstreams.table.get(number)
            return f"{upstream.address[0]}:{upstream.address[1]}" if upstream is not None else "gone"

        return Watch(decisions, self.settings, part, trace_of, address_of, journal.event)

    @property
    def learner(self) -> Balancer | Switch | None:
        """The decisions, where they can tell and be told what was learned."""
        if self.routes is not None:
            return self.routes.switch
        return self.decisions if isinstance(self.decisions, Balancer) else None

    def _add_memory(self, options: Operator) -> None:
        # Not imported where they are off.
        from random import Random

        from larkweir.background.runner import Runner
        from larkweir.membership.remembered.hands import Remembered

        config, say = self.config, self.journal.line
        self.runner = Runner(self.clock, lambda: self.engine.holds, say, Random(config.seed))
        self.remembered = self.engine.witness = Remembered(
            options.remembered,
            config,
            self.clock,
            say,
            self.discovery,
            self.engine.on_listing if self.routes is None else self.routes.on_listing,
            self.upstreams,
            self.engine.probe_target,
        )
        self.remembered.drained = self.upstreams.told
        self._closers.append(self.remembered.close)
        self.discovery.trust_known = not options.remembered.known
        if options.store.on:
            from larkweir.store.keeper import Keeper

            self.discovery.touched = set()
            self.keeper = self.engine.keeper = Keeper(options.store, config, self.clock, say)
            self._closers.append(self.keeper.close)

    def _add_fastcgi(self, options: Fastcgi) -> None:
        # Not imported where it is off.
        from larkweir.protocols.fastcgi.callers import FastcgiCaller
        from larkweir.protocols.fastcgi.cgi import refuse_collapsing
        from larkweir.protocols.fastcgi.upstreams import Dialect

        self.makes["fastcgi"] = FastcgiCaller
        routes = self.routes
        if options.upstreams == "off" and routes is None:
            return
        dialect = Dialect(options.multiplex, options.requests, options.keep, self.journal.line)
        whole = options.upstreams == "tier"
        kinds = frozenset(n for n, name in enumerate(self.config.kinds) if name in options.kinds)

        def speaks(upstream: Upstream) -> bool:
            said = routes.speaks(upstream.number) if routes is not None else ""
            return said == "fastcgi" if said else whole or upstream.kind in kinds

        def make(pool: Upstreams, upstream: Upstream) -> Link:
            if speaks(upstream):
                return dialect.connection(pool, upstream)
            return UpstreamConnection(pool, upstream)

        self.upstreams.make = make
        self.upstreams.full = lambda upstream, waiting: (speaks(upstream) and dialect.full(upstream, waiting))
        self.intake.checks.append(refuse_collapsing)
        self.intake.streams = False  # the records of a request are made of its whole body
        self._closers.append(dialect.close)

    def hold_peers(self, held: bool) -> None:
        """Held: a successor goes on under this one's name among the peers, as soon as its duties are handed over."""
        if self.owners is not None:
            self.owners.hold(held)
        elif self.peers is not None:
            self.peers.hold(held)

    def close(self) -> None:
        """Nothing runs any more, but the listener."""
        self.discovery.stop()
        self.upstreams.close()
        for close in self._closers:
            close()

    def _budgets(self, config: Config) -> tuple[int, int]:
        """Callers' and upstreams' sockets: of the descriptors, what the process itself needs goes first."""
        spare = max(8, config.sockets // self._lives - self.SPARE)
        return spare * 9 // 20, spare // 2

    def share(self, lives: int) -> None:
        """So many lives of this balancer share the limits from now on. What is open or held stays."""
        self._lives = lives
        self.room.resize(self.config.memory_mb / lives)
        callers, upstreams = self._budgets(self.config)
        self.listener.budget = callers
        self.upstreams.configure(self.settings, upstreams, self.config.drain_grace_ms)

    def reconfigure(self, config: Config, options: Operator | None = None) -> None:
        """A new generation takes over, whole, between two events. `config` has been checked and differs from
        the present one only in what may change live. `options`: the operator file that goes with it.
        """
        self.config = config
        # Requests are held by their class's place: it stays.
        self.settings = settings = in_place(self.settings.classes, config.settings)
        self.room.resize(config.memory_mb / self._lives)
        callers, upstreams = self._budgets(config)
        self.listener.budget = callers
        self.intake.requests = Requests(settings, {item.name for item in config.settings.classes})
        self.upstreams.configure(settings, upstreams, config.drain_grace_ms)
        if self.routes is not None and options is not None:
            self.routes.reconfigure(options, replace(config, settings=settings))
        self.engine.reconfigure(replace(config, settings=settings))
        if self.guard is not None:
            self.guard.configure(settings)
        if self.chain is not None:
            self.chain.configure(settings)
        self.discovery.move(config.discovery)

    # ------------------------------------------------ from life to life

    def knowledge(self, share: bool = True) -> Knowledge:
        """What a successor needs. With `share` it gets this life's credit with cold upstreams, which is then
        spent here: both together keep to one.
        """
        from larkweir.lifecycle.channel import Knowledge  # not imported before the first handover

        held = self.discovery.held()
        learned = self.learner.learned() if share and self.learner is not None else {}
        return Knowledge(
            offset_ms=self.clock.offset_ms,
            discovery=self.discovery.address,
            held=held,
            drains=self.drains(),
            ids=self.engine.ids(),
            learned=learned,
        )

    def begin(self, known: Knowledge | None = None) -> None:
        """Start discovery, before the first request, and go on from what is known: of another life that has handed it
        over, of what the store has kept, or of the list that the configuration gives.
        """
        if self.remembered is None or self.runner is None:
            self.discovery.start()
            if known is not None:
                self.adopt(known)
            return
        from larkweir.lifecycle.channel import Knowledge
        from larkweir.membership.remembered.evidence import Churn, Source
        from larkweir.membership.remembered.hands import Recalled

        told = self.keeper.open() if self.keeper is not None else None
        recalled: Recalled | None = None
        given = self.config.known
        if known is None or not known.held:  # a list that was handed over is newer than either
            if told is not None and told.held and told.source == self.discovery.address:
                version = given.get("generation")
                if not isinstance(version, int) or version < told.held["generation"]:
                    recalled = Recalled(told.held, told.rows, told.churn, told.clock_doubt, told.drains)
            if recalled is None and given and not self.discovery.trust_known:
                recalled = Recalled(given, {}, Churn(), False, {}, Source.GIVEN)
            self.discovery.trust_known = recalled is None
        else:
            self.discovery.trust_known = True
        self.discovery.start()
        if known is not None:
            self.adopt(known)
        if recalled is not None:
            self.remembered.recall(recalled, self.runner)
        if told is not None:
            self.adopt(Knowledge(self.clock.offset_ms, told.source, {}, told.drains, told.ids, told.learned))
        if self.keeper is not None:
            self.keeper.attach(self, self.runner)

    # What is kept of this life (`larkweir.store.keeper.Sources`).

    def settled(self) -> bool:
        return self.remembered is not None and self.remembered.settled

    def touched(self) -> set[str]:
        return self.discovery.touched if self.discovery.touched is not None else set()

    def row(self, name: str) -> dict[str, Any] | None:
        return self.discovery.row(name)

    def generation(self) -> int:
        return self.discovery.generation

    def heard_ms(self) -> float:
        return self.remembered.heard_ms if self.remembered is not None else 0.0

    def evidence(self, most: int) -> dict[str, Row]:
        return self.remembered.evidence(most) if self.remembered is not None else {}

    def source(self) -> str:
        return self.discovery.address

    def drains(self) -> dict[str, float]:
        found: dict[str, float] = {}
        if not self.upstreams.draining:
            return found
        reverse = self.discovery.names.reverse
        if reverse is not None:
            return {
                reverse[number]: self.upstreams.table[number].told_ms
                for number in self.upstreams.draining
                if number in reverse
            }
        numbers = {number: self.upstreams.table[number].told_ms for number in self.upstreams.draining}
        for row in self.discovery.held()["instances"]:
            told = numbers.get(self.discovery.number(row["instanceId"]) or 0, 0.0)
            if told:
                found[row["instanceId"]] = told
        return found

    def learned(self) -> dict[str, Any]:
        """Without giving the credit away: this life goes on with it."""
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

    def adopt(self, known: Knowledge) -> None:
        """Go on from another life's knowledge, as far as it is newer than this one's."""
        try:
            if known.held:
                self.discovery.catch_up(known.discovery, known.held)
        except DiscoveryError as problem:
            self.journal.line(f"handover: the list: {problem}")
        if known.discovery == self.discovery.address:
            for name, told in known.drains.items():
                self.upstreams.told(self.discovery.number(name) or 0, told)
        self.engine.take_ids(known.ids)
        if known.learned and self.learner is not None:
            self.learner.adopt(known.learned)

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no handler caught: one bounded line, and the process goes on."""
        problem = context.get("exception")
        frames = "".join(traceback.format_exception(problem, limit=-3)) if problem is not None else ""
        self.journal.line(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

"""One balancer: its components, how they are connected, what a reload changes in place, and what a successor gets."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import replace
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
from larkweir.lifecycle.extensions import load_extensions
from larkweir.lifecycle.node_state import NodeState
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import DiscoveryError
from larkweir.protocols.connection import Connection
from larkweir.protocols.http1.callers import CallerConnection
from larkweir.protocols.http1.upstreams import UpstreamConnection
from larkweir.protocols.listener import Listener
from larkweir.upstreams.pool import UpstreamPool

if TYPE_CHECKING:
    from larkweir_peers.transport import PeerTransport

    from larkweir.background.runner import Runner
    from larkweir.coordination.captures.part import Part as Captures
    from larkweir.coordination.edits.plugin import EditsPlugin
    from larkweir.coordination.owners import OwnersPlugin
    from larkweir.lifecycle.channel import HandoverState
    from larkweir.lifecycle.peer_request_ids import NotifyTaken, PeerRequestIds
    from larkweir.membership.remembered.restore import RestoredMembers
    from larkweir.membership.remembered.rows import RestoredState
    from larkweir.routes.request_routing import Routes
    from larkweir.routes.switch import Switch
    from larkweir.store.recoverable_state import RecoverableState
    from larkweir.store.state_store import StateStore
    from larkweir.storms.gate import Gate


class Node:
    """The components of one balancer. Nothing runs until the listener and discovery are started."""

    RESERVED_DESCRIPTORS = 24  # for the process itself

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions | None = None,
        offset_ms: float | None = None,
        options: Operator | None = None,
    ) -> None:
        self.config = config
        self.settings = (
            config.settings
        )  # as the components have them: classes that were removed keep their index
        self.clock = Clock(loop, offset_ms)
        self.log = StderrLog(config.name)
        loop.set_exception_handler(self._on_loop_error)
        self.memory = MemoryBudget(config.memory_mb)
        self._processes = 1  # of this balancer, that share the limits
        self.state = NodeState(self)
        self.options = options or Operator()  # of the operator file, without edits of other balancers
        self._declare_extensions()
        self.decisions: Decisions = decisions or Balancer(config.settings, config.seed)
        extensions = load_extensions(options) if options is not None else []
        for extension in extensions:
            if hasattr(extension, "begin"):
                options = extension.begin(self, options) or options
        self._build_core(config)
        for extension in extensions:
            extension.attach(self, options)

    def _declare_extensions(self) -> None:
        """What extensions set or add to."""
        # Called as the node closes; with a new configuration and its options, before the dispatcher gets them; and for
        # fields of STATUS.
        self.close_callbacks: list[Callable[[], None]] = []
        self.configure_callbacks: list[Callable[[Config, Operator | None], None]] = []
        self.status_callbacks: list[Callable[[], dict[str, object]]] = []
        # The class of a caller's connection, by the protocol of its listening socket.
        self.connection_types: dict[str, Callable[[Listener], Connection]] = {"http1": CallerConnection}
        # The protocol that a route sets for an upstream, by its number; "": none.
        self.upstream_protocol: Callable[[int], str] | None = None
        self.routes: Routes | None = None
        self.storms: Gate | None = None
        self.runner: Runner | None = None  # of background tasks, where an extension has some
        self.remembered: RestoredMembers | None = None
        self.state_store: StateStore | None = None
        self.peers: PeerTransport | None = None
        self.owners: OwnersPlugin | None = None
        self.edits: EditsPlugin | None = None
        self.captures: Captures | None = None
        self.peer_request_ids: PeerRequestIds | None = None  # where another process serves beside this one

    def _build_core(self, config: Config) -> None:
        client_budget, upstreams = self._budgets(config)
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
        self.listener = Listener(self.dispatcher, self.request_handler, CallerConnection, client_budget)

    @property
    def learner(self) -> Balancer | Switch | None:
        """The decisions, where they can export and import what was learned."""
        if self.routes is not None:
            return self.routes.switch
        return self.decisions if isinstance(self.decisions, Balancer) else None

    def set_peers_handed_over(self, is_handed_over: bool) -> None:
        """Held: a successor uses this one's name among the peers, as soon as its duties are handed over."""
        if self.edits is not None:
            self.edits.set_handed_over(is_handed_over)
        if self.captures is not None:
            self.captures.set_handed_over(is_handed_over)
        if self.owners is not None:
            self.owners.set_handed_over(is_handed_over)
        elif self.peers is not None:
            self.peers.set_suspended(is_handed_over)

    def close(self) -> None:
        """Stop everything but the listener."""
        self.discovery.stop()
        self.upstreams.close()
        for close in self.close_callbacks:
            close()

    def _budgets(self, config: Config) -> tuple[int, int]:
        """How many sockets callers and upstreams may have, of the descriptors that the process does not need itself."""
        spare = max(8, config.sockets // self._processes - self.RESERVED_DESCRIPTORS)
        return spare * 9 // 20, spare // 2

    def share_limits(self, processes: int) -> None:
        """`processes` of this balancer share the limits from now on. What is open or buffered stays."""
        self._processes = processes
        self.memory.resize(self.config.memory_mb / processes)
        client_budget, upstreams = self._budgets(self.config)
        self.listener.budget = client_budget
        self.upstreams.configure(self.settings, upstreams, self.config.drain_grace_ms)

    def reconfigure(self, config: Config, options: Operator | None = None) -> None:
        """Apply a new configuration, between two events. `config` has been checked and differs from
        the present one only in what may change live. `options`: the operator file that goes with it.
        """
        self.config = config
        # Open requests refer to their class by its index: it stays.
        self.settings = settings = in_place(self.settings.classes, config.settings, self._class_places())
        self.memory.resize(config.memory_mb / self._processes)
        client_budget, upstreams = self._budgets(config)
        self.listener.budget = client_budget
        taken = {item.name for item in config.settings.classes}
        self.request_handler.parser = RequestParser(
            settings, taken, self.clock.now_ms(), self.request_handler.parser
        )
        self.upstreams.configure(settings, upstreams, config.drain_grace_ms)
        adjusted_config = replace(config, settings=settings)
        if options is not None:
            self.options = options
            if self.edits is not None:
                options = self.edits.merged(options)
        for configure in self.configure_callbacks:
            configure(adjusted_config, options)
        self.dispatcher.reconfigure(adjusted_config)
        self.discovery.move(config.discovery)

    def _class_places(self) -> set[int]:
        """The indices of the classes of open requests."""
        if self.routes is not None:
            return self.routes.switch.class_indices()
        if isinstance(self.decisions, Balancer):
            return {request.class_index for request in self.decisions.requests.values()}
        return set()

    # ------------------------------------------------ from process to process

    def handover_state(self, share: bool = True) -> HandoverState:
        """What a successor needs. With `share` it gets this process's credit with cold upstreams, which is then spent
        here: both together keep to one.
        """
        from larkweir.lifecycle.channel import HandoverState  # not imported before the first handover

        upstream_list = dict(self.discovery.upstream_list.snapshot())
        learned = self.learner.learned() if share and self.learner is not None else {}
        peer_ids = self.peer_request_ids.ids() if self.peer_request_ids is not None else []
        return HandoverState(
            offset_ms=self.clock.offset_ms,
            discovery=self.discovery.address,
            upstream_list=upstream_list,
            drains=self.state.drains(),
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
        stored = self.state_store.open() if self.state_store is not None else None
        restored: RestoredState | None = None
        if known is None or not known.upstream_list:  # a list that was handed over is newer than either
            restored = self._restored_state(stored)
        self.discovery.trust_known = restored is None
        self.discovery.start()
        if known is not None:
            self.adopt(known)
        if restored is not None:
            self.remembered.restore(restored, self.runner)
        if stored is not None:
            self._adopt_stored(stored)
        if self.state_store is not None:
            self.state_store.attach(self.state, self.runner)

    def _restored_state(self, stored: RecoverableState | None) -> RestoredState | None:
        """The list to start from: the newer of the stored one, if it is from this discovery, and the one that the
        configuration gives; None if there is neither, or discovery itself trusts the given one.
        """
        from larkweir.membership.remembered.evidence import Churn, Source
        from larkweir.membership.remembered.rows import RestoredState

        given = self.config.known
        if stored is not None and stored.listing and stored.source == self.discovery.address:
            version = given.get("generation")
            if not isinstance(version, int) or version < stored.listing["generation"]:
                return RestoredState(
                    stored.listing, stored.evidence, stored.churn, stored.is_clock_uncertain, stored.drains
                )
        if given and not self.discovery.trust_known:
            return RestoredState(given, {}, Churn(), False, {}, Source.CONFIGURED)
        return None

    def _adopt_stored(self, stored: RecoverableState) -> None:
        from larkweir.lifecycle.channel import HandoverState

        self.adopt(
            HandoverState(
                self.clock.offset_ms, stored.source, {}, stored.drains, stored.request_ids, stored.learned
            )
        )

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
            if known.upstream_list:
                self.discovery.adopt(known.discovery, known.upstream_list)
        except DiscoveryError as problem:
            self.log.write(f"handover: the list: {problem}")
        # This process may have started with a clock of its own.
        shift = self.clock.offset_ms - known.offset_ms
        if known.discovery == self.discovery.address:
            for name, since_ms in known.drains.items():
                self.upstreams.set_draining_since(self.discovery.number(name) or 0, since_ms + shift)
        self.dispatcher.requests.merge_ids([(trace, ended + shift) for trace, ended in known.ids])
        if known.learned and self.learner is not None:
            self.learner.adopt(known.learned)

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no handler caught: one bounded line, and the process goes on."""
        problem = context.get("exception")
        frames = "".join(traceback.format_exception(problem, limit=-3)) if problem is not None else ""
        self.log.write(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

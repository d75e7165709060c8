"""Request routing of a balancer: selects the route and the pools of a request, rewrites its target, adds the
upstreams of fixed lists, mirrors requests, spills between zones, and applies reloads."""

from __future__ import annotations

from collections.abc import Callable, Collection
from hashlib import blake2b
from random import Random

from larkweir_balancing import Balancer
from larkweir_balancing.interface import Effect, ListKind, RequestArrived, ServerEntry, ServerState, Settings

from larkweir.config.options import Operator
from larkweir.config.options import Pool as PoolTable
from larkweir.config.platform import Config
from larkweir.config.routing import DEFAULT, fixed_of
from larkweir.core.body_stream import BodyStream
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Address, Listing
from larkweir.core.request_parser import METHODS
from larkweir.routes.paths import Target, normalize, normalize_host
from larkweir.routes.pools import Members, resolve_pools, settings_of
from larkweir.routes.router import Choice, Router
from larkweir.routes.split import Ramp
from larkweir.routes.switch import PendingGeneration, Pool, Switch
from larkweir.routes.table import Facts
from larkweir.routes.trial import Trial
from larkweir.routes.zones import Spill


class RequestTarget:
    """The normalized host and target of a request."""

    __slots__ = ("host", "target")

    def __init__(self, name: bytes, target: Target) -> None:
        self.host, self.target = name, target


class DiscardingCaller:
    """The caller of a mirrored request: discards the answer."""

    streams = False
    peer = ""

    def __init__(self, on_answered: Callable[[], None]) -> None:
        self._on_answered = on_answered

    def gone(self) -> bool:
        return False

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._on_answered()

    def begin(self, status: int, headers: Headers, body: BodyStream) -> None:
        self._on_answered()


class Routes:
    """Selects the route and the pools of each request before it reaches the dispatcher."""

    MAX_MIRRORED = 32  # mirrored requests in flight; beyond that, requests are not mirrored
    SPILL_INTERVAL_MS = 500.0  # between updates of zone shares; several times the longest latency target
    FIRST_FIXED_NUMBER = 1 << 41  # first number for upstreams of fixed lists; above all numbers of discovery

    def __init__(self, options: Operator, config: Config, clock: Clock, log: Callable[[str], None]) -> None:
        self._clock = clock
        self._log = log
        self.config = config
        self.dispatcher: Dispatcher | None = None  # set before the first request
        self._mirrored_in_flight = 0
        self.mirrored = self.unmirrored = 0
        self._fixed: dict[int, ServerEntry] = {}
        self._addresses: dict[int, Address] = {}
        # The instance id of an upstream, "" if unknown. Set only where zones can be evacuated in steps.
        self.name_of: Callable[[int], str] = lambda number: ""
        self._numbers: dict[tuple[Address, str], int] = {}
        self._version = 0  # of the last listing
        self._publish: Callable[[Listing], None] = lambda listing: None
        self._options = options
        self._protocols: dict[str, str] = {}  # by pool
        # By pool that spills: the name of its sub-pool in each zone.
        self._zoned: dict[str, dict[str, str]] = {}
        self._spills: dict[str, Spill] = {}
        self._shares: dict[str, dict[str, float]] = {}  # by pool that spills: the share of each zone
        self._spill_scheduled = False
        self._rng = Random(config.seed)
        self._members: dict[str, Members] = {}
        # By pool and zone that is evacuated step by step: the start time.
        self._evacuating: dict[tuple[str, str], float] = {}
        # By pool and zone that is evacuated step by step: the fraction of upstreams that is already draining.
        self._evacuated_shares: dict[tuple[str, str], float] = {}
        self._evacuated: set[tuple[str, str]] = set()  # every evacuated pool and zone, gradually or not
        self._evacuate_ms = 0.0
        self._keys: dict[str, tuple[str, str]] = {}  # pool and zone, by the key of the evacuation
        self.router = self._router(options, config, None)
        pools, settings = self._pools(options, config, {})
        self.switch = Switch(pools, DEFAULT)
        self.switch.on_request_ended = self._on_request_ended
        self._settings = settings

    # ------------------------------------------------ reloads

    def _router(self, options: Operator, config: Config, before: Router | None) -> Router:
        classes = {cls.name: n for n, cls in enumerate(config.settings.classes)}
        tenants = {tenant.name: n for n, tenant in enumerate(config.settings.tenants)}
        return Router(options.routes, classes, tenants, self._clock.now_ms(), before)

    def _pools(
        self, options: Operator, config: Config, existing: dict[str, Pool]
    ) -> tuple[dict[str, Pool], dict[str, Settings]]:
        pools: dict[str, Pool] = {}
        settings: dict[str, Settings] = {}
        wanted, self._zoned = resolve_pools(options, config.zones)
        home = config.zones[config.settings.my_zone] if config.zones else ""
        self._spills = {name: self._spills.get(name) or Spill(home) for name in self._zoned}
        members: dict[str, Members] = {}
        own: dict[str, frozenset[int]] = {}
        used: dict[int, ServerEntry] = {}
        for name, pool in wanted.items():
            if pool.fixed:
                own[name] = frozenset(self._number(line, config, used) for line in pool.fixed)
        self._fixed = used
        self._protocols = {name: pool.protocol for name, pool in wanted.items() if pool.protocol}
        for name, pool in wanted.items():
            settings[name] = settings_of(pool, config.settings, name == DEFAULT)
            members[name] = Members(pool, config, used, self._stable_name)
            members[name].own = own.get(name)
            if name in existing:
                pools[name] = existing[name]
                pools[name].filter = members[name]
            else:
                seed = config.seed ^ int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")
                pools[name] = Pool(
                    name, Balancer(settings[name], seed if name != DEFAULT else config.seed), members[name]
                )
        self._start_evacuations(options, config, wanted, existing)
        self._members = members
        for name, zone in self._evacuating:
            members[name].set_evacuated_share(
                config.zones.index(zone), self._evacuated_shares.get((name, zone), 0.0)
            )
        return pools, settings

    def _start_evacuations(
        self, options: Operator, config: Config, wanted: dict[str, PoolTable], existing: dict[str, Pool]
    ) -> None:
        """Start the step-by-step evacuation of zones that this configuration evacuates anew in existing pools.

        Without `evacuate_ms`, and for pools that did not exist before, a zone is evacuated at once.
        """
        self._evacuate_ms = options.owners.evacuate_ms if options.owners.on else 0.0
        if "ramps" not in options.owners.duties:
            self._evacuate_ms = 0.0
        now = self._clock.now_ms()
        evacuated = {
            (name, zone)
            for name, pool in wanted.items()
            for zone in pool.evacuated or ()
            if zone in config.zones
        }
        new = (
            {item for item in evacuated - self._evacuated if item[0] in existing}
            if self._evacuate_ms
            else set()
        )
        evacuating = {item: since for item, since in self._evacuating.items() if item in evacuated}
        self._evacuating = evacuating | dict.fromkeys(new, now)
        self._evacuated_shares = {
            item: part for item, part in self._evacuated_shares.items() if item in self._evacuating
        }
        self._evacuated = evacuated
        self._keys = {_key(*item): item for item in self._evacuating}

    def _stable_name(self, number: int) -> str:
        """The address of an upstream of a fixed list, else the instance id; the number where neither is known."""
        if number in self._addresses:
            host, port = self._addresses[number]
            return f"{host}:{port}"
        return self.name_of(number) or str(number)

    def _number(self, line: str, config: Config, used: dict[int, ServerEntry]) -> int:
        """The number of an upstream of a fixed list; it stays the same for the lifetime of the process."""
        address, zone = fixed_of(line)
        number = self._numbers.setdefault((address, zone), self.FIRST_FIXED_NUMBER + len(self._numbers))
        at = config.zones.index(zone) if zone in config.zones else 0
        used[number] = ServerEntry(number, zone=at)
        self._addresses[number] = address
        return number

    def reconfigure(self, options: Operator, config: Config) -> None:
        """Prepare a valid configuration. It takes effect with the `Reconfigured` event that follows."""
        self.config = config
        self.router = self._router(options, config, self.router)
        existing = dict(self.switch.pools)
        fixed = dict(self._fixed)
        pools, settings = self._pools(options, config, existing)
        removed = [pool for name, pool in existing.items() if name not in pools]
        self.switch.pending_generation = PendingGeneration(pools, settings, removed)
        self._options = options
        entries = [entry for number, entry in self._fixed.items() if number not in fixed]
        entries += [ServerEntry(number, ServerState.GONE) for number in fixed if number not in self._fixed]
        if entries:
            addresses = tuple(self._addresses[entry.server] for entry in entries)
            self._publish(Listing(ListKind.PROOF, self._version, tuple(entries), addresses))

    # ------------------------------------------------ the list of upstreams

    def reroute(self, publish: Callable[[Listing], None]) -> None:
        self._publish = publish

    def on_listing(self, listing: Listing) -> None:
        """Pass on a listing from discovery; a complete one is extended by the upstreams of the fixed lists."""
        if self._fixed and listing.kind in (ListKind.FULL, ListKind.CACHED):
            entries = (*listing.entries, *self._fixed.values())
            addresses = (*listing.addresses, *(self._addresses[number] for number in self._fixed))
            listing = Listing(listing.kind, listing.version, entries, addresses)
        self._version = listing.version
        self._publish(listing)

    # ------------------------------------------------ requests

    def place(self, message: Message) -> tuple[int, Headers] | RequestTarget:
        """See `larkweir.core.request_handler.Router`. Raises FramingError 400 if the target or Host is unacceptable."""
        target = normalize(message.target)
        name = normalize_host(message.value(b"host") or b"")
        refusal = refusal_of(self.router.allowed(name, target), message.method)
        if refusal is not None:
            return refusal
        message.target = target.path + target.query
        return RequestTarget(name, target)

    def choose(self, place: object, message: Message, event: RequestArrived, trace: bytes) -> bool:
        """See `larkweir.core.request_handler.Router`."""
        assert isinstance(place, RequestTarget)
        headers: dict[bytes, list[bytes]] = {}
        if self.router.headers:
            for key, value in message.headers:
                lower = key.lower()
                if lower in self.router.headers:
                    headers.setdefault(lower, []).append(value)
        facts = Facts(place.host, place.target, message.method, headers, event.class_index, event.tenant)
        route = self.router.find(facts)
        if route is None:
            return False
        cls = event.class_in(self.config.settings)
        safe = cls.effect is Effect.SAFE
        key = self._key(route, message, event, trace)
        choice = self.router.choose(route, key, trace, safe, self._clock.now_ms())
        if self._zoned:
            choice.pools = tuple(part for name in choice.pools for part in self._in_zones(name))
        event.choice = choice
        if choice.mirror:
            self._mirror(message, event, choice, trace)
        return True

    # ------------------------------------------------ zones

    def _in_zones(self, name: str) -> list[str]:
        """The sub-pools of a pool in the order in which a request tries them: one is drawn at random by the zones'
        shares, the others follow by descending share."""
        zoned = self._zoned.get(name)
        if zoned is None:
            return [name]
        if not self._spill_scheduled:
            self._spill_scheduled = True
            self._update_spill()
        shares = self._shares.get(name, {})
        order = sorted(zoned, key=lambda zone: -shares.get(zone, 0.0))
        drawn = self._rng.random()
        for zone in order:
            drawn -= shares.get(zone, 0.0)
            if drawn < 0.0:
                order.remove(zone)
                order.insert(0, zone)
                break
        return [zoned[zone] for zone in order]

    def _update_spill(self) -> None:
        """Update the shares of all zones from the load and the window of each sub-pool's limiter. Repeats as long as
        any pool spills."""
        if not self._zoned:
            self._spill_scheduled = False
            return
        for name, zoned in self._zoned.items():
            loads, capacities = {}, {}
            for zone, part in zoned.items():
                decisions = self.switch.pools[part].decisions
                loads[zone] = decisions.limiter.mean_in_flight
                capacities[zone] = decisions.limiter.window if decisions.table.ready_count else 0.0
            self._shares[name] = self._spills[name].update(loads, capacities)
        self._clock.after(self.SPILL_INTERVAL_MS, self._update_spill)

    def _key(self, route: str, message: Message, event: RequestArrived, trace: bytes) -> bytes:
        """The value by which a request is sticky; the request id where the request has no such value."""
        sticky = self._options.routes[route].sticky if route in self._options.routes else "request"
        if sticky == "tenant":
            return message.value(b"x-customer") or trace
        if sticky == "object":
            return message.value(b"x-object") or trace
        if sticky == "request":
            return trace
        return message.value(self.router.sticky[route]) or trace

    def _mirror(self, message: Message, event: RequestArrived, choice: Choice, trace: bytes) -> None:
        """Send a copy of a safe request, with its own id, to the mirror pool, unless a limit is reached."""
        dispatcher = self.dispatcher
        if (
            dispatcher is None
            or message.stream is not None
            or self._mirrored_in_flight >= self.MAX_MIRRORED
            or dispatcher.memory.is_half_used
        ):
            self.unmirrored += 1
            return
        own = b"mirror-" + blake2b(trace, digest_size=16).hexdigest().encode()
        if dispatcher.requests.is_known(own):
            self.unmirrored += 1
            return
        copy = Message()
        copy.method, copy.target, copy.body = message.method, message.target, message.body
        copy.headers = [
            (key, own if key.lower() == b"x-trace-id" else value) for key, value in message.headers
        ]
        mirrored_event = RequestArrived(
            0, event.class_index, event.time_left_ms, event.tenant, event.key, event.expected_ms
        )
        mirrored_event.choice = Choice("", tuple(self._in_zones(choice.mirror)))
        self._mirrored_in_flight += 1
        self.mirrored += 1
        time_left_ms = event.time_left_ms
        # In a later turn of the event loop, so that the request itself is sent first.
        config = self.config
        self._clock.after(
            0.0, lambda: self._send_mirrored(dispatcher, copy, time_left_ms, own, mirrored_event, config)
        )

    def _send_mirrored(
        self,
        dispatcher: Dispatcher,
        copy: Message,
        time_left_ms: float,
        trace: bytes,
        mirrored_event: RequestArrived,
        config: Config,
    ) -> None:
        def on_answered() -> None:
            self._mirrored_in_flight -= 1

        if self.config is not config:
            # After a reload the indices of the class and the tenant are out of date, and the class may not be safe.
            on_answered()
            self.mirrored -= 1
            self.unmirrored += 1
            return
        dispatcher.arrive(DiscardingCaller(on_answered), copy, time_left_ms, trace, mirrored_event)

    def _on_request_ended(self, choice: Choice, failed: bool, spent_ms: float) -> None:
        if choice.trial is None:
            return
        main = (
            self.router.routes[choice.route].pool if choice.route in self.router.routes else choice.pools[0]
        )
        line = choice.trial.record(
            choice.assigned_pool, main, failed, spent_ms, choice.cls, choice.split_version
        )
        if line:
            self._log(line)

    def on_trial(self) -> dict[str, Trial]:
        """The canaries on trial in the current configuration (`Router.on_trial`)."""
        return self.router.on_trial()

    def end_trial(self, key: str, why: str) -> None:
        """End the trial of a canary because the fleet has decided so (`Router.end_trial`)."""
        line = self.router.end_trial(key, why)
        if line:
            self._log(line)

    def ramping(self) -> dict[str, tuple[str, float, float]]:
        """As `Router.ramping`, plus the zones that are being evacuated."""
        found = {key: (key, self._evacuate_ms, self._evacuating[item]) for key, item in self._keys.items()}
        return self.router.ramping() | found

    def set_step(self, name: str, step: int) -> None:
        """Set the step of a ramp: that of a route, or of a zone that is being evacuated."""
        item = self._keys.get(name)
        if item is None:
            self.router.set_step(name, step)
            return
        self._evacuated_shares[item] = part = max(
            Ramp(1.0, 0.0).after(step), self._evacuated_shares.get(item, 0.0)
        )
        if self._members[item[0]].set_evacuated_share(self.config.zones.index(item[1]), part):
            self._publish(Listing(ListKind.PROOF, self._version, (), ()))

    def protocol_of(self, number: int) -> str:
        """The protocol of an upstream, from the pools that contain it; empty if none sets one."""
        for pool in self.switch.pools_by_server.get(number, ()):
            if self._protocols.get(pool.name):
                return self._protocols[pool.name]
        return ""

    def facts(self) -> dict[str, object]:
        now = self._clock.now_ms()
        found: dict[str, object] = {
            "routes": len(self.router.routes),
            "pools": ",".join(
                f"{name}:{pool.decisions.table.ready_count}" for name, pool in self.switch.pools.items()
            )[:300],
            "pools_left": len(self.switch.draining_pools),
        }
        if self._shares:
            found["zones"] = ";".join(
                f"{name}={','.join(f'{zone}:{part:.2f}' for zone, part in shares.items())}"
                for name, shares in self._shares.items()
            )[:300]
        states = self.router.states(now)
        if states:
            found["parts"] = ";".join(f"{name}={text}" for name, text in states.items())[:300]
        if self.mirrored or self.unmirrored:
            found |= {"mirrored": self.mirrored, "unmirrored": self.unmirrored}
        return found


def _key(pool: str, zone: str) -> str:
    return blake2b(f"{pool}\0{zone}".encode(), digest_size=8, person=b"evacuate").hexdigest()


def refusal_of(allowed: Collection[bytes] | None, method: bytes) -> tuple[int, Headers] | None:
    """The status and headers of the refusal if no route takes the method; None if one may.

    Args:
        allowed: the result of `Router.allowed`.
        method: the method of the request.
    """
    if allowed is None:
        return 404, []
    if method not in METHODS or (allowed and method not in allowed):
        return 405, [(b"Allow", b", ".join(sorted(allowed or METHODS)))]
    return None

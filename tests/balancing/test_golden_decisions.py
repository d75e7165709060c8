"""Digests of the decisions on fixed seeds: the same events must give the same actions, byte for byte.

The first part uses only the simulator's wire format, so it does not depend on the names of classes: `WireBench`
simulates servers and clients for `wirehost.serve`. The other parts hash plain values. A digest that changes means that
a decision, a random number or a float has changed: find out which. Never paste the new digest of a change that only
renames or moves code.
"""

from __future__ import annotations

import hashlib
import json
import math
import struct
from collections import Counter
from dataclasses import fields, is_dataclass
from enum import Enum
from heapq import heappop, heappush
from random import Random
from typing import Any, cast

import pytest
from larkweir_balancing import Balancer
from larkweir_balancing.fleet_outlier_detection import (
    FleetOutlierDetector,
    OutcomeCounts,
    OutcomeWindow,
    sum_outcomes,
)
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    ClientGone,
    Effect,
    Event,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    PeerHealthReport,
    Probe,
    ProbeEnded,
    Reconfigured,
    RequestArrived,
    RequestBodyReceived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
)
from larkweir_balancing.load_shedding import LoadShedder
from larkweir_balancing.prefill_time import PrefillTime
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.restored_trust import ObservedEvidence, RestoredTrust
from larkweir_balancing.shared_health import SharedHealth
from larkweir_balancing.token_list import UpstreamStatus
from larkweir_balancing.upstream_selection import UpstreamSelector
from larkweir_balancing.wire import encode_action
from larkweir_balancing.wire_settings import decode_settings
from larkweir_balancing.wirehost import serve

CLASSES = [
    {"AimMs": 100.0, "HardLimitMs": 400.0, "Effect": "read_like", "Name": "read", "Worth": 2.0},
    {
        "AimMs": 250.0,
        "HardLimitMs": 900.0,
        "Effect": "idempotency_key",
        "Group": "zone",
        "MemorySpanMs": 300.0,
        "Name": "write",
    },
    {"AimMs": 180.0, "HardLimitMs": 700.0, "Effect": "non_idempotent", "Name": "pay", "Worth": 8.0},
    {"AimMs": 600.0, "HardLimitMs": 2000.0, "Effect": "read_like", "Streaming": True, "LateWorth": 0.2},
]
GUARANTEES = {
    "ColdMs": 2500.0,
    "ColdShare": 0.16,
    "FallMs": 500.0,
    "FallMultiple": 3.0,
    "AskWithinMs": 2000.0,
}
SETTINGS: dict[str, dict[str, Any]] = {
    "zones_and_probes": {
        "Categories": CLASSES,
        "Tenants": [{"QuotaPerS": 200.0, "Name": "a"}, {"QuotaPerS": 50.0, "Name": "b", "Fraction": 0.2}],
        "Guarantees": GUARANTEES,
        "PolicyLimits": {"SendCap": 4, "MayProbe": True, "RetryAfter": True, "MaxRetryAfterMs": 50.0},
        "Stats": {"Fields": ["busy_reqs", "pending"], "How": "on_probe"},
        "Zones": ["x", "y"],
        "MyZone": 1,
        "PeersTotal": 6,
        "Deductions": {"CrossZone": 0.08, "Probe": 0.02},
        "Clients": {"MarksRetry": True},
    },
    "alone": {
        "Categories": CLASSES[:3],
        "Guarantees": GUARANTEES,
        "PolicyLimits": {"SendCap": 3, "ConnIdleMs": 400.0, "ConnectTimeoutMs": 40.0},
        "PeersTotal": 1,
        "Discovery": "on_request",
    },
    "inner_tier": {
        "Categories": CLASSES[:2],
        "Guarantees": GUARANTEES,
        "PolicyLimits": {"SendCap": 6, "SecondCopies": True, "MayCancel": True},
        "PeersTotal": 30,
        "Tier": 1,
        "Tiers": ["front", "back"],
    },
}
SERVERS = 9


class WireBench:
    """Simulates servers and clients of one balancer: `serve` reads events from it and writes actions to it.

    Times are milliseconds. Server 2 fails often, 3 is slow, 4 is gone for a while, 5 is draining, 6 starts cold.
    """

    def __init__(self, name: str, seed: int, requests: int, pause_ms: float) -> None:
        self._rng = Random(seed)
        self._facts = json.dumps(SETTINGS[name]).encode()
        self._classes = SETTINGS[name]["Categories"]
        self._two_zones = "Zones" in SETTINGS[name]
        self._left, self._pause_ms = requests, pause_ms
        self._serial = 0
        self._due: list[tuple[float, int, int, bytes]] = []
        self._busy = Counter[int]()
        self._attempts: dict[int, int] = {}
        self._now_ms = 0.0
        self.counts = Counter[int]()
        self.digest = hashlib.sha256()
        self._pending: bytes | None = None
        self._later(0.0, struct.pack(">BIQI", 10, 1, seed, len(self._facts)) + self._facts)
        self._later(1.0, self._catalog(0, range(SERVERS)))
        self._later(1.0, struct.pack(">BIBII", 4, 1, 3 if name == "alone" else 0, 1, 0))
        for at, kind, gone, draining in (
            (600.0, 1, 4, -1),
            (1200.0, 1, -1, 5),
            (1500.0, 4, -1, -1),
            (2200.0, 0, -1, -1),
        ):
            self._later(at, self._catalog(0, range(SERVERS), gone, draining, cold=6 if at > 1000 else -1))
            self._later(at, struct.pack(">BIBII", 4, 1, kind, 2, 0))
        self._later(2.0, b"")

    def _later(self, at_ms: float, record: bytes, frees: int = -1) -> None:
        """Schedule an event; empty `record`: the next request. `frees`: the server that finishes a request then."""
        self._serial += 1
        heappush(self._due, (at_ms, self._serial, frees, record))

    def _catalog(
        self, sheet: int, servers: range, gone: int = -1, draining: int = -1, cold: int = -1
    ) -> bytes:
        out = struct.pack(">BII", 5, sheet, len(servers))
        for n in servers:
            state = 0 if n == gone else 2 if n == draining else 1
            zone = n % 2 if self._two_zones else 0
            started_ms = 1100.0 if n == cold else 0.0
            out += struct.pack(">dIHfBBHB", started_ms, n, 80, 1.0, state, n % 3 == 0, n // 4, zone)
        return out

    # The streams that `serve` reads and writes

    def read(self, size: int) -> bytes:
        """Return the next batch, the header and then the body: all events that are due at one time."""
        if self._pending is not None:
            body, self._pending = self._pending, None
            return body
        if not self._due:
            return b""
        now_ms = self._due[0][0]
        self._now_ms = now_ms
        records = []
        while self._due and self._due[0][0] == now_ms:
            _, _, frees, record = heappop(self._due)
            if frees >= 0:
                self._busy[frees] -= 1
            records.append(record or self._request(now_ms))
        records = [record for record in records if record]
        self._pending = b"".join(records)
        return struct.pack(">dII", now_ms, 16 + len(self._pending), len(records))

    def _request(self, now_ms: float) -> bytes:
        if not self._left:
            return b""
        self._left -= 1
        rng, number = self._rng, self._left + 1
        burst = 4.0 if (now_ms // 500.0) % 3 == 1 else 1.0
        self._later(now_ms + rng.expovariate(burst / self._pause_ms), b"")
        at = rng.randrange(len(self._classes))
        hard_ms = self._classes[at]["HardLimitMs"]
        left_ms = hard_ms if rng.random() < 0.8 else hard_ms * rng.random()
        hint, flags = (rng.uniform(2.0, 60.0), 1) if rng.random() < 0.5 else (0.0, 0)
        flags |= 2 * (rng.random() < 0.2) | 4 * (at == 1)
        if rng.random() < 0.03:
            self._later(now_ms + rng.uniform(1.0, 80.0), struct.pack(">BII", 2, 1, number))
        tenant = int(rng.random() < 0.4)
        return struct.pack(">BIIHIQddB", 9, 1, number, at, tenant, 77, left_ms, hint, flags)

    def write(self, reply: bytes) -> None:
        """Process the actions of one batch."""
        self.digest.update(reply)
        at = 8
        sizes = {1: 11, 2: 11, 3: 9, 4: 21, 5: 23, 7: 5, 10: 6, 11: 17, 12: 11}
        while at < len(reply):
            code = reply[at]
            self.counts[code] += 1
            if code in sizes:
                self._act(code, reply[at : at + sizes[code]])
                at += sizes[code]
            else:
                raise AssertionError(f"action {code}: {reply[at:]!r}")

    def flush(self) -> None:
        """Nothing is buffered."""

    def _act(self, code: int, record: bytes) -> None:
        if code == 5:
            _, _, request, server, port, timeout_ms = struct.unpack(">BIIIHd", record)
            self._serve(request, server, port, timeout_ms)
        elif code == 4:
            _, _, cookie, delay_ms = struct.unpack(">BIQd", record)
            self._later(self._now_ms + max(delay_ms, 1.0), struct.pack(">BIQ", 1, 1, cookie))
        elif code == 12:
            _, _, server, port = struct.unpack(">BIIH", record)
            spent_ms = self._rng.uniform(1.0, 3.0)
            ok = self._rng.random() < 0.9
            head = struct.pack(">BIIHHdB", 11, 1, server, port, 0 if ok else 110, spent_ms, 2 * ok)
            busy = float(self._busy[server])
            tail = struct.pack(">2f", busy, max(0.0, busy - 1.0)) if ok else b""
            self._later(self._now_ms + spent_ms, head + tail)
        elif code == 10:
            ok = self._rng.random() < 0.7
            self._later(self._now_ms + 20.0, struct.pack(">BIBII", 4, 1, 0 if ok else 4, 3, 0))

    def _serve(self, request: int, server: int, port: int, timeout_ms: float) -> None:
        rng = self._rng
        number = self._attempts[request] = self._attempts.get(request, -1) + 1
        base_ms = (4.0 + 3.0 * (server % 3)) * (6.0 if server == 3 else 1.0)
        spent_ms = base_ms * rng.uniform(0.5, 2.0) * (1.0 + 0.5 * self._busy[server])
        chance = rng.random()
        how = 0
        if server == 2 and chance < 0.6:
            how, spent_ms = rng.choice(((5, 2.0), (104, 8.0), (111, 1.0), (110, 1e9)))
        elif chance < 0.04:
            how, spent_ms = rng.choice(((5, 2.0), (104, 8.0), (111, 1.0), (11, 1.0), (114, 0.0), (110, 1e9)))
        if self._busy[server] > 12:
            how, spent_ms = 11, 1.0
        if spent_ms > timeout_ms > 0.0:
            how, spent_ms = 110, timeout_ms
        self._busy[server] += 1
        final = how == 0
        stream = final and rng.random() < 0.1
        if stream:
            self._later(
                self._now_ms + 0.5 * spent_ms,
                struct.pack(">BIIHIHd", 6, 1, request, number, server, port, 0.5 * spent_ms),
            )
        record = struct.pack(
            ">BIIBdIHHHB", 8, 1, request, final, spent_ms, server, port, number, how, 2 * final
        )
        if final:
            record += struct.pack(">2f", float(self._busy[server]), 0.0)
        self._later(self._now_ms + spent_ms, record, server)


GOLDEN_WIRE: dict[tuple[str, int], tuple[dict[int, int], str]] = {
    ("zones_and_probes", 11): (
        {2: 6, 3: 28, 4: 921, 5: 1472, 11: 257, 12: 194},
        "88042bf7d813a8292632868016bf3ca4b485339cc6d028915c21415126fa772e",
    ),
    ("alone", 12): (
        {2: 27, 3: 28, 4: 316, 5: 1510, 10: 2, 11: 71},
        "92a78d423a8effdf007871a0fd2ab48a3157e0036944e59f38832185ff918882",
    ),
    ("inner_tier", 13): (
        {2: 6, 3: 24, 5: 2189, 11: 270},
        "acc265b58975b0deabc478ad4051e1114137ee156d2aac0b6d048d781f846508",
    ),
}


@pytest.mark.parametrize(
    ("name", "seed", "requests", "pause_ms"),
    [
        ("zones_and_probes", 11, 1500, 2.0),
        ("alone", 12, 1500, 3.0),
        ("inner_tier", 13, 1500, 2.0),
    ],
)
def test_the_wire_decisions_are_the_same(name: str, seed: int, requests: int, pause_ms: float) -> None:
    bench = WireBench(name, seed, requests, pause_ms)
    serve(cast(Any, bench), cast(Any, bench))
    assert (dict(sorted(bench.counts.items())), bench.digest.hexdigest()) == GOLDEN_WIRE[name, seed]


def digest(values: list[Any]) -> str:
    """Hash plain values; floats are hashed by their exact text."""
    return hashlib.sha256(repr(values).encode()).hexdigest()


# selection of upstreams, model engines among them


def engine_values(seed: int, *, engine: bool) -> list[Any]:
    rng = Random(seed)
    ids = [f"u{n}" for n in range(9)]
    connected: set[str] = set()
    selector = UpstreamSelector(
        Random(seed + 1), is_engine=engine, has_idle_connection=connected.__contains__
    )
    selector.update({id_: UpstreamStatus(is_ready=True) for id_ in ids}, 0.0)
    attempts: list[tuple[str, float]] = []
    values: list[Any] = []
    now_ms = 0.0
    outcomes = [Outcome.OK] * 6 + [
        Outcome.RESET,
        Outcome.TIMEOUT,
        Outcome.FULL,
        Outcome.ERROR,
        Outcome.CANCELLED,
    ]
    for step in range(4_000):
        now_ms += rng.expovariate(0.2)
        choice = rng.random()
        if choice < 0.55:
            prefix_tokens = rng.choice((0.0, 300.0, 2_000.0, 8_000.0))
            prefix = f"h{rng.randrange(12)}" if prefix_tokens else ""
            prompt = Prompt(
                prefix,
                prefix_tokens + rng.uniform(10.0, 3_000.0),
                prefix_tokens,
                rng.choice((150.0, 500.0, 2_000.0)),
            )
            is_cached = rng.random() < 0.7
            owner = rng.choice((None, *ids))
            excluded = set(rng.sample(ids, rng.choice((0, 0, 0, 1, 3, 8))))
            left_ms = rng.choice((None, prompt.latency_target_ms * rng.random()))
            chosen = selector.select(
                prompt, excluded, now_ms, owner, is_cached=is_cached, remaining_ms=left_ms
            )
            values.append((chosen, selector.last_reason.value))
            if chosen is not None:
                tokens = selector.on_attempt_started(
                    chosen, prompt, now_ms, is_cached=is_cached and chosen == owner
                )
                attempts.append((chosen, tokens))
                connected.add(chosen)
                values.append(
                    (
                        tokens,
                        selector.overdue_after_ms(prompt, tokens),
                        selector.prefill_backlog_tokens(chosen),
                    )
                )
        elif choice < 0.92 and attempts:
            id_, tokens = attempts.pop(rng.randrange(len(attempts)))
            selector.on_attempt_released(id_, tokens, now_ms)
            selector.on_outcome(id_, rng.choice(outcomes), now_ms)
            selector.prefill_time.observe(tokens, 30.0 + 0.02 * tokens * rng.uniform(0.8, 1.4))
            if rng.random() < 0.2:
                connected.discard(id_)
        elif choice < 0.95:
            selector.set_peer_prefill_backlog({id_: rng.uniform(0.0, 40_000.0) for id_ in rng.sample(ids, 5)})
        elif choice < 0.97:
            selector.set_ejected(rng.sample(ids, rng.randrange(4)))
        else:
            listed = rng.sample(ids, rng.randrange(3, 10))
            selector.update(
                {
                    id_: UpstreamStatus(rng.random() < 0.9, is_unresponsive=rng.random() < 0.1)
                    for id_ in listed
                },
                now_ms,
            )
            values.append((selector.ready_count, [selector.is_ready(id_) for id_ in ids]))
        if step % 50 == 0:
            values.append(
                (
                    sorted(selector.own_prefill_backlog().items()),
                    selector.prefill_time.ms_per_token,
                    selector.prefill_time.fixed_ms,
                )
            )
    return values


GOLDEN_ENGINES: dict[tuple[int, bool], str] = {
    (3, True): "5a1fb71d46981c7bbc6eb6623dbf907a3971d3584e7fed2b917b2df8cfd43f73",
    (4, True): "e1faff745fef3566b57180c58df6c60e1e6246e1d6a40797a829d0a8c9c13cf8",
    (5, False): "eb7735297100fa93c7c346ee1c62ed3f43608f56ea2360296950934257a94d15",
}


@pytest.mark.parametrize(("seed", "engine"), [(3, True), (4, True), (5, False)])
def test_the_choice_of_engines_is_the_same(seed: int, engine: bool) -> None:
    values = engine_values(seed, engine=engine)
    reasons = {value[1] for value in values if isinstance(value[1], str)}
    assert len(reasons) >= (8 if engine else 6)
    assert digest(values) == GOLDEN_ENGINES[seed, engine]


# fleet outlier detection, prefill time, load shedding


def ejection_values() -> list[Any]:
    rng = Random(21)
    ids = [f"u{n}" for n in range(10)]
    routers = [OutcomeWindow() for _ in range(3)]
    detector = FleetOutlierDetector()
    values: list[Any] = []
    now_ms = 0.0
    for _ in range(1_500):
        now_ms += rng.uniform(1.0, 60.0)
        for id_ in rng.sample(ids, 3):
            bad = rng.random() < (0.5 if id_ == ids[int(now_ms / 9_000.0) % 10] else 0.03)
            rng.choice(routers).record(id_, now_ms, failed=bad)
        total: dict[str, OutcomeCounts] = sum_outcomes(
            [router.failing_upstreams(now_ms) for router in routers]
        )
        changed = detector.evaluate([ids[:7], ids[7:]], total, now_ms)
        values.append((changed, sorted(detector.ejected), sorted((k, tuple(v)) for k, v in total.items())))
    return values


def prefill_values() -> list[Any]:
    rng = Random(22)
    line = PrefillTime()
    values: list[Any] = []
    for step in range(600):
        tokens = rng.uniform(0.0, 6_000.0) if step > 40 else 100.0
        line.observe(tokens, 20.0 + (0.01 if step < 300 else 0.6) * tokens * rng.random())
        values.append((line.ms_per_token, line.fixed_ms, line.expected_ms(1_000.0)))
    return values


def shedding_values() -> list[Any]:
    rng = Random(23)
    classes = [
        RequestClass(100.0, 400.0, Effect.SAFE, worth=1.0, name="a"),
        RequestClass(400.0, 900.0, Effect.UNSAFE, worth=8.0, name="b"),
    ]
    shedder = LoadShedder(classes, Random(24))
    values: list[Any] = []
    for iteration in range(1_200):
        if iteration == 700:
            shedder.configure(
                [*classes[:1], RequestClass(300.0, 900.0, Effect.SAFE, worth=2.0, name="c"), classes[1]]
            )
        load = 60.0 if 200 < iteration < 500 or iteration > 800 else 6.0
        admitted = [shedder.admits(rng.randrange(2), rng.random() < 0.3) for _ in range(rng.randrange(8))]
        busy_ms = load * rng.uniform(0.5, 1.5) * (0.2 + 0.2 * sum(admitted))
        shedder.on_iteration(busy_ms, busy_ms + rng.uniform(0.0, 10.0))
        values.append(
            (admitted, shedder.shed_fraction, shedder.is_shedding, shedder.shed_count, shedder.mean_busy_ms)
        )
    return values


GOLDEN_PARTS: dict[str, str] = {
    "ejection": "9a06e0dfdb7f3351343e41e0552e843e7834613c1ee47442a395fe89516afcd3",
    "prefill_time": "bb024125817a1625bbcf2024a6a097a03a1c007c111e3ca80d5a73ffed71452f",
    "load_shedding": "8547438e4f4107575d902ce3887613e8c0748aa659904ed2bb1c762c98adb07e",
}


def test_fleet_ejections_are_the_same() -> None:
    values = ejection_values()
    assert len({tuple(value[1]) for value in values}) > 5
    assert digest(values) == GOLDEN_PARTS["ejection"]


def test_the_prefill_time_is_the_same() -> None:
    assert digest(prefill_values()) == GOLDEN_PARTS["prefill_time"]


def test_load_shedding_is_the_same() -> None:
    values = shedding_values()
    assert values[-1][3] > 100
    assert digest(values) == GOLDEN_PARTS["load_shedding"]


# what the wire format does not carry: health reports of peers, restored servers, new settings


class SimulatedBalancer:
    """A balancer and its simulated environment; the bytes of each action are hashed."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.settings = self.tuned(1.0)
        self.balancer = Balancer(self.settings, seed)
        self.balancer.shared_health = SharedHealth(self.balancer.outliers)
        self.now_ms = 1_000.0
        self.values: list[Any] = []
        self.unhealthy = {3, 7}
        self._due: list[tuple[float, int, Event]] = []
        self._serial = 0
        self._attempts = Counter[int]()

    @staticmethod
    def tuned(factor: float) -> Settings:
        return Settings(
            (
                RequestClass(100.0 * factor, 400.0, Effect.SAFE, name="read"),
                RequestClass(200.0, 600.0, Effect.KEYED, group=Group.ZONE, memory_ms=250.0, name="write"),
                RequestClass(200.0, 600.0, Effect.UNSAFE, worth=4.0, name="pay"),
            ),
            tenants=(Tenant(100.0, name="a"), Tenant(30.0 * factor, name="b")),
            zones=2,
            balancer_count=2,
            max_attempts=3,
            may_probe=True,
            cold_ms=2_000.0,
            max_retry_after_ms=40.0 * factor,
            price_cross_zone=0.05,
        )

    def later(self, delay_ms: float, event: Event) -> None:
        self._serial += 1
        heappush(self._due, (self.now_ms + delay_ms, self._serial, event))

    def feed(self, event: Event) -> None:
        if isinstance(event, RequestArrived):
            self._attempts[event.request] = -1
        for action in self.balancer.handle(self.now_ms, event):
            self._take(action)

    def _take(self, action: Action) -> None:
        self.values.append((self.now_ms, encode_action(1, action).hex()))
        rng = self.rng
        if isinstance(action, Send):
            self.values.append(action.write_by_ms)
            self._attempts[action.request] += 1
            unhealthy = action.server in self.unhealthy
            outcome = (
                rng.choice((Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR, Outcome.FULL))
                if unhealthy
                else Outcome.OK
            )
            if rng.random() < 0.02:
                outcome = rng.choice((Outcome.REJECTED, Outcome.CANCELLED, Outcome.CONNECT_FAILED))
            spent_ms = (
                min(rng.uniform(4.0, 40.0), action.timeout_ms)
                if outcome is not Outcome.TIMEOUT
                else action.timeout_ms
            )
            upstream_ms = spent_ms * 0.9 if rng.random() < 0.5 else None
            left = rng.randrange(3) if rng.random() < 0.1 else None
            self.later(
                spent_ms,
                AttemptEnded(
                    action.request,
                    self._attempts[action.request],
                    action.server,
                    outcome,
                    outcome is Outcome.OK,
                    spent_ms,
                    (),
                    left,
                    upstream_ms,
                ),
            )
        elif isinstance(action, SetTimer):
            self.later(max(1.0, action.delay_ms), TimerFired(action.cookie))
        elif isinstance(action, Probe):
            outcome = Outcome.TIMEOUT if action.server in self.unhealthy else Outcome.OK
            self.later(rng.uniform(1.0, 50.0), ProbeEnded(action.server, outcome, 5.0))

    def run(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, event = heappop(self._due)
            self.feed(event)


def shared_values(seed: int) -> list[Any]:
    simulated = SimulatedBalancer(seed)
    rng = simulated.rng
    proofs = [
        None,
        RestoredTrust(0.9),
        RestoredTrust(0.4, probe_pending=True),
        RestoredTrust(0.6, ObservedEvidence.PROBE, is_verified=True, has_location=True),
        RestoredTrust(0.05),
    ]
    cached = [
        ServerEntry(n, zone=n % 2, cell=n // 4, kind=n % 3, restored_trust=proofs[n % 5]) for n in range(12)
    ]
    simulated.feed(ListUpdate(ListKind.CACHED, 1, cached))
    verified = [
        ServerEntry(
            n,
            zone=n % 2,
            cell=n // 4,
            kind=n % 3,
            restored_trust=RestoredTrust(0.9, ObservedEvidence.ANSWER, True, True),
        )
        for n in (1, 2)
    ]
    simulated.later(300.0, ListUpdate(ListKind.PROOF, 1, verified))
    full = [
        ServerEntry(n, zone=n % 2, cell=n // 4, kind=n % 3, started_ms=5_000.0 * (n == 9)) for n in range(12)
    ]
    simulated.later(4_500.0, ListUpdate(ListKind.FULL, 2, full))
    simulated.later(9_000.0, ListUpdate(ListKind.DELTA, 3, [ServerEntry(2, ServerState.DRAINING)]))
    simulated.later(7_000.0, Reconfigured(SimulatedBalancer.tuned(2.0)))
    at_ms = 0.0
    for request in range(1, 2_500):
        at_ms += rng.expovariate(0.2)
        at = rng.randrange(3)
        incomplete = rng.random() < 0.1
        expected_ms = rng.uniform(5.0, 80.0) if rng.random() < 0.4 else None
        left_ms = (400.0, 600.0, 600.0)[at] * (1.0 if rng.random() < 0.8 else rng.random())
        event = RequestArrived(
            request,
            at,
            left_ms,
            rng.randrange(2),
            0,
            expected_ms,
            rng.random() < 0.1,
            body_incomplete=incomplete,
        )
        simulated.later(at_ms, event)
        if incomplete:
            simulated.later(at_ms + rng.uniform(0.0, 80.0), RequestBodyReceived(request))
        if rng.random() < 0.02:
            simulated.later(at_ms + 10.0, ClientGone(request))
        if rng.random() < 0.4:
            server, good = rng.choice((3, 7, rng.randrange(12))), rng.choice((True, False, None))
            simulated.later(
                at_ms,
                PeerHealthReport(
                    server, good, rng.uniform(0.0, 9_000.0), rng.random() < 0.5, rng.random() < 0.4
                ),
            )
    while simulated._due:
        simulated.run(
            simulated.now_ms + 500.0
            if simulated._due[0][0] <= simulated.now_ms + 500.0
            else simulated._due[0][0]
        )
        shared_health = simulated.balancer.shared_health
        simulated.values.append([tuple(health) for health in shared_health.local_health(simulated.now_ms)])
        simulated.balancer.set_other_in_flight(rng.randrange(12), rng.randrange(3), simulated.now_ms)
        simulated.balancer.on_connections_closed(rng.randrange(12))
        if rng.random() < 0.05:
            simulated.unhealthy = {3, 7} if rng.random() < 0.7 else {3, 4}
    learned = simulated.balancer.learned()
    simulated.values.append(sorted(learned))
    simulated.values.append(json.dumps(learned, sort_keys=True))
    other = Balancer(SimulatedBalancer.tuned(1.0), seed + 1)
    other.adopt({**learned, "retries": "no number", "window": math.nan})
    simulated.values.append(json.dumps(other.learned(), sort_keys=True))
    return simulated.values


GOLDEN_SHARED: dict[int, str] = {
    31: "8c4f4fe7a49eca8981b014c9752c401db47a5a48ccc1dbc131cf4461c9037145",
    32: "2977a65be1602c83928738eee666453641e347a67e0d1caae2f05822192a41f7",
    33: "a0682d95f5fc6ea98579bdd68bc5a4bfe33ee0ae107b5e287e62ac95ec4be0db",
}


@pytest.mark.parametrize("seed", [31, 32, 33])
def test_decisions_with_peer_health_reports_are_the_same(seed: int) -> None:
    assert digest(shared_values(seed)) == GOLDEN_SHARED[seed]


LEARNED_KEYS = {"base", "credit", "idle_share", "latency", "most_running", "retries", "window", "work"}


def test_learned_state_keeps_its_published_names() -> None:
    assert set(Balancer(SimulatedBalancer.tuned(1.0), 1).learned()) == LEARNED_KEYS


# settings: every key of the wire's JSON, by value and place

ALL_SETTINGS: dict[str, Any] = {
    "Categories": [
        {**CLASSES[1], "Worth": 3.0, "LateWorth": 0.3, "Streaming": True, "AimStretch": 0.7, "Group": "cell"},
        CLASSES[0],
    ],
    "Tenants": [{"QuotaPerS": 12.0, "Fraction": 0.25, "Name": "a"}],
    "Zones": ["x", "y", "z"],
    "MyZone": 2,
    "Me": 3,
    "PeersTotal": 4,
    "Tier": 1,
    "Tiers": ["front", "back"],
    "TickMs": 2.0,
    "Discovery": "on_request",
    "Guarantees": {
        "AskWithinMs": 1.0,
        "AnswerSlackMs": 2.0,
        "ColdShare": 0.3,
        "ColdMs": 4.0,
        "FallMultiple": 5.0,
        "FallMs": 6.0,
    },
    "PolicyLimits": {
        "SendCap": 7,
        "MayCancel": True,
        "MayProbe": True,
        "SecondCopies": True,
        "ConnIdleMs": 8.0,
        "ConnectTimeoutMs": 9.0,
        "RetryAfter": True,
        "MaxRetryAfterMs": 10.0,
    },
    "Clients": {"MarksRetry": True},
    "FamilyInfo": {"PassesDeadline": True},
    "Stats": {"How": "inline", "Fields": ["pending", "other", "busy_reqs"]},
    "OverShareWorth": 0.11,
    "Deductions": {"CrossZone": 0.12, "Probe": 0.13, "Waste": 0.14, "LateFail": 0.15},
}


def plain(value: Any) -> Any:
    """Convert to plain values, in the order of the fields."""
    if is_dataclass(value):
        return tuple(plain(getattr(value, field.name)) for field in fields(value))
    if isinstance(value, Enum):
        return value.value
    return tuple(map(plain, value)) if isinstance(value, tuple) else value


GOLDEN_SETTINGS: dict[str, Any] = {
    "all": (
        (
            (250.0, 900.0, "keyed", 3.0, 0.3, "cell", 300.0, True, 0.7, "write", 0),
            (100.0, 400.0, "safe", 2.0, 0.0, "all", 0.0, False, 0.0, "read", 0),
        ),
        ((12.0, 0.25, "a"),),
        3,
        2,
        3,
        4,
        1,
        2,
        2.0,
        True,
        1.0,
        2.0,
        0.3,
        4.0,
        5.0,
        6.0,
        7,
        True,
        True,
        True,
        8.0,
        9.0,
        True,
        10.0,
        True,
        True,
        "inline",
        ("waiting", "", "running_and_waiting"),
        0.11,
        0.12,
        0.13,
        0.14,
        0.15,
        (0.25, 8.0, 0.05, 0.5, 4.0, 0.25, 0.1, 0.25),
        900.0,
    ),
    "least": (
        ((100.0, 400.0, "safe", 2.0, 0.0, "all", 0.0, False, 0.0, "read", 0),),
        (),
        1,
        0,
        0,
        1,
        0,
        1,
        1.0,
        False,
        10000.0,
        0.0,
        0.1,
        30000.0,
        2.0,
        2000.0,
        1,
        False,
        False,
        False,
        60000.0,
        250.0,
        False,
        0.0,
        False,
        False,
        "off",
        (),
        1.0,
        0.0,
        0.0,
        0.0,
        0.0,
        (0.25, 8.0, 0.05, 0.5, 4.0, 0.25, 0.1, 0.25),
        30000.0,
    ),
}


@pytest.mark.parametrize("name", ["all", "least"])
def test_settings_are_read_the_same(name: str) -> None:
    facts = ALL_SETTINGS if name == "all" else {"Categories": CLASSES[:1]}
    assert plain(decode_settings(json.dumps(facts).encode())) == GOLDEN_SETTINGS[name]

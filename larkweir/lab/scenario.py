"""Scenario files: what is simulated, and which of its keys are swept. TOML, typed, with units for times. Pure logic.

Every error names its key and what would be accepted; a file with an error is not run.
"""

from __future__ import annotations

import hashlib
import json
import re
import tomllib
from collections.abc import Callable, Iterator
from difflib import get_close_matches
from itertools import product
from math import prod
from typing import Any, Literal, cast

import msgspec

FIXED = frozenset(
    "sweep recorded digest servers faults classes tenants profile name seeds".split()
)  # never swept
MOST_CELLS = 10_000  # of a sweep: more is hours, and surely not meant
UNITS = {"us": 0.001, "ms": 1.0, "s": 1_000.0, "min": 60_000.0, "h": 3_600_000.0}
_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(us|ms|s|min|h)")


class ScenarioError(ValueError):
    """A scenario that can't be played: the key, and why."""


def time_ms(text: str, key: str) -> float:
    """Milliseconds of a time with its unit, as 10ms or 20s. ScenarioError, which names `key`, if it is none."""
    match = _TIME.fullmatch(text.strip()) if isinstance(text, str) else None
    if match is None:
        raise ScenarioError(f"{key}: {text!r} is no time; write a number and a unit, as 10ms or 20s")
    return float(match[1]) * UNITS[match[2]]


Kind = Literal["exponential", "deterministic", "lognormal", "pareto"]


class Service(msgspec.Struct, frozen=True):
    """How long a call takes at a server of speed 1."""

    kind: Kind
    mean_ms: float
    shape: float  # lognormal: sigma; pareto: alpha; else 0
    most: float  # pareto: times the mean, at which it is cut


def service_of(text: str, key: str) -> Service:
    """`exponential 10ms`, `deterministic 10ms`, `lognormal 10ms 1.0`, `pareto 10ms 1.5 100`."""
    words = text.split()
    wants = {"exponential": 2, "deterministic": 2, "lognormal": 3, "pareto": 4}
    if not words or wants.get(words[0]) != len(words):
        raise ScenarioError(
            f"{key}: {text!r:.80} does not do; write as 'exponential 10ms' or 'pareto 10ms 1.5 100'"
        )
    mean = time_ms(words[1], key)
    try:
        more = [float(word) for word in words[2:]]
    except ValueError:
        raise ScenarioError(
            f"{key}: {text!r:.80} does not do; what comes behind the time are numbers"
        ) from None
    if mean <= 0.0 or any(value <= 0.0 for value in more):
        raise ScenarioError(f"{key}: {text!r:.80} does not do; numbers above 0 are wanted")
    if words[0] == "pareto" and (more[0] <= 1.0 or more[1] <= 1.0):
        raise ScenarioError(f"{key}: {text!r:.80} does not do; a Pareto needs an alpha and a bound above 1")

    kind = cast(Kind, words[0])
    return Service(kind, mean, more[0] if more else 0.0, more[1] if len(more) > 1 else 0.0)


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[servers]]`: so many alike."""

    count: int
    service: str = "exponential 10ms"
    slots: int = 1
    speed: float = 1.0
    queue: int = 1_000_000  # calls that may wait; more are turned away
    zone: str = "a"
    tier: int = (
        0  # 0 is what clients reach; each calls the next one when its own work is done, and keeps its slot
    )
    holds: bool = True  # its slot, while it waits for the next tier
    calls: float = 1.0  # of the next tier, one after another, in the mean
    discipline: Literal["fifo", "shared"] = "fifo"  # in order, or all at once with the speed shared


class Class(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[classes]]`: a part of the requests. What is not said is as for all."""

    name: str
    share: float = 1.0  # of all requests, beside the other classes' shares
    aim: str = ""
    deadline: str = ""
    effect: Literal["safe", "unsafe"] = (
        "safe"  # an unsafe one is tried again only where it has surely not run
    )
    worth: float = 1.0
    work: float = 1.0  # times what the servers' rows say


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[tenants]]`: who asks."""

    name: str
    share: float  # that counts as its own, beside the others' shares
    asks: float = 0.0  # of all requests, beside the others; 0: as its share


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[faults]]`: what befalls a part of the servers, or a zone."""

    at: str
    # fail: does the work and answers an error; deploy: one after another, drained and cold
    kind: Literal["stall", "slow", "crash", "refuse", "fail", "deploy"]
    until: str = ""
    part: float = 0.0
    zone: str = ""
    factor: float = 4.0  # of slow
    server: int = -1  # one, by its place


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario; the comments say what each key means. See `docs/operators/lab.md`."""

    name: str
    servers: tuple[Servers, ...]
    span: str = "20s"
    warm: str = "4s"  # at the beginning, that is not counted
    balancers: int = 10
    load: float = 0.8  # of what the servers can do
    policy: str = "larkweir"
    seeds: int = 5
    network: str = "0.5ms"  # one way
    aim: str = "410ms"
    deadline: str = "1s"
    attempts: int = 4
    cold: str = "9s"  # that a server that has come back takes to its full speed
    cold_share: float = 1.0  # of its speed, that it begins with
    faults: tuple[Fault, ...] = ()
    classes: tuple[Class, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    profile: tuple[tuple[str, float], ...] = ()  # times of the load, from when on: straight lines between
    crossing: str = (
        "0ms"  # one way, between zones, beside the network's; balancers are spread over the zones in turn
    )
    crossing_price: float = (
        0.0  # of a request, that a call to another zone costs (larkweir's settings know it)
    )
    scale: int = 1  # so many times the servers that `servers` says
    budget: int = (
        0  # calls of the last tier that a request may cost (`larkweir.budget`); 0: each tier tries as it will
    )
    client_tries: int = 1  # by clients themselves, of a request that was not served
    client_wait: str = "0ms"  # between two of them
    advice: str = (
        "0ms"  # a refusal tells a client to come back after so long at the most; 0: it tells nothing
    )
    storms: bool = False  # whether larkweir's part for storms after an outage is on
    client_heeds: bool = False  # a client waits for as long as a refusal says
    recorded: str = (
        ""  # a file of arrivals, beside the scenario's: a line each, milliseconds and the balancer
    )
    digest: str = ""  # of that file, as it was when the scenario was read
    sweep: dict[str, list[Any]] = {}


def _unknown(data: dict[str, Any], kind: type[msgspec.Struct], where: str) -> None:
    known = list(kind.__struct_fields__)
    for key in data:
        if key not in known:
            near = get_close_matches(key, known, 1)
            hint = f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(known)}"
            raise ScenarioError(f"{where}{key}: is no key; {hint}")


def build(data: dict[str, Any]) -> Scenario:
    """ScenarioError with the first fault."""
    _unknown(data, Scenario, "")
    for key, kind in (("servers", Servers), ("faults", Fault), ("classes", Class), ("tenants", Tenant)):
        for n, row in enumerate(data.get(key) or ()):
            if isinstance(row, dict):
                _unknown(row, kind, f"{key}[{n}].")
    try:
        made = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as problem:
        raise ScenarioError(str(problem).replace(" - at `$.", " at ").rstrip("`")) from None
    _check(made)
    return made


def _check(it: Scenario) -> None:
    """ScenarioError with the first fault."""
    from larkweir.lab.policies import POLICIES

    if not it.servers or sum(row.count for row in it.servers) < 1:
        raise ScenarioError("servers: there are none; write [[servers]] with a count")
    span, warm = time_ms(it.span, "span"), time_ms(it.warm, "warm")
    if not 0.0 <= warm < span <= UNITS["h"]:
        raise ScenarioError(f"span: {it.span} with {it.warm} of warm is no play of up to 1h")
    _check_traffic(it)
    _check_bounds(it)
    _check_servers(it)
    _check_faults(it)
    if it.policy not in POLICIES:
        raise ScenarioError(f"policy: {it.policy!r} is none; there are {', '.join(POLICIES)}")


def _check_bounds(it: Scenario) -> None:
    for key in ("network", "aim", "deadline", "cold", "client_wait", "crossing", "advice"):
        time_ms(getattr(it, key), key)
    for key, low, high in (
        ("load", 0.0, 10.0),
        ("balancers", 1, 5_000),
        ("seeds", 1, 1_000),
        ("attempts", 1, 100),
        ("scale", 1, 1_000),
        ("budget", 0, 1_000),
        ("client_tries", 1, 20),
    ):
        if not low <= getattr(it, key) <= high:
            raise ScenarioError(f"{key}: {getattr(it, key)!r} is out of bounds; {low:g} to {high:g}")
    if not 0.0 < it.cold_share <= 1.0:
        raise ScenarioError(f"cold_share: {it.cold_share!r} is out of bounds; above 0 to 1")


def _check_servers(it: Scenario) -> None:
    for n, row in enumerate(it.servers):
        service_of(row.service, f"servers[{n}].service")
        if row.count < 1 or row.count > 10_000 or row.slots < 1 or row.speed <= 0.0 or row.queue < 0:
            raise ScenarioError(f"servers[{n}]: count, slots and speed are above 0")
    if any(not 0.0 <= row.calls <= 100.0 for row in it.servers):
        raise ScenarioError("servers: calls of the next tier are from 0 to 100")
    tiers = {row.tier for row in it.servers}
    if tiers != set(range(len(tiers))):
        raise ScenarioError(f"servers: tiers {sorted(tiers)}; the first is 0, and none is left out")
    if sum(row.count for row in it.servers) * it.scale > 20_000:
        raise ScenarioError("scale: more than 20,000 servers")


def _check_faults(it: Scenario) -> None:
    zones = {row.zone for row in it.servers}
    for n, fault in enumerate(it.faults):
        time_ms(fault.at, f"faults[{n}].at")
        if fault.until:
            time_ms(fault.until, f"faults[{n}].until")
        elif fault.kind == "deploy":
            raise ScenarioError(f"faults[{n}].until: a deploy takes from `at` to `until`")
        if [bool(fault.zone), bool(fault.part), fault.server >= 0].count(True) != 1:
            raise ScenarioError(f"faults[{n}]: say a part, a zone or a server, and no two of them")
        if fault.server >= sum(row.count for row in it.servers):
            raise ScenarioError(f"faults[{n}].server: there is no server {fault.server}")
        if fault.zone and fault.zone not in zones:
            raise ScenarioError(f"faults[{n}].zone: no server is in {fault.zone!r}")
        if not 0.0 <= fault.part <= 1.0 or fault.factor <= 0.0:
            raise ScenarioError(f"faults[{n}]: a part is from 0 to 1, a factor above 0")


def arrivals_of(text: str) -> list[tuple[float, int]]:
    """A file of recorded arrivals, in their order. ScenarioError with the first line at fault."""
    found = []
    before = 0.0
    for n, line in enumerate(text.splitlines(), 1):
        words = line.split()
        try:
            at, balancer = float(words[0]), int(words[1])
        except (ValueError, IndexError):
            raise ScenarioError(f"recorded: line {n}: {line!r:.60} is no time and balancer") from None
        if not before <= at <= UNITS["h"] or balancer < 0:
            raise ScenarioError(f"recorded: line {n}: {line!r:.60} is before the last, or out of bounds")
        before = at
        found.append((at, balancer))
    return found


def _check_traffic(it: Scenario) -> None:
    for key, rows in (("classes", it.classes), ("tenants", it.tenants)):
        names = [row.name for row in rows]
        if len(set(names)) < len(names) or len(names) > 64:
            raise ScenarioError(f"{key}: up to 64, each with a name of its own")
    for n, cls in enumerate(it.classes):
        for key in ("aim", "deadline"):
            if getattr(cls, key):
                time_ms(getattr(cls, key), f"classes[{n}].{key}")
        if min(cls.share, cls.worth, cls.work) <= 0.0:
            raise ScenarioError(f"classes[{n}]: share, worth and work are above 0")
    if any(row.share <= 0.0 or row.asks < 0.0 for row in it.tenants):
        raise ScenarioError("tenants: shares are above 0, and what they ask is not below it")
    before = -1.0
    for n, (at, times) in enumerate(it.profile):
        now = time_ms(at, f"profile[{n}]")
        if now <= before or not 0.0 <= times <= 100.0:
            raise ScenarioError(f"profile[{n}]: times go up, and the load is from 0 to 100 of it")
        before = now
    if it.crossing_price < 0.0:
        raise ScenarioError("crossing_price: is not below 0")


def read(text: str, fetch: Callable[[str], tuple[str, str]] | None = None) -> Scenario:
    """`fetch` takes the name of a file beside the scenario's to its whole path and its text."""
    try:
        data = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        raise ScenarioError(f"TOML: {problem}") from None
    if isinstance(data.get("recorded"), str) and data["recorded"]:
        if fetch is None:
            raise ScenarioError("recorded: there is no file beside this one")
        try:
            data["recorded"], rows = fetch(data["recorded"])
        except (OSError, UnicodeDecodeError) as problem:
            raise ScenarioError(f"recorded: {problem}") from None
        arrivals_of(rows)
        data["digest"] = hashlib.sha256(rows.encode()).hexdigest()[:16]
    made = build(data)
    count = prod(len(values) for values in made.sweep.values()) * made.seeds
    if count > MOST_CELLS:
        raise ScenarioError(
            f"sweep: {count:,} cells; {MOST_CELLS:,} at the most: sweep fewer values, or play fewer seeds"
        )
    for _ in variants(made):  # each is checked
        pass
    return made


def variants(scenario: Scenario) -> Iterator[tuple[dict[str, Any], Scenario]]:
    """Each point of the sweep: what was set, and the scenario with it."""
    base = msgspec.to_builtins(scenario)
    keys = list(scenario.sweep)
    for key in keys:
        if key not in base or key in FIXED:
            raise ScenarioError(f"sweep.{key}: can't be swept")
        if not scenario.sweep[key]:
            raise ScenarioError(f"sweep.{key}: has no values")
    for values in product(*(scenario.sweep[key] for key in keys)):
        point = dict(zip(keys, values, strict=True))
        yield point, build(base | point | {"sweep": {}})


def fingerprint(scenario: Scenario) -> str:
    """Of what is played, without how often."""
    data = msgspec.to_builtins(scenario) | {"seeds": 0, "sweep": {}, "name": "", "recorded": ""}
    return hashlib.sha256(json.dumps(data, sort_keys=True).encode()).hexdigest()[:16]

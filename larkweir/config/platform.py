"""What the platform tells the balancer: GW_CONFIG and the environment, into one typed object."""

from __future__ import annotations

import json
import os
import re
import resource
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import AddressValueError, IPv4Address
from typing import Any

from larkweir_balancing.interface import Settings, SettingsError
from larkweir_balancing.wire_settings import decode_settings

Address = tuple[str, int]

MEMORY_MB = 64.0  # taken where no limit is stated


class ConfigError(ValueError):
    """A value is missing or makes no sense; the message is one line that names key and value."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_names: tuple[str, ...]  # of a load report's values, in the settings' order
    drain_grace_ms: float
    known: dict[str, Any] = field(default_factory=dict)
    control: Address | None = None  # where operators call; none: nowhere
    peer_listen: str = ""  # not checked before something uses them
    peers: tuple[str, ...] = ()
    may_peer: bool = True  # whether the settings let balancers speak to each other


def parse_address(text: object, key: str) -> Address:
    """`address:port`, as numbers: there is no DNS."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ConfigError(
            f"{key}: {text!r} is not an IPv4 address and port, such as 127.0.0.1:8080"
        ) from None
    if not port.isascii() or not port.isdigit() or len(port) > 5 or int(port) > 65535:
        raise ConfigError(f"{key}: {text!r} is not an IPv4 address and port, such as 127.0.0.1:8080")
    return host, int(port)


def _object(data: Any, key: str) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise ConfigError(f"{key}: {data!r:.200} is not an object; write {{...}}")
    return data


def _names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = data.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f'settings.{key}: {value!r:.200} is not a list of names, such as ["a", "b"]')
    return tuple(value)


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number, such as 8c1f30d2") from None


def _sockets(data: dict[str, Any]) -> int:
    """The descriptors this process may hold: the stated limit or the system's, whichever is less."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    stated: Any = _object(data.get("limits", {}), "limits").get("sockets", soft)
    if isinstance(stated, bool) or not isinstance(stated, int) or stated < 32:
        raise ConfigError(f"limits.sockets: {stated!r} is not a whole number of at least 32")
    if soft != resource.RLIM_INFINITY and soft < stated:
        soft = stated if hard == resource.RLIM_INFINITY else min(stated, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return int(stated if soft == resource.RLIM_INFINITY else min(stated, soft))


def _memory(data: dict[str, Any]) -> float:
    stated = _object(data.get("limits", {}), "limits").get("memory_mb", MEMORY_MB)
    if isinstance(stated, bool) or not isinstance(stated, int | float) or not 16 <= stated < 1e9:
        raise ConfigError(f"limits.memory_mb: {stated!r} is not a number of at least 16")
    return float(stated)


def read_object(text: str) -> dict[str, Any]:
    """The file's text as an object; ConfigError where it is none."""
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as problem:
        raise ConfigError(f"GW_CONFIG: not JSON: {problem}") from None
    return _object(data, "GW_CONFIG")


def _settings(data: dict[str, Any]) -> Settings:
    facts = _object(data.get("settings"), "settings")
    try:
        settings = decode_settings(json.dumps(facts).encode())
    except SettingsError as problem:
        raise ConfigError(f"settings.{problem}") from None
    for key, items in (("Categories", settings.classes), ("Tenants", settings.tenants)):
        names = [item.name for item in items]
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice is not None:
            # Guards against a request that is one of two classes, of which nobody knows which.
            raise ConfigError(f"settings.{key}: {twice!r:.100} comes twice; give each a name of its own")
    return settings


def _texts(value: object) -> tuple[str, ...]:
    """A list's items as text; what is none is found out when it is used."""
    items = value if isinstance(value, list) else [] if value is None else [value]
    return tuple(item if isinstance(item, str) else repr(item) for item in items)


def _may_peer(data: dict[str, Any]) -> bool:
    limits = _object(
        _object(data.get("settings"), "settings").get("PolicyLimits", {}), "settings.PolicyLimits"
    )
    return limits.get("Peers", True) is True


def _grace(data: dict[str, Any]) -> float:
    rules = _object(_object(data.get("settings"), "settings").get("Guarantees", {}), "settings.Guarantees")
    grace = rules.get("DrainGraceMs", 0.0)
    if isinstance(grace, bool) or not isinstance(grace, int | float) or not 0 <= grace < 1e9:
        raise ConfigError(f"settings.Guarantees.DrainGraceMs: {grace!r} is not a time in milliseconds")
    return float(grace)


def _report_names(data: dict[str, Any]) -> tuple[str, ...]:
    facts = _object(data.get("settings"), "settings")
    return _names(_object(facts.get("Stats", {}), "settings.Stats"), "Fields")


def _parts(env: Mapping[str, str], again: bool) -> dict[str, Callable[[dict[str, Any]], Any]]:
    """How each field of `Config` is read from the file's object. When the file is read `again`, its discovery
    goes before the environment's, which still tells the address from the start.
    """

    def discovery(data: dict[str, Any]) -> Address:
        told, start = data.get("discovery"), env.get("GW_DISCOVERY")
        return parse_address(told or start if again else start or told, "discovery")

    def control(data: dict[str, Any]) -> Address | None:
        told = env.get("GW_CONTROL") or data.get("control")
        return parse_address(told, "control") if told else None

    return {
        "settings": _settings,
        "drain_grace_ms": _grace,
        "name": lambda data: str(env.get("GW_NAME") or data.get("name", "")),
        "listen": lambda data: parse_address(env.get("GW_LISTEN") or data.get("listen"), "listen"),
        "discovery": discovery,
        "seed": lambda data: _seed(data.get("seed", "0")),
        "sockets": _sockets,
        "memory_mb": _memory,
        "zones": lambda data: _names(_object(data.get("settings"), "settings"), "Zones"),
        "kinds": lambda data: _names(_object(data.get("settings"), "settings"), "MachineTypes"),
        "report_names": _report_names,
        "known": lambda data: _object(data.get("known") or {}, "known"),
        "control": control,
        "peer_listen": lambda data: "".join(_texts(data.get("peer_listen"))[:1]),
        "peers": lambda data: _texts(data.get("peers")),
        "may_peer": _may_peer,
    }


def decode_object(data: dict[str, Any], env: Mapping[str, str], again: bool = False) -> Config:
    """The file's object and the environment, which goes first where both tell the same."""
    return Config(**{name: read(data) for name, read in _parts(env, again).items()})


def decode(text: str, env: Mapping[str, str], again: bool = False) -> Config:
    return decode_object(read_object(text), env, again)


def faults(text: str, env: Mapping[str, str]) -> list[str]:
    """Every fault of the file, one line each: `key: what is wrong and what would do`."""
    try:
        data = read_object(text)
    except ConfigError as problem:
        return [str(problem)]
    found: list[str] = []
    for name, read in _parts(env, False).items():
        try:
            read(data)
        except ConfigError as problem:
            if str(problem) not in found:
                found.append(str(problem))
            if name == "settings" and isinstance(data.get("settings"), dict):
                found += _further_settings_faults(data["settings"], str(problem))
    return found


MOST_FAULTS = 100


def _further_settings_faults(facts: dict[str, Any], first: str) -> list[str]:
    """The decoder stops at the first fault: each is mended in a copy, and the copy is read again."""
    facts = json.loads(json.dumps(facts))
    found: list[str] = []
    problem = first
    while len(found) < MOST_FAULTS and _mend(facts, problem.partition(":")[0].removeprefix("settings.")):
        try:
            decode_settings(json.dumps(facts).encode())
            break
        except SettingsError as next_problem:
            problem = f"settings.{next_problem}"
            if problem.partition(":")[0] == first.partition(":")[0] or problem in found:
                break  # mended, and still at fault: what stands behind it can't be seen
            found.append(problem)
            first = problem
    return found


def _mend(facts: Any, path: str) -> bool:
    """Put a value that would do in place of a faulty one; whether the path leads to a place at all."""
    at = facts
    *steps, last = re.findall(r"[^.\[\]]+", path) or [""]
    for step in steps:
        if isinstance(at, list) and step.isdigit() and int(step) < len(at):
            at = at[int(step)]
        elif isinstance(at, dict) and step in at:
            at = at[step]
        else:
            return False
    if not isinstance(at, dict) or not last:
        return False
    words = {"Effect": "read_like", "Group": "all", "Discovery": "pushed", "How": "off"}
    empty: dict[str, Any] = {"Categories": [{"AimMs": 1, "HardLimitMs": 1, "Effect": "read_like"}]}
    empty |= {"Tenants": [], "Zones": [], "Tiers": [], "Fields": []}
    flags = (
        "MayCancel",
        "MayProbe",
        "SecondCopies",
        "RetryAfter",
        "MarksRetry",
        "PassesDeadline",
        "Streaming",
    )
    numbers = {"MyZone": 0, "Me": 0, "Tier": 0, "ColdShare": 0.5}
    at[last] = (words | empty | numbers | dict.fromkeys(flags, False)).get(last, 1)
    return True


def read_file(env: Mapping[str, str] = os.environ) -> str:
    """The text of the file that GW_CONFIG names."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError(f"GW_CONFIG: {path!r} names no file")
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(f"GW_CONFIG: {path!r} can't be read: {problem}") from None


def load(env: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    return decode(read_file(env), env, again)

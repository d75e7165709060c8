"""Hands: what the platform tells the balancer: GW_CONFIG and the environment, into one typed object."""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from ipaddress import AddressValueError, IPv4Address
from typing import Any

from mulleinhitch.interface import Settings, SettingsError
from mulleinhitch.wire import decode_settings

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


def parse_address(text: object, key: str) -> Address:
    """`address:port`, as numbers: there is no DNS."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ConfigError(f"{key}: {text!r} is not an IPv4 address and port") from None
    if not port.isascii() or not port.isdigit() or len(port) > 5 or int(port) > 65535:
        raise ConfigError(f"{key}: {text!r} is not an IPv4 address and port")
    return host, int(port)


def _object(data: Any, key: str) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise ConfigError(f"{key}: {data!r:.200} is not an object")
    return data


def _names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = data.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"settings.{key}: {value!r:.200} is not a list of names")
    return tuple(value)


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None


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


def decode(text: str, env: Mapping[str, str], again: bool = False) -> Config:
    """The file's text and the environment, which goes first where both tell the same. When the file is read
    `again`, its discovery goes first: the environment still tells the address from the start.
    """
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as problem:
        raise ConfigError(f"GW_CONFIG: not JSON: {problem}") from None
    data = _object(data, "GW_CONFIG")
    facts = _object(data.get("settings"), "settings")
    try:
        settings = decode_settings(json.dumps(facts).encode())
    except SettingsError as problem:
        raise ConfigError(f"settings: {problem}") from None
    rules = _object(facts.get("Guarantees", {}), "settings.Guarantees")
    grace = rules.get("DrainGraceMs", 0.0)
    if isinstance(grace, bool) or not isinstance(grace, int | float) or not 0 <= grace < 1e9:
        raise ConfigError(f"settings.Guarantees.DrainGraceMs: {grace!r} is not a time in milliseconds")
    discovery = (data.get("discovery"), env.get("GW_DISCOVERY"))
    return Config(
        name=str(env.get("GW_NAME") or data.get("name", "")),
        listen=parse_address(env.get("GW_LISTEN") or data.get("listen"), "listen"),
        discovery=parse_address(
            discovery[0] or discovery[1] if again else discovery[1] or discovery[0], "discovery"
        ),
        seed=_seed(data.get("seed", "0")),
        sockets=_sockets(data),
        memory_mb=_memory(data),
        settings=settings,
        zones=_names(facts, "Zones"),
        kinds=_names(facts, "MachineTypes"),
        report_names=_names(_object(facts.get("Stats", {}), "settings.Stats"), "Fields"),
        drain_grace_ms=float(grace),
        known=_object(data.get("known") or {}, "known"),
    )


def load(env: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError(f"GW_CONFIG: {path!r} names no file")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(f"GW_CONFIG: {path!r} can't be read: {problem}") from None
    return decode(text, env, again)

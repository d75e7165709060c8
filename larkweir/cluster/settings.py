"""The settings file of a process: YAML, at the path that the variable LARKWEIR_CONFIG holds."""

from __future__ import annotations

import os
from typing import Any

import msgspec
import yaml

from larkweir.cluster.errors import LarkweirError

VARIABLE = "LARKWEIR_CONFIG"
DEFAULT_PATH = "/etc/larkweir/settings.yaml"


class SettingsError(LarkweirError, ValueError):
    """The file can't be used; one line that names the key."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses (`IP:PORT`) to serve on; None for what this role does not serve."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None


class FaultTolerance(msgspec.Struct, frozen=True):
    """What may be lost at once."""

    machines: int = 1


class Bounds(msgspec.Struct, frozen=True):
    """Figures of the deployment's rules; the defaults are cautious."""

    drain_ms: float = 2_000.0
    grace_s: float = 8.0
    config_ms: float = 2_000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 10.0
    quota_window_s: float = 8.0
    quota_over: float = 0.0
    recover_s: float = 12.0


class Limits(msgspec.Struct, frozen=True):
    """What the platform gives a process."""

    memory_mb: int = 300
    max_fds: int = 4_096
    link_mbps: float = 1_000.0


class Settings(msgspec.Struct, frozen=True):
    """What a process is told at its start. Unknown keys are ignored."""

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seeds: tuple[str, ...]
    listen: Listen = Listen()
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_dir: str | None = None
    heartbeat_ms: float = 1_000.0
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()

    @property
    def peer_port(self) -> int:
        """The port on which controllers are reached by other processes of the fleet."""
        return self.port_range[0]

    @property
    def seed_nodes(self) -> tuple[str, ...]:
        """The seeds as nodes: the IP numbers of their control addresses, in order of name."""
        return tuple(sorted({parse_address(seed)[0] for seed in self.seeds}))


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of `HOST:PORT`; SettingsError where it is none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise SettingsError(f"{address!r} is not HOST:PORT")
    return host, int(port)


def parse(text: str | bytes) -> Settings:
    """The settings; SettingsError, one line that names the key, where they do not do."""
    try:
        raw: Any = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as problem:
        raise SettingsError("the file is no YAML: " + " ".join(str(problem).split())) from None
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as problem:
        raise SettingsError(str(problem)) from None
    for address in (*settings.seeds, settings.listen.front, settings.listen.ready, settings.listen.control):
        if address is not None:
            parse_address(address)
    if settings.port_range[0] > settings.port_range[1]:
        raise SettingsError(f"port_range: {settings.port_range[0]} is above {settings.port_range[1]}")
    return settings


def path() -> str:
    """Where the file lies."""
    return os.environ.get(VARIABLE, DEFAULT_PATH)


def load(where: str | None = None) -> Settings:
    """Reads and checks the file; SettingsError where it can't be read or does not do."""
    name = path() if where is None else where
    try:
        with open(name, "rb") as file:
            return parse(file.read())
    except OSError as problem:
        raise SettingsError(f"{name}: {problem.strerror}") from None

"""The settings file of a process: YAML, at the path in the environment variable LARKWEIR_CONFIG."""

from __future__ import annotations

import os
from typing import Any

import msgspec
import yaml

from larkweir.cluster.errors import LarkweirError

ENVIRONMENT_VARIABLE = "LARKWEIR_CONFIG"
DEFAULT_PATH = "/etc/larkweir/settings.yaml"


class SettingsError(LarkweirError, ValueError):
    """The settings file can't be read, or a value in it is invalid; the message names the key."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses (`IP:PORT`) to listen on; None for interfaces that this role does not serve.

    Attributes:
        front: at a router, for requests of clients.
        ready: at a router, for readiness checks of the platform.
        control: at a controller, for operators, upstreams and readiness checks.
    """

    front: str | None = None
    ready: str | None = None
    control: str | None = None


class FaultTolerance(msgspec.Struct, frozen=True):
    """The faults that the fleet must survive.

    Attributes:
        machines: how many controllers may fail at the same time.
    """

    machines: int = 1


class Bounds(msgspec.Struct, frozen=True):
    """Service levels that the deployment guarantees; the defaults are conservative.

    Attributes:
        drain_ms: the time from the acknowledgement that an upstream drains until no router sends it new requests.
        grace_s: the time from SIGTERM until the platform kills a process.
        config_ms: the time from the acknowledgement of a configuration until all routers use it.
        retry_budget_ratio: attempts beyond the first that are allowed per request within `budget_window_s`.
        budget_window_s: the window of the retry budget.
        retry_budget_slack: attempts beyond the first that are allowed in the window on top of the ratio.
        quota_window_s: the window in which a tenant's quota is measured.
        quota_over: the fraction by which a quota may be exceeded in the window.
        quota_slack: the units by which it may be exceeded beyond that fraction.
        expose_share: the share of a service's requests that a version under trial may receive in a roll-out.
        expose_slack: the requests that it may receive beyond that share.
        recover_s: the time from the end of a fault until the fleet serves as before.
    """

    drain_ms: float = 2_000.0
    grace_s: float = 8.0
    config_ms: float = 2_000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 10.0
    quota_window_s: float = 8.0
    quota_over: float = 0.0
    quota_slack: float = 0.0
    expose_share: float = 0.1
    expose_slack: float = 50.0
    recover_s: float = 12.0


class Limits(msgspec.Struct, frozen=True):
    """The resources that the platform grants a process.

    Attributes:
        memory_mb: memory.
        max_fds: open file descriptors.
        link_mbps: bandwidth of its network link.
    """

    memory_mb: int = 300
    max_fds: int = 4_096
    link_mbps: float = 1_000.0


class Settings(msgspec.Struct, frozen=True):
    """The settings of one process. Unknown keys are ignored.

    Attributes:
        node: the name of the process, for logs.
        ip: its IP address, under which the other processes know it.
        zone: its failure domain.
        port_range: the first and last port that the process may use.
        seeds: control addresses (`HOST:PORT`) of controllers.
        listen: addresses to serve on.
        bootstrap: whether the seeds may form the first membership.
        counts_for_quorum: whether the platform counts the machine towards a majority. No code reads it.
        data_dir: the folder for a controller's durable state.
        heartbeat_ms: the interval of upstreams' heartbeats.
        fault_tolerance: the faults that the fleet must survive.
        bounds: the service levels of the deployment.
        limits: the resources of the process.
    """

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
        """The port on which controllers accept connections from other processes of the fleet."""
        return self.port_range[0]

    @property
    def seed_nodes(self) -> tuple[str, ...]:
        """The IP addresses of the seeds, sorted."""
        return tuple(sorted({parse_address(seed)[0] for seed in self.seeds}))


MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int]:
    """Split `HOST:PORT`.

    Raises:
        SettingsError: `address` does not have this form.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) < 65_536:
        raise SettingsError(f"{address!r} is not HOST:PORT")
    return host, int(port)


def parse(text: str | bytes) -> Settings:
    """Parse the text of a settings file.

    Raises:
        SettingsError: the text is not valid YAML, or a value is missing or invalid.
    """
    try:
        raw: Any = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise SettingsError("the file is not valid YAML: " + " ".join(str(error).split())) from None
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from None
    for address in (*settings.seeds, settings.listen.front, settings.listen.ready, settings.listen.control):
        if address is not None:
            parse_address(address)
    if settings.port_range[0] > settings.port_range[1]:
        raise SettingsError(
            f"port_range: the first port {settings.port_range[0]} is above the last port {settings.port_range[1]}"
        )
    return settings


def path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(ENVIRONMENT_VARIABLE, DEFAULT_PATH)


def load(where: str | None = None) -> Settings:
    """Read and parse the settings file.

    Args:
        where: the path of the file; None for `path()`.

    Raises:
        SettingsError: the file can't be read, or its content is invalid.
    """
    name = path() if where is None else where
    try:
        with open(name, "rb") as file:
            return parse(file.read())
    except OSError as error:
        raise SettingsError(f"{name}: {error.strerror}") from None

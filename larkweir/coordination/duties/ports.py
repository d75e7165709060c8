"""The interface of a duty beyond `larkweir_owners.ports.Duty`, and what duties need of the balancer they run in."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from larkweir_owners.messages import Version

from larkweir.coordination.duties.messages import Report


class FleetTask(Protocol):
    """A duty as the balancer runs it: `larkweir_owners.ports.Duty`, and what each balancer does for it."""

    next_ms: float  # when `tick` is due; at an owner `step` follows it at once

    @property
    def name(self) -> str:
        """The duty's name in operator files."""

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """As the owner: the next state of the register, or None."""

    def on_committed(self, state: bytes, version: Version) -> None:
        """A majority of the register's replicas has a state."""

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """A report of a balancer has arrived. Any process may receive one; the owner uses it."""
        ...

    def tick(self, now_ms: float) -> list[Report]:
        """As a balancer: the reports to send to the owner now."""
        ...

    def on_left_fleet(self) -> None:
        """This process has left the fleet: what the duty controls here goes on as it does without owners."""
        ...

    def is_notable(self) -> bool:
        """Whether the state committed last is more than a heartbeat. Called once for each."""
        ...


class LocalSighting(NamedTuple):
    """What a balancer's decisions know of a server by themselves; the fields are those of `messages.Sighting`."""

    is_ejected: bool
    finding: int
    age_ms: float


class HealthSharing(Protocol):
    """The decisions' side of the duty "probers". Servers are named by `probers.key_of`."""

    def sightings(self, now_ms: float) -> Mapping[bytes, LocalSighting]:
        """Servers that are ejected here, or were until a moment ago."""
        ...

    def on_finding(self, key: bytes, finding: int, age_ms: float, is_prober: bool) -> None:
        """A finding of others; `is_prober`: this balancer is to probe. Ignored of a server that is not ejected here."""
        ...

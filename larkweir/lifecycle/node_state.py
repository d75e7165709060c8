"""Reads from a node the state that outlives its process, by the store or in a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from larkweir_balancing import Balancer

from larkweir.core.ports import Decisions
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import InstanceRow
from larkweir.upstreams.pool import UpstreamPool

if TYPE_CHECKING:
    from larkweir.membership.remembered.evidence import Evidence
    from larkweir.membership.remembered.restore import RestoredMembers
    from larkweir.routes.request_routing import Routes
    from larkweir.routes.switch import Switch


class Owner(Protocol):
    """What the state is read from. Attributes are read at each call: extensions set some of them late."""

    upstreams: UpstreamPool
    discovery: Discovery
    decisions: Decisions
    routes: Routes | None
    remembered: RestoredMembers | None

    @property
    def learner(self) -> Balancer | Switch | None:
        """The decisions, where they can export and import what was learned."""


class NodeState:
    """A node's state (`larkweir.store.changes.StateSources`). Times are milliseconds of the process's clock."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner

    def is_complete(self) -> bool:
        """Whether discovery has answered, so that its list is the one to persist."""
        remembered = self._owner.remembered
        return remembered is not None and remembered.is_complete

    def changed_ids(self) -> set[str]:
        """Instance ids whose rows may have changed; the caller takes out those that it has read."""
        changed = self._owner.discovery.upstream_list.changed_ids
        return changed if changed is not None else set()

    def row(self, name: str) -> InstanceRow | None:
        """An upstream's row in discovery's form; None if it is not listed."""
        return self._owner.discovery.row(name)

    def generation(self) -> int:
        """The version of the list."""
        return self._owner.discovery.generation

    def answered_ms(self) -> float:
        """When discovery last answered; 0: it has not."""
        remembered = self._owner.remembered
        return remembered.answered_ms if remembered is not None else 0.0

    def evidence(self, max_count: int) -> dict[str, Evidence]:
        """At most `max_count` upstreams that have served since the last call."""
        remembered = self._owner.remembered
        return remembered.evidence(max_count) if remembered is not None else {}

    def source(self) -> str:
        """Discovery's address."""
        return self._owner.discovery.address

    def drains(self) -> dict[str, float]:
        """Since when each upstream that drains has drained, by instance id."""
        upstreams, discovery = self._owner.upstreams, self._owner.discovery
        if not upstreams.draining:
            return {}
        since_ms = {number: upstreams.table[number].draining_since_ms for number in upstreams.draining}
        reverse = discovery.names.reverse
        if reverse is not None:
            return {reverse[number]: since for number, since in since_ms.items() if number in reverse}
        found: dict[str, float] = {}
        for row in discovery.upstream_list.snapshot()["instances"]:
            since = since_ms.get(discovery.number(row["instanceId"]) or 0, 0.0)
            if since:
                found[row["instanceId"]] = since
        return found

    def learned(self) -> dict[str, Any]:
        """What the decisions have learned, without giving the credit away: this process goes on with it."""
        learner = self._owner.learner
        if learner is None:
            return {}
        if self._owner.routes is not None:
            slow_starts = [pool.decisions.slow_start for pool in self._owner.routes.switch.pools.values()]
        else:
            assert isinstance(self._owner.decisions, Balancer)
            slow_starts = [self._owner.decisions.slow_start]
        credits = [slow_start.credit for slow_start in slow_starts]
        found = learner.learned()
        for slow_start, credit in zip(slow_starts, credits, strict=True):
            slow_start.credit = credit
        for exported in (found, *found.get("pools", {}).values()):
            exported["credit"] = 0.0
        return found

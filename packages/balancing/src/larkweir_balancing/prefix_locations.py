"""Finds the engines where the prefix of a prompt is cached or should be cached. Pure logic.

Engines do not report the contents of their caches. This router remembers where it sent a prefix. If nothing is known of
a prefix, its engines are ranked by rendezvous hashing, which gives the same preference order in all routers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.rendezvous import rendezvous_weight
from larkweir_balancing.servers import Server
from larkweir_balancing.token_list import TokenList

# Engines that should cache one prefix, unless none of them holds a token; each further one has to prefill it again.
OWNERS_PER_PREFIX = 2
MAX_PREFERENCE_ORDERS = 4_096
MAX_CACHED_PREFIXES = 16_384  # pairs of a prefix and an engine that it was sent to


class PrefixLocations:
    """The prefixes of one service; the least recently used are evicted first."""

    def __init__(self, upstreams: TokenList) -> None:
        """`upstreams`: the upstreams of the service; the ready ones are ranked."""
        self._upstreams = upstreams
        self._preference_orders: OrderedDict[str, list[Server]] = OrderedDict()
        self._cached: OrderedDict[tuple[str, int], None] = OrderedDict()

    def on_list_changed(self) -> None:
        """Discard the preference orders, because the ready upstreams may have changed."""
        self._preference_orders.clear()

    def owners(self, prefix: str, known: Server | None) -> Iterator[Server]:
        """Yield the known owner, then the preferred engines; their order is computed only if it is needed."""
        if known is not None:
            yield known
        yield from self._preference_order(prefix)

    def is_cached(self, prefix: str, server: Server) -> bool:
        """Whether this router remembers sending the prefix to that engine."""
        return (prefix, server.id) in self._cached

    def record(self, prefix: str, server: Server) -> None:
        """Record that the prefix is sent to that engine."""
        if not OPTIONS.remembered_prefixes:
            return
        self._cached[(prefix, server.id)] = None
        self._cached.move_to_end((prefix, server.id))
        if len(self._cached) > MAX_CACHED_PREFIXES:
            self._cached.popitem(last=False)

    def _preference_order(self, prefix: str) -> list[Server]:
        order = self._preference_orders.get(prefix)
        if order is None:
            ranked = sorted(
                self._upstreams.ready_servers(),
                key=lambda server: rendezvous_weight(prefix, self._upstreams.name(server)),
            )
            order = self._preference_orders[prefix] = ranked[:OWNERS_PER_PREFIX]
            if len(self._preference_orders) > MAX_PREFERENCE_ORDERS:
                self._preference_orders.popitem(last=False)
        else:
            self._preference_orders.move_to_end(prefix)
        return order

"""At which engines the prefix of a prompt is, or should be, cached. Pure logic.

Engines do not report their caches. This router remembers where it sent a prefix; where nothing is known, each prefix
has a preference order of engines by rendezvous hashing, the same in all routers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.rendezvous import rendezvous_weight
from larkweir_balancing.servers import Server
from larkweir_balancing.token_list import TokenList

OWNERS_PER_PREFIX = (
    2  # engines that cache one prefix, as far as tokens allow; further ones would read it again
)
MAX_PREFERENCE_ORDERS = 4_096
MAX_CACHED_PREFIXES = 16_384  # pairs of a prefix and an engine that was sent it


class PrefixLocations:
    """One service's prefixes; the least recently used are forgotten first."""

    def __init__(self, upstreams: TokenList) -> None:
        """`upstreams`: those of the service, of which the ready ones are ranked."""
        self._upstreams = upstreams
        self._preference_orders: OrderedDict[str, list[Server]] = OrderedDict()
        self._cached: OrderedDict[tuple[str, int], None] = OrderedDict()

    def on_list_changed(self) -> None:
        """The ready upstreams may be others now, so each order is worked out again."""
        self._preference_orders.clear()

    def owners(self, prefix: str, known: Server | None) -> Iterator[Server]:
        """The known owner, then the preferred ones, whose order is worked out only if the known one is of no use."""
        if known is not None:
            yield known
        yield from self._preference_order(prefix)

    def is_cached(self, prefix: str, server: Server) -> bool:
        """Whether this router has sent the prefix there, as far as it remembers."""
        return (prefix, server.id) in self._cached

    def record(self, prefix: str, server: Server) -> None:
        """The prefix is sent there now."""
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

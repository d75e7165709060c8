"""Which hops forward requests to which others, as seen in requests' and answers' fields. Pure logic."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from itertools import pairwise

MAX_KNOWN_SENDERS = 1024
MAX_NEXT_HOPS = 16  # remembered of each


class Breadcrumbs:
    """The next hops of the hops that were seen last."""

    def __init__(self) -> None:
        self._next_hops: OrderedDict[str, deque[str]] = OrderedDict()
        self._paths: set[tuple[str, ...]] = set()  # already recorded, so that most need not be taken apart

    def add(self, path: tuple[str, ...]) -> None:
        """A request has passed these hops in this order."""
        if path in self._paths:
            return
        if len(self._paths) >= MAX_KNOWN_SENDERS:
            self._paths.clear()
        self._paths.add(path)
        for hop, next_hop in pairwise(path):
            known = self._next_hops.setdefault(hop, deque(maxlen=MAX_NEXT_HOPS))
            self._next_hops.move_to_end(hop)
            if next_hop not in known:
                known.append(next_hop)
            if len(self._next_hops) > MAX_KNOWN_SENDERS:
                self._next_hops.popitem(last=False)

    def next_hops(self, hop: str) -> Sequence[str]:
        """The hops that `hop` was seen to forward requests to."""
        return self._next_hops.get(hop, ())

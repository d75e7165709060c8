"""Asks the other hops of a trace to retain their records, after the fact. Pure logic.

As in Hindsight (NSDI 2023, section 4), a hop that finds a request worth retaining follows its breadcrumbs. The asking
hop drives the collection: each hop that responds names the hops that it knows of, which are asked too. The most
important traces go first, and among equals the highest hash, so that hops that can't retain all of them retain the same
ones. A hop that does not respond is asked again, then given up; then its known next hops are asked, and other peers, up
to a limit.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from larkweir_captures.breadcrumbs import Breadcrumbs
from larkweir_captures.messages import MAX_TRACE_ID_CHARS, MAX_TRACES_PER_REQUEST, TraceRequest
from larkweir_captures.output_limits import LeakyBucket
from larkweir_captures.propagation import is_hop_name

FAILED, SLOW, RETRIED = 3, 2, 1  # importance

MAX_ATTEMPTS = 3
RETRY_MS = 250.0
MAX_TRACE_HOPS = 16  # asked for one trace by its breadcrumbs
MAX_FALLBACK_HOPS = 16  # asked for one trace, once each, after a hop was given up
MAX_OPEN_TRACES = 512  # being collected, and as many waiting
_MIN_TRACES_PER_S = 10.0


@dataclass(slots=True)
class _Collection:
    """One trace that is being collected."""

    request: TraceRequest
    pending: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )  # by hop: attempts, due time of the next
    queried: set[str] = field(default_factory=set)  # all hops, whether they responded or not
    is_lost: bool = False  # an answer is missing, so the hops behind it are not known
    has_fallen_back: bool = False  # to other peers


class TraceCollection:
    """The traces that this node collects from other hops."""

    def __init__(self, me: str, traces_per_s: float, breadcrumbs: Breadcrumbs) -> None:
        """`traces_per_s`: the most that are begun in any second, at least 10."""
        self.me = me
        self._breadcrumbs = breadcrumbs
        self._limit = LeakyBucket(max(_MIN_TRACES_PER_S, traces_per_s))
        self._waiting: dict[int, tuple[TraceRequest, tuple[str, ...], bool]] = {}
        self._open: dict[int, _Collection] = {}
        self.shed_count = 0  # triggers that there was no room for
        self.unanswered_count = 0  # hops that were given up

    def __len__(self) -> int:
        return len(self._open) + len(self._waiting)

    def trigger(self, request: TraceRequest, hops: Sequence[str], is_lost: bool) -> None:
        """A trace is worth retaining. `hops`: those to ask; `is_lost`: an attempt's answer is missing."""
        if request.rv in self._open or len(request.trace_id) > MAX_TRACE_ID_CHARS:
            return
        self._waiting[request.rv] = (request, tuple(hops), is_lost)
        if len(self._waiting) > MAX_OPEN_TRACES:
            least = min(self._waiting, key=lambda rv: (self._waiting[rv][0].importance, rv))
            del self._waiting[least]
            self.shed_count += 1

    def on_retained(self, source: str, rv: int, hops: Sequence[str]) -> None:
        """Hop `source` has retained its records of a trace, and names other hops."""
        found = self._open.get(rv)
        if found is None or source not in found.queried:
            return
        found.pending.pop(source, None)
        self._add_hops(found, hops)

    def take_due(
        self, now_ms: float, alive: Sequence[str]
    ) -> tuple[list[TraceRequest], dict[str, list[TraceRequest]]]:
        """The traces whose collection begins now, whose records are to be retained here too; and the requests that are
        due, by hop. `alive`: the peers to fall back to.
        """
        begun = self._begin(now_ms)
        requests: dict[str, list[TraceRequest]] = {}
        for rv, found in list(self._open.items()):
            self._give_up(found, alive, now_ms)
            self._collect_due(found, requests, now_ms)
            if not found.pending:
                del self._open[rv]
        return begun, requests

    def _begin(self, now_ms: float) -> list[TraceRequest]:
        """Open the most important waiting traces, as many as the limits allow."""
        begun: list[TraceRequest] = []
        for rv in sorted(self._waiting, key=lambda rv: (self._waiting[rv][0].importance, rv), reverse=True):
            if len(self._open) >= MAX_OPEN_TRACES or self._limit.wait_ms(1.0, now_ms) > 0.0:
                break
            self._limit.spend(1.0, now_ms)
            request, hops, is_lost = self._waiting.pop(rv)
            begun.append(request)
            self._open[rv] = opened = _Collection(request, is_lost=is_lost)
            self._add_hops(opened, hops)
        return begun

    def _add_hops(self, found: _Collection, hops: Sequence[str]) -> None:
        for name in hops:
            if (
                name != self.me
                and name not in found.queried
                and len(found.queried) < MAX_TRACE_HOPS + MAX_FALLBACK_HOPS
                and is_hop_name(name)
            ):
                found.queried.add(name)
                found.pending[name] = (0, float("-inf"))

    def _give_up(self, found: _Collection, alive: Sequence[str], now_ms: float) -> None:
        """Give up hops that did not respond, and fall back to others where an answer is missing."""
        given_up = [
            name
            for name, (attempts, due_ms) in found.pending.items()
            if attempts >= MAX_ATTEMPTS and due_ms <= now_ms
        ]
        for name in given_up:
            del found.pending[name]
        if given_up and not found.has_fallen_back:
            self.unanswered_count += len(given_up)
            found.is_lost = True
        if found.is_lost and not found.has_fallen_back:
            self._fall_back(found, given_up or (self.me,), alive)

    def _collect_due(
        self, found: _Collection, requests: dict[str, list[TraceRequest]], now_ms: float
    ) -> None:
        """Add the trace to the requests of each hop that is due; what exceeds a message waits for the next tick."""
        for name, (attempts, due_ms) in found.pending.items():
            batch = requests.setdefault(name, []) if due_ms <= now_ms else None
            if batch is not None and len(batch) < MAX_TRACES_PER_REQUEST:
                batch.append(found.request)
                found.pending[name] = (attempts + 1, now_ms + RETRY_MS)

    def _fall_back(self, found: _Collection, lost: Sequence[str], alive: Sequence[str]) -> None:
        """Ask the known next hops of the lost hops, then other peers, each once."""
        found.has_fallen_back = True
        likely = [name for hop in lost for name in self._breadcrumbs.next_hops(hop)]
        added = 0
        for name in (*likely, *alive):
            if added >= MAX_FALLBACK_HOPS:
                return
            if name != self.me and name not in found.queried:
                found.queried.add(name)
                found.pending[name] = (MAX_ATTEMPTS - 1, float("-inf"))
                added += 1

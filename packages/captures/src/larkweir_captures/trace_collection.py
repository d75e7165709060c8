"""Asking the other hops of a request to keep what they have of it, after the fact, by breadcrumbs.

Hindsight (NSDI 2023, section 4): a hop that finds a request worth keeping follows who sent to whom. Who asks drives it:
each hop that answers names the hops that it knows of, and those are asked too. The most important go first, and of
those the highest hash, so that hops that can't keep all keep the same ones. A hop that does not answer is asked again,
then given up; then those that it is known to send to are asked, and others that are left, so many and no more.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from larkweir_captures.messages import MAX_TRACE_ID_CHARS, MAX_TRACES_PER_REQUEST, TraceRequest
from larkweir_captures.output_limits import LeakyBucket
from larkweir_captures.sampling import is_hop_name

FAILED, SLOW, RETRIED = 3, 2, 1  # how important

MAX_ATTEMPTS = 3
RETRY_MS = 250.0
MAX_TRACE_HOPS = 16  # asked for one trace, by breadcrumbs
MAX_FALLBACK_HOPS = 16  # asked for one trace without any, where a hop was lost
MAX_OPEN_TRACES = 512  # traces that are asked for at once, and that wait to be
MAX_REQUESTED_TRACES = 4096  # traces that others have asked for
MAX_KNOWN_SENDERS = 1024  # hops of which it is known whom they send to


@dataclass(slots=True)
class _Open:
    ask: TraceRequest
    asked: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )  # who has not answered: tries, the next when
    known: set[str] = field(default_factory=set)  # all that were asked
    lost: bool = False  # a hop's answer is missing: what went on from there is not known
    around: bool = False  # others have been asked


class TraceCollection:
    def __init__(self, me: str, traces_per_s: float) -> None:
        self.me = me
        self._leak = LeakyBucket(max(10.0, traces_per_s))
        self._waiting: dict[int, tuple[TraceRequest, tuple[str, ...], bool]] = {}
        self._open: dict[int, _Open] = {}
        self.requested: OrderedDict[int, tuple[int, float, tuple[str, ...]]] = (
            OrderedDict()
        )  # how much, until, by whom
        self._sends: OrderedDict[str, deque[str]] = OrderedDict()  # whom a hop was seen to send to
        self._paths: set[tuple[str, ...]] = set()  # that have been seen, so that most need not be taken apart
        self.shed_count = 0  # triggers that there was no room for
        self.unanswered_count = 0  # hops that never answered

    def __len__(self) -> int:
        return len(self._open) + len(self._waiting)

    # What is known of others

    def add_breadcrumbs(self, path: tuple[str, ...]) -> None:
        """A request has passed these hops in this order."""
        if path in self._paths:
            return
        if len(self._paths) >= MAX_KNOWN_SENDERS:
            self._paths.clear()
        self._paths.add(path)
        for here, there in pairwise(path):
            seen = self._sends.setdefault(here, deque(maxlen=MAX_FALLBACK_HOPS))
            self._sends.move_to_end(here)
            if there not in seen:
                seen.append(there)
            if len(self._sends) > MAX_KNOWN_SENDERS:
                self._sends.popitem(last=False)

    def add_requested(self, rv: int, importance: int, until_ms: float, source: str) -> None:
        """A hop asks for a trace, which may still be under way here."""
        known = self.requested.pop(rv, (0, 0.0, ()))
        sources = known[2] if source in known[2] else (*known[2], source)[-4:]
        self.requested[rv] = (max(importance, known[0]), max(until_ms, known[1]), sources)
        if len(self.requested) > MAX_REQUESTED_TRACES:
            self.requested.popitem(last=False)

    def requested_by(self, rv: int, now_ms: float) -> tuple[int, tuple[str, ...]]:
        """How important a trace is to those who have asked for it, and who they are; 0 if nobody has."""
        if rv not in self.requested:
            return 0, ()
        importance, until, sources = self.requested[rv]
        return (importance, sources) if until >= now_ms else (0, ())

    # What is asked here

    def trigger(self, ask: TraceRequest, hops: Sequence[str], lost: bool) -> None:
        """A request here is worth keeping. `lost`: an attempt's answer is missing."""
        if ask.rv in self._open or len(ask.trace_id) > MAX_TRACE_ID_CHARS:
            return
        self._waiting[ask.rv] = (ask, tuple(hops), lost)
        if len(self._waiting) > MAX_OPEN_TRACES:
            least = min(self._waiting, key=lambda rv: (self._waiting[rv][0].importance, rv))
            del self._waiting[least]
            self.shed_count += 1

    def on_retained(self, source: str, rv: int, hops: Sequence[str]) -> None:
        """A hop has kept what it had, and names others."""
        found = self._open.get(rv)
        if found is None or source not in found.known:
            return
        found.asked.pop(source, None)
        self._add(found, hops)

    def _add(self, found: _Open, hops: Sequence[str]) -> None:
        for name in hops:
            if (
                name != self.me
                and name not in found.known
                and len(found.known) < MAX_TRACE_HOPS + MAX_FALLBACK_HOPS
                and is_hop_name(name)
            ):
                found.known.add(name)
                found.asked[name] = (0, float("-inf"))

    def take_due(
        self, now_ms: float, alive: Sequence[str]
    ) -> tuple[list[TraceRequest], dict[str, list[TraceRequest]]]:
        """The traces that are asked for from now on, whose records here are kept too; and whom to ask what."""
        begun: list[TraceRequest] = []
        if self._waiting:
            for rv in sorted(
                self._waiting, key=lambda rv: (self._waiting[rv][0].importance, rv), reverse=True
            ):
                if len(self._open) >= MAX_OPEN_TRACES or self._leak.wait_ms(1.0, now_ms) > 0.0:
                    break
                self._leak.spend(1.0, now_ms)
                ask, hops, lost = self._waiting.pop(rv)
                begun.append(ask)
                self._open[rv] = opened = _Open(ask, lost=lost)
                self._add(opened, hops)
        posts: dict[str, list[TraceRequest]] = {}
        for rv, found in list(self._open.items()):
            self._ask(found, posts, alive, now_ms)
            if not found.asked:
                del self._open[rv]
        while self.requested and next(iter(self.requested.values()))[1] < now_ms:
            self.requested.popitem(last=False)
        return begun, posts

    def _ask(
        self, found: _Open, posts: dict[str, list[TraceRequest]], alive: Sequence[str], now_ms: float
    ) -> None:
        given_up = [
            name for name, (tries, due) in found.asked.items() if tries >= MAX_ATTEMPTS and due <= now_ms
        ]
        for name in given_up:
            del found.asked[name]
        if given_up and not found.around:
            self.unanswered_count += len(given_up)
            found.lost = True
        if found.lost and not found.around:
            self._around(found, given_up or (self.me,), alive)
        for name, (tries, due) in found.asked.items():
            batch = posts.setdefault(name, []) if due <= now_ms else None
            if batch is not None and len(batch) < MAX_TRACES_PER_REQUEST:  # else at the next time
                batch.append(found.ask)
                found.asked[name] = (tries + 1, now_ms + RETRY_MS)

    def _around(self, found: _Open, lost: Sequence[str], alive: Sequence[str]) -> None:
        """Ask those that a lost hop was seen to send to, then others, each once."""
        found.around = True
        likely = [name for hop in lost for name in self._sends.get(hop, ())]
        asked = 0
        for name in (*likely, *alive):
            if asked >= MAX_FALLBACK_HOPS:
                return
            if name != self.me and name not in found.known:
                found.known.add(name)
                found.asked[name] = (MAX_ATTEMPTS - 1, float("-inf"))
                asked += 1

"""Anti-entropy, by which two copies find the edits that either lacks, and send them.

A copy greets another with the hash of its version vector (`digests`). Where the hashes differ, both tell which edits
they have; what is lacking is asked for, and sent. Messages may be lost, late or doubled: the next greeting begins
anew.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from larkweir_edits import digests
from larkweir_edits.digests import Digest, EditRequest, Edits, Have, Item, Sum
from larkweir_edits.edit import Dot, EditError, shaped
from larkweir_edits.state import State
from larkweir_edits.state_transfer import Channel

REQUEST_TIMEOUT_MS = 150.0  # for which an answer is awaited before the same edit is asked for again
MAX_REQUESTED_EDITS = 96  # edits asked for at a time
MAX_CONSIDERED_EDITS = 4 * MAX_REQUESTED_EDITS  # of one writer and message
MAX_OUTSTANDING_REQUESTS = 512


class Host(Protocol):
    """What anti-entropy needs of its copy."""

    state: State  # replaced as a whole when another's state is adopted
    counts: dict[str, int]
    met: bool

    @property
    def unwritten(self) -> bool:
        """Whether an edit of this copy's own is being written to the log."""

    @property
    def is_log_full(self) -> bool:
        """Whether the log takes no more edits for now."""

    def hurry(self, now_ms: float) -> None:
        """Greet somebody soon."""

    def agree(self, source: str, vector: Mapping[str, int]) -> None:
        """`source` has the same edits as this copy: those of `vector`."""

    def offer(self, to: str, writer: str, count: int, now_ms: float) -> None:
        """Offer the whole state to one that lacks an edit which is in the base."""

    def is_former(self, writer: str) -> bool:
        """Whether the writer was an earlier incarnation of this copy."""

    def give_up(self) -> None:
        """The log lacks edits of an earlier incarnation: forget what the file at start said otherwise."""

    def append_edits(self, writer: str, edits: list[bytes]) -> None:
        """Give received edits to the log."""


class AntiEntropy:
    """One copy's part in the exchange. `max_item_bytes` is the size of an item in bytes."""

    def __init__(self, replica: Host, channel: Channel, max_item_bytes: int) -> None:
        self._replica, self._channel, self._max_item_bytes = replica, channel, max_item_bytes
        self._requested_until_ms: dict[Dot, float] = {}  # until when the answer is awaited
        self._writing: set[Dot] = set()  # received, and being written to the log
        self.reset()

    def reset(self) -> None:
        """The copy's state is another one as a whole."""
        self._requested_until_ms.clear()
        self._vector: Mapping[str, int] = {}  # the state's; empty until it is needed
        self._digest = Digest(self._replica.state.vector)

    def applied(self, dots: Iterable[Dot]) -> None:
        """Edits have been applied to the copy's state."""
        for dot in dots:
            self._vector = {}
            self._digest.put(*dot)

    def written(self, dot: Dot) -> None:
        """A received edit is in the log."""
        self._writing.discard(dot)

    def expire(self, now_ms: float) -> None:
        """Forget questions that have had no answer in time."""
        self._requested_until_ms = {
            dot: until for dot, until in self._requested_until_ms.items() if until > now_ms
        }

    def greet(self, to: str) -> None:
        """Send the hash of what this copy has; nothing while an own edit is being written."""
        state = self._replica.state
        if self._replica.unwritten:
            return
        self._post(to, Sum(state.origin, not state.vector, self._digest.total, self._digest.ranges))

    def _post(self, to: str, item: Item) -> bool:
        return self._channel.post(to, digests.packed(item))

    def on_sum(self, source: str, item: Sum, now_ms: float) -> None:
        """A greeting. Where the hashes differ, answer with the edits of the ranges that do."""
        mine = self._replica.state
        if item.origin != mine.origin:
            self._replica.counts["other_origin"] += 1
            self._replica.met = self._replica.met or item.fresh
            if mine.vector and item.fresh:
                self._replica.offer(source, "", 0, now_ms)
            elif not mine.vector and not item.fresh:
                self.greet(source)  # it will offer what it has
            return
        self._replica.met = True
        if item.total == self._digest.total:
            if not self._vector:
                self._vector = dict(mine.vector)
            self._replica.agree(source, self._vector)
            return
        self._replica.hurry(now_ms)
        ranges = self._digest.differ(item.ranges)
        self._send_counts(source, ranges, "", "", echo=True)

    def _send_counts(self, to: str, ranges: list[int], low: str, high: str, echo: bool) -> None:
        """Send which edits of some writers this copy has, in as many items as that takes."""
        parts, state = [], self._replica.state
        for writer in self._digest.writers(ranges, low, high):
            more = digests.spans(state.buffered.get(writer, ()))
            parts.append((len(writer) + 6 + 3 * len(more), (writer, [state.vector.get(writer, 0), *more])))
        groups = list(digests.filled(parts, max(self._max_item_bytes - 40, 100))) or [[]]
        for n, group in enumerate(groups):
            last = high if n == len(groups) - 1 else group[-1][0]
            if not self._post(to, Have(state.origin, echo, ranges, low, last, dict(group))):
                return
            low = last

    def on_have(self, source: str, item: Have, now_ms: float) -> None:
        """Which edits the other has: ask for those that are lacking here, and tell it what it lacks."""
        mine = self._replica.state.vector
        self._request_missing(source, item, now_ms)
        if item.echo and any(
            mine[writer] > (item.writers[writer][0] if writer in item.writers else 0)
            for writer in self._digest.writers(item.ranges, item.low, item.high)
        ):
            self._send_counts(source, item.ranges, item.low, item.high, echo=False)

    def _request_missing(self, source: str, item: Have, now_ms: float) -> None:
        """Ask `source` for edits that it has and this copy lacks, unless they were asked for just now."""
        self._replica.hurry(now_ms)
        left = max(0, min(MAX_REQUESTED_EDITS, MAX_OUTSTANDING_REQUESTS - len(self._requested_until_ms)))
        wanted: dict[str, list[int]] = {}
        for writer, (upto, *more) in item.writers.items():
            known = self._replica.state.vector.get(writer, 0)
            if upto > known and self._replica.is_former(writer):
                self._replica.give_up()
            found = []
            for count in [
                *range(known + 1, min(upto, known + 4 * MAX_REQUESTED_EDITS) + 1),
                *digests.counts(more, 4 * MAX_REQUESTED_EDITS),
            ]:
                dot = (writer, count)
                if (
                    left
                    and not self._replica.state.has(dot)
                    and dot not in self._writing
                    and self._requested_until_ms.get(dot, 0.0) <= now_ms
                ):
                    found.append(count)
                    self._requested_until_ms[dot] = now_ms + REQUEST_TIMEOUT_MS
                    left -= 1
            if found:
                wanted[writer] = digests.spans(found)
        for group in digests.filled(
            ((len(w) + 4 + 3 * len(s), (w, s)) for w, s in wanted.items()), self._max_item_bytes - 20
        ):
            self._replica.counts["asked"] += 1
            self._post(source, EditRequest(self._replica.state.origin, dict(group)))

    def on_request(self, source: str, item: EditRequest, now_ms: float) -> None:
        """Send edits that were asked for, or offer the whole state where one is in the base by now."""
        left, state = MAX_REQUESTED_EDITS, self._replica.state
        for writer, flat in item.spans.items():
            if flat and flat[0] <= state.folded.get(writer, 0):
                self._replica.offer(source, writer, flat[0], now_ms)
                return
            found = []
            for count in digests.counts(flat, left):
                data = state.log.get(writer, {}).get(count) or state.raw.get((writer, count))
                if data is not None:
                    found.append((len(data) + 2, data))
            left -= len(found)
            for group in digests.filled(found, self._max_item_bytes - 16 - len(writer)):
                if not self._post(source, Edits(state.origin, writer, group)):
                    return
            if left <= 0:
                return

    def on_edits(self, source: str, item: Edits, now_ms: float) -> None:
        """Edits that were asked for: those that are new go to the log, as far as that takes them."""
        fresh = []
        for data in item.edits:
            try:
                dot = (item.writer, shaped(data).count)
            except EditError:
                self._replica.counts["bad"] += 1
                continue
            self._requested_until_ms.pop(dot, None)
            if not self._replica.state.has(dot) and dot not in self._writing:
                self._writing.add(dot)
                fresh.append(data)
        if fresh and self._replica.is_log_full:
            self._replica.counts["refused"] += len(fresh)
            self._writing.difference_update((item.writer, shaped(data).count) for data in fresh)
        elif fresh:
            if self._replica.is_former(item.writer):  # a predecessor of this process had asked for them
                self._replica.give_up()
            self._replica.append_edits(item.writer, fresh)
        if not self._requested_until_ms:
            self.greet(source)  # there may be more
        self._replica.hurry(now_ms)

"""Faults that the checks must find: (name, file, old text, new text, check), each a change to a copy of the text."""

from __future__ import annotations

_SRC = "packages/captures/src/larkweir_captures/"
_TESTS = "packages/captures/tests/"
_RULES = _TESTS + "test_captures_rules.py::"
_FLEET = _TESTS + "test_captures_fleet.py::test_captures_agree_within_bounds"

PLANTED: list[tuple[str, str, str, str, str]] = [
    (
        "a threshold that is not nested",
        _SRC + "thresholds.py",
        "        return self.rv >= self.threshold\n",
        "        return (self.rv + self.threshold * 0x9E3779B1) % ALL >= self.threshold\n",
        _RULES + "test_a_lower_rate_captures_a_subset",
    ),
    (
        "a bound that counts by the calendar's seconds",
        _SRC + "bounds.py",
        "        self._paid_ms = max(self._paid_ms, now_ms) + cost / self.rate\n",
        "        second = now_ms // 1000.0 * 1000.0\n"
        "        self._paid_ms = max(self._paid_ms, second - 900.0) + cost / self.rate\n",
        _RULES + "test_no_window_passes_the_bound",
    ),
    (
        "the weight of a lowered rate is not recorded",
        _SRC + "node.py",
        "        item = Waiting(trace, verdict.rv, verdict.threshold, body,",
        "        item = Waiting(trace, verdict.rv, self.held.set_for(verdict.key), body,",
        _RULES + "test_weights_tell_of_a_node_that_lowered_its_own",
    ),
    (
        "what was let go while a record waited is forgotten",
        _SRC + "queues.py",
        "        cut = self._cuts[0][1] if self._cuts else 0.0\n",
        "        cut = self._cuts[-1][1] if self._cuts else 0.0\n",
        _RULES + "test_weights_stay_unbiased_when_records_are_let_go",
    ),
    (
        "the newest record is let go, whatever its hash",
        _SRC + "queues.py",
        "        heappush(self._heap, (lift_of(item.threshold, item.rv), self._order))\n",
        "        heappush(self._heap, (-float(self._order), self._order))\n",
        _RULES + "test_weights_stay_unbiased_when_records_are_let_go",
    ),
    (
        "a ring without a bound on its bytes",
        _SRC + "ring.py",
        "        while len(self._entries) > self.most_records or self._bytes > self.most_bytes:\n",
        "        while len(self._entries) > self.most_records:\n",
        _TESTS + "test_captures_after.py::TestRing",
    ),
    (
        "a place in the ring whose record was taken takes a newer one along",
        _SRC + "ring.py",
        "            if self._newest[item.rv] is item:\n                del self._newest[item.rv]\n",
        "            del self._newest[item.rv]\n",
        _TESTS + "test_captures_after.py::TestRing",
    ),
    (
        "who asks does not follow the hops that others name",
        _SRC + "triggers.py",
        "        found.asked.pop(source, None)\n        self._add(found, hops)\n",
        "        found.asked.pop(source, None)\n",
        _FLEET,
    ),
    (
        "a trace that is still under way is not kept when it ends",
        _SRC + "node.py",
        "        self.triggers.want(rv, importance, now_ms + self._options.ring_ms, source)\n",
        "",
        _TESTS + "test_captures_after.py::TestAsks",
    ),
    (
        "a table of the same number is taken again",
        _SRC + "tables.py",
        "        if (table.term, table.number) <= self.number:\n",
        "        if (table.term, table.number) < self.number:\n",
        _RULES + "test_tables_never_go_back",
    ),
    (
        "a table goes by its number alone, whatever its term",
        _SRC + "tables.py",
        "        if (table.term, table.number) <= self.number:\n",
        "        if table.number <= self.table.number:\n",
        _RULES + "test_tables_never_go_back",
    ),
    (
        "the last thresholds hold for ever",
        _SRC + "tables.py",
        "now_ms - self._heard_ms > self._hold_ms",
        "now_ms - self._heard_ms > float('inf')",
        _RULES + "test_without_word_the_last_thresholds_hold_then_a_safe_part",
    ),
    (
        "a hop past its bound does not say so upwards",
        _SRC + "thresholds.py",
        "        self.threshold = max(self.threshold, threshold)\n",
        "",
        _FLEET,
    ),
    (
        "a node past its bound lowers nothing",
        _SRC + "thresholds.py",
        "    return math.exp(-8.0 * (full - 0.25)) if full > 0.25 else 1.0\n",
        "    return 1.0\n",
        _FLEET,
    ),
    (
        "all kinds get the same rate, so that rare ones are lost",
        _SRC + "fill.py",
        "                rates[key] = min(1.0, level / sizes[key])\n",
        "                rates[key] = min(1.0, level / max(sizes.values()))\n",
        _RULES + "test_rates_are_max_min_fair",
    ),
]

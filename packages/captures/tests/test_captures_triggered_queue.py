"""The order of records retained after the fact."""

from __future__ import annotations

from random import Random

import captures_rig  # noqa: F401 - it loads the hypothesis profile
from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.records import PendingRecord
from larkweir_captures.sampling import randomness
from larkweir_captures.triggered_queue import TriggeredQueue


def test_after_the_fact_the_most_important_go_first_and_the_same_everywhere() -> None:
    items = [(n % 3 + 1, randomness(b"%d" % n)) for n in range(50)]
    found = []
    for seed in (1, 2):
        Random(seed).shuffle(items)
        after = TriggeredQueue(OutputLimit(1000.0, 1e6), max_records=10)
        for importance, rv in items:
            after.put(PendingRecord("", rv, 0, b"", 10, importance=importance))
        taken = [after.take(0.0) for _ in range(len(after))]
        found.append([(item.importance, item.rv) for item in taken if item])
        assert after.shed_count == 40
    assert found[0] == found[1] == sorted(items, reverse=True)[:10]

"""Faults to plant, each in a copy of the package: (name, file, old text, new text, the check that must find it).

Files are named from this package's folder; each old text stands in its file once.
"""

from __future__ import annotations

SOURCE = "src/larkweir_edits/"
RULES = "tests/test_edits_rules.py::"
SPACE = "tests/test_edits_space.py::"

PLANTED: list[tuple[str, str, str, str, str]] = [
    (
        "a tombstone is collected before all have seen it",
        SOURCE + "others.py",
        "        stable = dict(mine)\n",
        "        return dict(mine)\n",
        SPACE + "test_a_tombstone_waits_for_the_one_who_is_cut_off",
    ),
    (
        "a merge goes by arrival",
        SOURCE + "merge.py",
        "    found: list[Write] = []\n",
        "    return list(writes)[-1:]\n",
        "tests/test_edits_laws.py::test_any_order_any_grouping_and_twice_come_to_the_same",
    ),
    (
        "a dot is used twice",
        SOURCE + "copy.py",
        'return f"{self.name}#{self._rng.getrandbits(32):08x}"',
        'return f"{self.name}#1"',
        SPACE + "test_a_disk_of_yesterday_uses_no_dot_twice",
    ),
    (
        "a conflict is won by the newest, and the base is not kept",
        SOURCE + "merge.py",
        "        writes = common(writes, tops)\n",
        "        return values[0], False\n",
        RULES + "test_rule_of_a_field",
    ),
    (
        "an edit is told before it is kept",
        SOURCE + "copy.py",
        "        self._pending.append((self._log.keep(data), record))\n",
        "        self._pending.append((self._log.keep(data), record))\n        self._enact(record)\n",
        SPACE + "test_a_log_that_ends_tells_nobody",
    ),
    (
        "others are told of what an edit that is being written had not seen",
        SOURCE + "copy.py",
        '        return any(record.writer.startswith(f"{self.name}#") for _, record in self._pending)\n',
        "        return False\n",
        SPACE + "test_others_take_nothing_for_seen_that_an_edit_being_written_had_not",
    ),
    (
        "of an owner's writes the last to be made counts, not the highest term",
        SOURCE + "merge.py",
        "(item.value[:2], item.edit.order) > (best.value[:2], best.edit.order)",
        "item.edit.order > best.edit.order",
        RULES + "test_a_late_owners_verdicts_and_steps_are_dropped",
    ),
    (
        "an evacuation is lifted by who has not seen it",
        SOURCE + "merge.py",
        "    return max(values, key=lambda value:",
        "    return min(values, key=lambda value:",
        RULES + "test_who_has_not_seen_an_evacuation_can_not_lift_it",
    ),
    (
        "two halves go on without each other",
        SOURCE + "others.py",
        "2 * (len(here) + 1) <= len(self._heard) + 1",
        "not here",
        SPACE + "test_two_halves_do_not_go_on_without_each_other",
    ),
    (
        "what comes too late counts where it comes",
        SOURCE + "state.py",
        "if writer not in self.strikes and not edit.saw_all(self.folded):",
        "if writer in self.folded and not edit.saw_all(self.folded):",
        RULES + "test_what_came_too_late_is_a_proposal_at_every_copy",
    ),
    (
        "a deleted route comes back with what was before",
        SOURCE + "rows.py",
        "            if edit.kind is Kind.DELETE and all(\n",
        "            if edit.stamp < 0 and all(\n",
        RULES + "test_what_was_before_a_deletion_does_not_come_back_where_the_new_route_goes_back",
    ),
    (
        "a number is told before its flush",
        SOURCE + "log.py",
        "            self._calls.flush(self._file)\n            self._size",
        "            self._size",
        "tests/test_edits_log.py::test_a_number_is_told_only_behind_its_flush",
    ),
]

"""The project's own days for the bench: every kind of fault occurs in one of them, and reports are parsed."""

from __future__ import annotations

import tomllib
from pathlib import Path

from benchmarks.fleet_days import DAYS, Played, read

# The kinds of faults, as listed by the platform's bench.
KINDS = """
burst hot_key hot_tenant srv_crash release answer_lost garble node_kill roll_term herd_kill replace_core seed_turnover
after_ack_wipe disk_slow disk_full clock_step core_cut node_cut config_change config_storm config_race bad_config
ack_lost revoke retry_abuse give_up srv_slow srv_grey srv_cut replace_with_reuse scale_out scale_in node_freeze
node_slow after_ack_kill disk_stall hup reset_conns srv_lying_health srv_flap big_config
""".split()

REPORT = """\
built in 0.3 s
day                  own/srv  score  worth served refused failed  weakest part
cuts                   12/15   0.00  0.764  0.946   0.012  0.003  worst windows 0.79  BROKEN: LOST 7 (else 0.76)
rules broken: LOST 7
"""


def _days() -> list[dict[str, list[dict[str, str]]]]:
    return [
        day for file in sorted(Path(DAYS).rglob("*.toml")) for day in tomllib.loads(file.read_text())["day"]
    ]


def test_every_kind_of_fault_is_in_a_day() -> None:
    drawn = {entry["kind"] for day in _days() for entry in [*day.get("plan", []), *day.get("faults", [])]}
    assert sorted(set(KINDS) - drawn) == []


def test_a_day_has_the_name_of_its_file() -> None:
    for file in Path(DAYS).rglob("*.toml"):
        assert [day["name"] for day in tomllib.loads(file.read_text())["day"]] == [file.stem]


def test_a_report_is_read() -> None:
    assert read("cuts", REPORT) == Played(0.0, 0.764, 0.946, 0.012, 0.003, "LOST 7")
    assert read("other", REPORT) is None

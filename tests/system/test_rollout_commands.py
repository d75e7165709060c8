"""Operators' roll-out commands, run against a fleet on loopback."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from larkweir.system import rollout_commands
from larkweir.system.operator_calls import EXIT_REJECTED
from tests.system.loopback import Fleet, run_scenario
from tests.system.test_fleet import respond_ok, serve
from tests.system.test_operator_commands import command

START = ("rollouts", "start", "--duration-s", "600")


def test_a_rollout_is_started_read_and_aborted(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        at = ("--at", ",".join(fleet.control))
        done = await command("rollouts", "status", *at, "s")
        assert done.exit_code == EXIT_REJECTED
        assert "404 there was no roll-out of s" in done.output
        assert (await command("rollouts", "list", *at)).output == ""
        done = await command(*START, *at, "s", "v2")
        assert (done.exit_code, done.output) == (0, "the roll-out of s to v2 is acknowledged\n")
        done = await command(*START, *at, "s", "v3")
        assert done.exit_code == EXIT_REJECTED
        assert "409 a roll-out of s to v2 is running" in done.output
        assert (await command("rollouts", "list", *at)).output == "s to v2: running, weight 0.08\n"
        found = msgspec.json.decode((await command("rollouts", "status", *at, "--json", "s")).output)
        assert (found["state"], found["target_version"], found["duration_s"]) == ("running", "v2", 600.0)
        done = await command("rollouts", "abort", *at, "s")
        assert (done.exit_code, done.output) == (0, "the roll-out of s is rolled back\n")
        assert (await command("rollouts", "abort", *at, "t")).exit_code == EXIT_REJECTED
        (found,) = msgspec.json.decode((await command("rollouts", "list", *at, "--json")).output)
        assert found["state"] == "rolled_back"

    run_scenario(tmp_path, scenario)


def test_a_rollout_is_watched_to_its_end(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_commands, "WATCH_INTERVAL_S", 0.0)

    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        at = ("--at", ",".join(fleet.control))
        done = await command("rollouts", "start", "--duration-s", "0.8", *at, "--json", "s", "v2")
        assert msgspec.json.decode(done.output)["state"] == "running"
        done = await command("rollouts", "watch", *at, "s")
        assert done.exit_code == EXIT_REJECTED
        assert done.output.startswith("s to v2: running, weight 0.08\n")
        assert "s to v2: rolled_back (no time left" in done.output

    run_scenario(tmp_path, scenario)

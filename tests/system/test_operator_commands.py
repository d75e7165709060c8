"""Operators' commands, run against a fleet on loopback and on files."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner, Result

from larkweir.system.cli import main
from larkweir.system.operator_calls import EXIT_DAMAGED, EXIT_REJECTED, EXIT_UNREACHABLE
from tests.system.loopback import Fleet, ask, run_scenario
from tests.system.test_fleet import configuration, respond_ok, serve


async def command(*arguments: str) -> Result:
    return await asyncio.to_thread(CliRunner().invoke, main, arguments)


def file(folder: Path, name: str, document: object) -> str:
    path = folder / name
    path.write_bytes(msgspec.json.encode(document))
    return str(path)


def test_the_configuration_is_read_and_changed_and_a_stale_change_is_rejected(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        at = ("--at", ",".join(fleet.control))
        patch = file(tmp_path, "patch.json", {"generation": 5, "remove": {"routes": ["plain"]}})
        done = await command("config", "patch", *at, "--base", "1", patch)
        assert (done.exit_code, done.output) == (0, "version 5 is acknowledged\n")
        done = await command("config", "get", *at)
        assert msgspec.json.decode(done.output)["generation"] == 5
        stale = file(tmp_path, "whole.json", configuration(9))
        done = await command("config", "put", *at, "--base", "1", stale)
        assert done.exit_code == EXIT_REJECTED
        assert "412 the version in place is 5, not 1" in done.output

    run_scenario(tmp_path, scenario)


def test_status_members_upstreams_and_state(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        at = ("--at", ",".join(fleet.control))

        async def settled() -> bool:
            found = msgspec.json.decode((await command("status", *at, "--json")).output)
            return all(len(one["routers"]) == 1 and not one["routers"][0]["behind"] for one in found)

        await fleet.until(settled)
        found: list[Any] = msgspec.json.decode((await command("status", *at, "--json")).output)
        assert [one["role"] for one in found].count("primary") == 1
        assert {one["primary"] for one in found} == {one["node"] for one in found if one["role"] == "primary"}
        text = (await command("status", *at)).output
        assert text.count("1 upstreams ready, 1 routers, at most 0 behind") == 3
        assert (await command("members", *at)).output.count("(primary)") == 1
        assert len(msgspec.json.decode((await command("members", *at, "--json")).output)) == 3
        assert "i-0 s " in (await command("upstreams", *at)).output
        (upstream,) = msgspec.json.decode((await command("upstreams", *at, "--json")).output)
        assert (upstream["id"], upstream["state"], upstream["silent"]) == ("i-0", "ready", False)
        folder = str(tmp_path / fleet.control[0].partition(":")[0])
        held = msgspec.json.decode((await command("state", folder, "--json")).output)
        assert held["damaged_bytes"] == 0
        assert len(held["members"]) == 3
        assert "sequence: 1" in (await command("state", folder)).output
        metrics = (await ask(fleet.control[0], "GET", "/metrics")).body.decode()
        assert "larkweir_upstreams_ready 1.0" in metrics

    run_scenario(tmp_path, scenario)


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


def test_files_are_checked_and_compared(tmp_path: Path) -> None:
    good = file(tmp_path, "good.json", configuration())
    bad = file(tmp_path, "bad.json", configuration(services=[]))
    assert run("config", "check", good).output == f"{good} is valid\n"
    done = run("config", "check", bad)
    assert done.exit_code == EXIT_REJECTED
    assert "there is no service s" in done.output
    (tmp_path / "torn.json").write_text('{"gen')
    assert run("config", "check", str(tmp_path / "torn.json")).exit_code == EXIT_REJECTED
    assert run("config", "check", str(tmp_path / "missing.json")).exit_code == EXIT_REJECTED
    newer = file(tmp_path, "newer.json", configuration(2))
    assert msgspec.json.decode(run("config", "diff", good, newer).output) == {
        "upsert": {},
        "remove": {},
        "generation": 2,
    }


def test_unreachable_controllers(tmp_path: Path, monkeypatch: Any) -> None:
    monkeypatch.setattr("larkweir.cluster.controller_client.TOTAL_TIMEOUT_S", 0.0)
    done = run("status", "--at", "127.0.0.1:1")
    assert done.exit_code == EXIT_UNREACHABLE
    assert "127.0.0.1:1" in done.output


def test_a_folder_without_an_intact_record(tmp_path: Path) -> None:
    assert run("state", str(tmp_path)).exit_code == EXIT_DAMAGED
    assert list(tmp_path.iterdir()) == []


def test_a_daemon_with_bad_settings_says_so_in_one_line(tmp_path: Path, monkeypatch: Any) -> None:
    settings = tmp_path / "settings.yaml"
    settings.write_text("node: n\n")
    monkeypatch.setenv("LARKWEIR_CONFIG", str(settings))
    done = run("router")
    assert done.exit_code == 2
    assert done.output.count("\n") == 1
    assert "missing required field `ip`" in done.output

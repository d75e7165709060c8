"""The command line as a person types it."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from larkweir import VERSION
from larkweir.cli.check import check, diff
from standins.peers import PATIENCE_S, Caller
from tests.fakes import SETTINGS, config_data
from tests.upstreams.test_attempts import run

ROOT = Path(__file__).parents[2]


def larkweir(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "larkweir", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )


def test_version_help_and_what_is_no_command() -> None:
    assert larkweir("--version").stdout.strip() == f"larkweir {VERSION}"
    text = larkweir("--help").stdout
    assert all(word in text for word in ("run", "check", "demo", "SIGHUP", "GW_CONFIG"))
    wrong = larkweir("rnu")
    assert wrong.returncode == 2 and "rnu" in wrong.stderr


def test_check_prints_every_fault_of_every_file(tmp_path: Path, capsys: Any) -> None:
    good, bad, toml = tmp_path / "good.json", tmp_path / "bad.json", tmp_path / "bad.toml"
    good.write_text(json.dumps(config_data([], 9)))
    facts = SETTINGS | {"MyZone": "q", "PolicyLimits": {"MayProbe": 7}}
    bad.write_text(json.dumps(config_data([], 9, listen="here", seed="zz", settings=facts)))
    toml.write_text("[lifecycle]\nnotify = 3\n")
    assert check([str(good)]) == 0
    assert capsys.readouterr().out == ""
    assert check([str(good), str(bad), str(toml), str(tmp_path / "none")]) == 2
    lines = capsys.readouterr().out.splitlines()
    keys = [line.split(": ")[0].rpartition("/")[2] + " " + line.split(": ")[1] for line in lines]
    assert keys == [
        "bad.json settings.MyZone",
        "bad.json settings.PolicyLimits.MayProbe",
        "bad.json listen",
        "bad.json seed",
        "bad.toml lifecycle.notify",
        "none file",
    ]
    assert all(len(line.split(": ")) >= 3 for line in lines)


def test_diff_says_what_each_change_comes_to(tmp_path: Path, capsys: Any) -> None:
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    old.write_text(json.dumps(config_data([], 9)))
    new.write_text(json.dumps(config_data([], 10, name="n2", seed="77")))
    assert diff(str(old), str(old)) == 0
    assert diff(str(old), str(new)) == 1
    text = capsys.readouterr().out
    assert re.search(r'^name: "n1" -> "n2"\n    handover: ', text, re.M)
    assert re.search(r"^discovery: .*\n    live: ", text, re.M)
    assert re.search(r"^seed: .*\n    start: ", text, re.M)
    one, other = tmp_path / "old.toml", tmp_path / "new.toml"
    one.write_text("")
    other.write_text("[lifecycle]\nhandover = 'signal'\n")
    assert diff(str(one), str(other)) == 1
    assert 'lifecycle.handover: "off" -> "signal"\n    live' in capsys.readouterr().out
    assert diff(str(one), str(new)) == 2
    new.write_text("{")
    assert diff(str(old), str(new)) == 2


def test_a_bad_operator_file_is_one_line_and_exit_2(tmp_path: Path) -> None:
    toml = tmp_path / "o.toml"
    toml.write_text("[lifecycle]\nnotify = 3\n")
    path = tmp_path / "c.json"
    path.write_text(json.dumps(config_data([], 9)))
    done = subprocess.run(
        [sys.executable, "-m", "larkweir", "run", "--operator", str(toml)],
        cwd=ROOT,
        env={"GW_CONFIG": str(path), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    (line,) = done.stderr.splitlines()
    assert "lifecycle.notify" in line


def test_what_is_off_is_not_imported() -> None:
    """Guards start-up: without an operator file none of its parts may be loaded."""
    code = "import sys, larkweir.cli.run; print([m for m in sys.modules if m.split('.')[0] in "
    code += "('msgspec', 'tomllib', 'argparse') or m.startswith(('larkweir.cli.demo', 'larkweir.config.operator', "
    code += "'larkweir.config.changes', 'larkweir.lifecycle.handover', 'larkweir.lifecycle.channel', "
    code += "'larkweir.lifecycle.notify', 'larkweir.protocols.fastcgi', 'larkweir.budget', 'standins'))])"
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_the_demo_serves_the_request_that_it_prints_and_ends_at_ctrl_c() -> None:
    async def work() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "larkweir",
            "demo",
            "--port",
            "0",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        try:
            async with asyncio.timeout(PATIENCE_S):
                while b"curl" not in (line := await process.stdout.readline()):
                    assert line
            port = int(line.decode().strip().rpartition(":")[2].partition("/")[0])
            async with Caller(port) as caller:
                caller.ask("consulta")
                answer = await caller.answer()
                assert answer.status == 200 and b"served" in answer.body
            process.send_signal(signal.SIGINT)
            async with asyncio.timeout(PATIENCE_S):
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    run(work())

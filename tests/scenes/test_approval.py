"""What keeps approved texts honest: none is written, taken away or left over without a person."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from standins.manager import ROOT
from standins.transcript import Actor, Transcript

CONFTEST = "from tests.scenes.conftest import approved as approved\n"
SCENE = """
from tests.scenes.approval import compare

def test_one(approved):
    compare("\\n".join(f"a -> b: {n}" for n in range(30)) + "\\n", approved)
"""


def pytest_in(folder: Path, *options: str) -> tuple[int, str]:
    plain = ["-q", "-p", "no:cacheprovider", "-p", "syrupy", f"--rootdir={folder}"]
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *plain, *options, folder],
        env={"PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout


def test_no_text_is_approved_taken_away_or_left_over_without_a_person(tmp_path: Path) -> None:
    (tmp_path / "conftest.py").write_text(CONFTEST)
    (tmp_path / "test_it.py").write_text(SCENE)
    approved, received = tmp_path / "approved" / "test_it", tmp_path / "received" / "test_it" / "test_one.txt"
    approved.mkdir(parents=True)
    stale = approved / "test_gone.txt"
    stale.write_text("nobody plays this\n")

    code, said = pytest_in(tmp_path)
    assert code == 1 and "does not exist" in said and "+ a -> b: 29" in said  # the whole text is shown
    code, said = pytest_in(tmp_path, "--snapshot-update")
    assert code == 1 and "read it, and copy it" in said
    assert list(approved.iterdir()) == [stale]  # nothing was written there, and nothing removed

    received.rename(approved / "test_one.txt")
    code, said = pytest_in(tmp_path, "-p", "xdist", "-n", "1")
    assert code == 1 and "1 passed" in said and "1 snapshot unused" in said
    (tmp_path / "test_it.py").write_text(SCENE.replace("a ->", "c ->", 1))
    code, said = pytest_in(tmp_path)
    assert code == 1 and "- a -> b: 0" in said and "+ c -> b: 0" in said


class Post(Actor):
    def left(self) -> list[tuple[str, str, str]]:
        return [("a", "b", "a request too many")]


def test_a_transcript_names_what_the_system_chose_and_tells_what_no_step_took() -> None:
    script = Transcript(300.0, 8000.0)
    script.line("a", "127.0.0.1:40000", "to 127.0.0.1:4000 and 127.0.0.1:40001, 17, not 170 or 1.17")
    script.name("127.0.0.1:4000", "<u0>")  # as late as it is known
    script.name("127.0.0.1:40000", "<u1>")
    script.name(17, "<old>")
    assert script.text() == "a -> <u1>: to <u0> and 127.0.0.1:40001, <old>, not 170 or 1.17\n"
    Post(script, "b")
    assert script.text().endswith("\n\n# Not taken by any step\na -> b: a request too many\n")
    times = [script.time("x-expires-in-ms", value) for value in ("0", "300", "301", "8000", "8001")]
    assert times == ["<at most 300 ms>"] * 2 + ["<at most 8000 ms>"] * 2 + ["<too long>"]

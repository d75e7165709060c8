"""Peers as a part of a balancer: the files and what they may not say, real processes, a handover, nothing when off."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from larkweir.cli.check import check
from larkweir.config.fleet_tables import Peers
from larkweir.config.operator import decode
from larkweir.config.options import Operator, changed
from larkweir.config.peering import Peering, peering
from larkweir.config.platform import ConfigError
from larkweir.config.platform import decode as decode_platform
from larkweir.coordination.part import read_keys
from standins.manager import ROOT
from standins.peers import PATIENCE_S
from tests.fleet.services import PEERS_TABLE, peered, platform, shows
from tests.lifecycle.service import Service, until
from tests.upstreams.test_attempts import run

A, B = "127.0.0.1:7001", "127.0.0.1:7002"
LOCAL = f'on = true\nlisten = "{A}"\npeers = ["{B}"]\n'
FAULTS = [
    ('listen = "here:1"', "peers.listen", "'here:1'"),
    ('listen = "127.0.0.1:0"', "peers.listen", "not an IPv4 address and port"),
    ('name = "unix:/x"', "peers.name", "not an IPv4 address and port"),
    (f'peers = ["{A}", "127.0.0.1"]', "peers.peers", "'127.0.0.1'"),
    ('peers = ["10.3.0.1:7946"]', "peers.peers", "beyond loopback: that takes a key_file"),
    ('key_file = "key"', "peers.key_file", "a path from the root"),
    ("probe_ms = 100.0", "peers.ack_ms", "no shorter than probe_ms"),
    ("probe_ms = 1.0", "peers.probe_ms", "out of bounds"),
    ("burst = 1.0", "peers.burst", "out of bounds"),
    ("peer = []", "peers.peer", "did you mean 'peers'?"),
]


@pytest.mark.parametrize(("text", "key", "words"), FAULTS)
def test_a_fault_of_the_table_names_key_and_what_would_do(text: str, key: str, words: str) -> None:
    _, faults = decode(f"[peers]\n{text}\n")
    assert [fault for fault in faults if fault.startswith(f"{key}:") or fault.startswith(f"{key} ")]
    assert words in " ".join(faults)


@pytest.mark.parametrize(
    ("options", "changes", "expected"),
    [
        (Peers(listen=A, peers=(A, B)), {}, Peering(A, A, (B,))),
        (Peers(), {"peer_listen": A, "peers": [B, A, B]}, Peering(A, A, (B,))),
        (Peers(name=B), {"peer_listen": A, "peers": [A, B]}, Peering(A, B, (A,))),
        (Peers(listen=A, peers=(B,)), {"limits_of_policy": {"Peers": True}}, Peering(A, A, (B,))),
        (Peers(listen=A, peers=(B,)), {"limits_of_policy": {"Peers": False}}, "PolicyLimits.Peers"),
        (Peers(listen=A, peers=(B,)), {"limits_of_policy": {"Peers": "x"}}, "PolicyLimits.Peers"),
        (Peers(peers=(B,)), {}, "peers.listen: neither file"),
        (Peers(listen=A, peers=(A,)), {}, "lists another"),
        (Peers(), {"peer_listen": A, "peers": ["there"]}, "'there' is not an IPv4"),
        (Peers(), {"peer_listen": A, "peers": {"x": 1}}, "is not an IPv4"),
        (Peers(), {"peer_listen": 7, "peers": [B]}, "peers.listen: '7' is not"),
        (Peers(), {"peer_listen": A, "peers": ["10.0.0.1:1"]}, "takes a key"),
        (Peers(key_file="/k"), {"peer_listen": A, "peers": ["10.0.0.1:1"]}, Peering(A, A, ("10.0.0.1:1",))),
    ],
)
def test_who_is_who_comes_from_either_file(
    options: Peers, changes: dict[str, Any], expected: Peering | str
) -> None:
    config = decode_platform(platform(**changes), {})
    if isinstance(expected, Peering):
        assert peering(options, config) == expected
    else:
        with pytest.raises(ConfigError, match=expected):
            peering(options, config)


def test_check_says_where_peers_can_not_be_switched_on(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    operator, allowed, forbids = tmp_path / "o.toml", tmp_path / "a.json", tmp_path / "f.json"
    operator.write_text(f"[peers]\n{LOCAL}")
    allowed.write_text(platform())
    forbids.write_text(platform(limits_of_policy={"Peers": False}))
    assert check([str(operator), str(allowed)]) == 0 and check([str(operator)]) == 0
    assert check([str(operator), str(forbids)]) == 2
    said = capsys.readouterr().out
    assert "peers.on" in said and "PolicyLimits.Peers" in said and str(forbids) in said
    operator.write_text("[peers]\non = false\n")
    assert check([str(operator), str(forbids)]) == 0


@pytest.mark.parametrize(
    ("text", "mode", "expected"),
    [
        ("sixteen letters!\n", 0o600, (b"sixteen letters!",)),
        ("\nnew key, quite long\n\nsixteen letters!", 0o440, (b"new key, quite long", b"sixteen letters!")),
        ("x" * 65, 0o600, 64),
        ("too short", 0o600, "under 16"),
        ("", 0o600, "0 lines"),
        ("sixteen letters!\n" * 5, 0o600, "5 lines"),
        ("x" * 5_000, 0o600, "lines"),
        ("sixteen letters!", 0o604, "chmod 600"),
        (None, 0, "can't be read"),
    ],
)
def test_a_key_file_is_read_or_says_what_is_wrong_and_never_what_is_in_it(
    tmp_path: Path, text: str | None, mode: int, expected: Any
) -> None:
    path = tmp_path / "key"
    if text is not None:
        path.write_text(text)
        path.chmod(mode)
    if isinstance(expected, str):
        with pytest.raises(ConfigError, match=expected) as problem:
            read_keys(str(path))
        assert not text or text.split("\n")[0] not in str(problem.value)
    elif isinstance(expected, int):
        assert [len(key) for key in read_keys(str(path))] == [expected]
    else:
        assert read_keys(str(path)) == expected


def test_nothing_of_it_is_imported_when_it_is_off() -> None:
    code = (
        "import sys, larkweir.lifecycle.daemon, larkweir.config.operator, larkweir.cli.check; "
        "parts = ('larkweir_peers', 'larkweir.coordination', 'larkweir.config.peering'); "
        "print([name for name in sys.modules if name.startswith(parts)])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    assert not Operator().peers.on and not changed(Operator(), decode("[peers]\non = false\n")[0])


def test_three_processes_know_each_other_over_reload_handover_stop_and_crash(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text("a key of more than sixteen letters")
    key.chmod(0o600)

    def prepare(n: int, it: Service, names: list[str]) -> None:
        with it.operator_path.open("a") as file:
            file.write(f'{PEERS_TABLE}key_file = "{key}"\n')

    async def play() -> None:
        async with peered(tmp_path, 3, prepare, handover=True) as them:
            first, second, third = them.values()
            for it in (second, third):
                await shows(it.data["control"], lambda facts: facts.get("peers") == "2/2", "both others")
            first.signal(signal.SIGHUP)
            await first.said("reload: ")
            first.signal(signal.SIGUSR2)
            pid = await first.successor()
            await first.ended()
            await until(
                lambda: sum("peers:" in line and "are there" in line for line in first.log) >= 2,
                "its own view",
            )
            await shows(second.data["control"], lambda facts: facts.get("peers") == "2/2", "the successor")
            third.signal(signal.SIGTERM)
            await third.ended()
            await shows(second.data["control"], lambda facts: facts.get("peers_left") == "1", "that one left")
            os.kill(pid, signal.SIGKILL)
            await shows(
                second.data["control"], lambda facts: facts.get("peers_dead") == "1", "that one is lost"
            )
            status_ = await second.ask()
            assert status_[0] == 200  # alone, it serves as ever

    run(play())


def test_a_process_does_not_start_where_the_settings_forbid_peers(tmp_path: Path) -> None:
    operator, config = tmp_path / "o.toml", tmp_path / "c.json"
    operator.write_text(f"[peers]\n{LOCAL}")
    config.write_text(platform(limits_of_policy={"Peers": False}))
    env = os.environ | {"GW_CONFIG": str(config)}
    command = [sys.executable, "-m", "larkweir", "run", "--operator", str(operator)]
    done = subprocess.run(
        command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=PATIENCE_S, check=False
    )
    assert done.returncode == 2 and "settings.PolicyLimits.Peers" in done.stderr

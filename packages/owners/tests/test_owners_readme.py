"""The example in the README works as written."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import pytest
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorState
from larkweir_owners.duty_manager import DutyManager
from larkweir_owners.messages import ReplicaSet
from larkweir_owners.ports import Transport

README = Path(__file__).parent.parent / "README.md"


class Wire:
    """A transport to the other managers; messages wait in `queue`."""

    def __init__(self, me: str, names: Sequence[str], queue: deque[tuple[str, str, bytes]]) -> None:
        self._me, self._names, self._queue = me, names, queue

    def post(self, to: str, item: bytes) -> bool:
        self._queue.append((self._me, to, item))
        return True

    def alive(self) -> Sequence[str]:
        return self._names


def test_readme_example_runs_with_one_owner(capsys: pytest.CaptureFixture[str]) -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    rng = Random(1)
    names: dict[str, Any] = {
        "Acceptor": Acceptor,
        "AcceptorState": AcceptorState,
        "DutyManager": DutyManager,
        "ReplicaSet": ReplicaSet,
        "Transport": Transport,
        "random": rng.random,
        "sample": lambda names, count: rng.sample(list(names), min(count, len(names))),
    }
    exec(compile(code, str(README), "exec"), names)
    queue: deque[tuple[str, str, bytes]] = deque()
    members: tuple[str, ...] = names["three"].names
    managers: dict[str, DutyManager] = {
        me: names["manager"](me, number, Wire(me, members, queue)) for number, me in enumerate(members, 1)
    }
    for now_ms in range(0, 9_000, 10):
        for manager in managers.values():
            if now_ms >= manager.next_ms:
                manager.tick(float(now_ms))
        while queue:
            source, to, item = queue.popleft()
            managers[to].on_message(source, item, float(now_ms))
            for manager in managers.values():
                for output in manager.take_outputs():
                    manager.on_flushed(output, float(now_ms))
    assert [manager.owned_duties for manager in managers.values()].count(["count"]) == 1
    lines = [line.split(" ") for line in capsys.readouterr().out.splitlines()]
    states = [int(state[2:-1] or 0) for _, _, state in lines]
    assert {term for term, _, _ in lines} == {"1"}
    assert sorted(set(states)) == list(range(len(set(states)))) and max(states) > 10

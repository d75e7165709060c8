"""Hostile input to real processes: a short run of `benchmarks.bad_bytes`, and its input generators."""

from __future__ import annotations

import asyncio
from random import Random

from benchmarks import bad_bytes
from standins.hostile_input import http_request, json_document, mutate


def test_hostile_input_ends_no_process_and_raises_nothing() -> None:
    report = asyncio.run(bad_bytes.attack(exchanges=800, seed=7))
    assert report.problems == []
    assert report.exchanges == 800


def test_the_same_seed_draws_the_same_input() -> None:
    def drawn(seed: int) -> list[bytes]:
        rng = Random(seed)
        return [
            *(http_request(rng, ("/a",), b"body") for _ in range(50)),
            *(json_document(rng, {"a": [1, {"b": 2}]}) for _ in range(50)),
            *(mutate(rng, b"some bytes") for _ in range(50)),
        ]

    assert drawn(1) == drawn(1) != drawn(2)


def test_a_log_with_an_unexpected_exception_is_a_problem(tmp_path: object) -> None:
    folder = bad_bytes.Path(str(tmp_path))
    (folder / "router.log").write_text('{"event":"exchange_failed"}\n{"event":"configuration"}\n')
    attack = bad_bytes.Attack.__new__(bad_bytes.Attack)
    attack.folder, attack.report = folder, bad_bytes.Report()
    attack._check_logs()
    (problem,) = attack.report.problems
    assert problem.startswith("router.log: 1 lines")

"""Seeded fleets behave as in the previous release: the same messages, send times and flushed entries."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path

import pytest
from explore_owners import Explorer
from fleet_owners import Fleet, Process
from larkweir_owners.acceptor_file import encode_frame
from larkweir_owners.acceptor_state import AcceptorOutput

TRACES = Path(__file__).parent / "golden" / "traces.txt"


def trace_of(seed: int, processes: int, duties: int) -> str:
    """Return a hash of everything that a fleet sends and flushes during a run."""
    fleet = Fleet(seed, processes=processes, duties=duties)
    digest = blake2b(digest_size=16)
    send = fleet.network.send

    def traced_send(source: str, to: str, item: bytes) -> None:
        digest.update(f"{fleet.network.now_ms:.6f} {source} {to} ".encode() + item)
        send(source, to, item)

    fleet.network.send = traced_send  # type: ignore[method-assign]
    for process in fleet.processes.values():
        on_flushed = process._on_flushed

        def traced_flush(output: AcceptorOutput, process: Process = process, on_flushed=on_flushed) -> None:  # type: ignore[no-untyped-def]
            for number, entry in enumerate(output.entries):
                digest.update(
                    f"{fleet.network.now_ms:.6f} {process.name} ".encode() + encode_frame(number, entry)
                )
            on_flushed(output)

        process._on_flushed = traced_flush  # type: ignore[method-assign]
    fleet.play()
    return f"{digest.hexdigest()} {fleet.network.sent} {sum(fleet.checker.update_counts.values())}"


@pytest.mark.parametrize(
    ("seed", "processes", "duties"),
    [*((seed, 5, 1) for seed in range(6)), (100, 5, 3), (101, 7, 4), (102, 3, 2)],
)
def test_seeded_fleet_sends_and_flushes_the_golden_trace(seed: int, processes: int, duties: int) -> None:
    known = dict(line.split(": ") for line in TRACES.read_text(encoding="ascii").splitlines())
    assert trace_of(seed, processes, duties) == known[f"{seed} {processes} {duties}"]


@pytest.mark.parametrize(
    ("writes", "rounds", "found"),
    [
        ((1, 1), (1, 1), (1283, 10, True)),
        ((1, 1), (2, 1), (22557, 16, True)),
        ((1, 2), (1, 1), (4439, 16, True)),
    ],
)
def test_explorer_visits_the_same_states(
    writes: tuple[int, int], rounds: tuple[int, int], found: tuple[int, int, bool]
) -> None:
    assert Explorer(writes, rounds).run(100) == found

"""Converts logs of running balancers (`larkweir.logs`) to a scenario: the recorded arrivals, servers with the service
times of their calls, and faults where upstreams were ejected. Pure logic.

What a log does not contain is said in the scenario's first lines: how many calls a server works on at a time,
requests of clients that were not sampled, and other balancers' traffic. Each log is of one balancer. Times are
milliseconds from the first arrival in all logs, by the wall clock of their lines.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from random import Random
from typing import Any, NamedTuple

MOST_ARRIVALS = 200_000
FEW = 5  # calls, fewer of which tell nothing of a server's times
KINDS = {
    "connect_failed": "crash",
    "timeout": "stall",
}  # why it was left out, and what is played; else it refuses


Spell = tuple[float, float, str, str]  # of an upstream left out: from, until, which, why


class ReplayError(ValueError):
    """Logs that make no scenario; the message says why."""


class Replayed(NamedTuple):
    """A scenario that was made of logs."""

    scenario: str  # TOML
    arrivals: str  # a line each: milliseconds and the balancer's number
    said: tuple[str, ...]  # what was left out, and why


def _lines(text: Iterable[str]) -> tuple[list[dict[str, Any]], int]:
    found, bad = [], 0
    for line in text:
        try:
            item = json.loads(line)
            if item["v"] != 1 or not isinstance(item["event"], str):
                raise ValueError
            item["wall_ms"] = datetime.fromisoformat(item["at"]).timestamp() * 1000.0
        except (ValueError, KeyError, TypeError, RecursionError):
            bad += bool(line.strip())
            continue
        found.append(item)
    return found, bad


def _fit(times: Sequence[float]) -> tuple[float, float]:
    """Mean and sigma of the lognormal that has the same median and upper quartile: a few calls behind others do not
    move it.
    """
    ordered = sorted(times)
    median = max(0.01, ordered[len(ordered) // 2])
    upper = max(median * 1.01, ordered[len(ordered) * 3 // 4])
    sigma = min(2.0, math.log(upper / median) / 0.6745)
    return median * math.exp(sigma * sigma / 2.0), sigma


@dataclass
class _Logs:
    """What all logs tell, while they are read one after another. Times are Unix milliseconds."""

    arrivals: list[tuple[float, int]] = field(default_factory=list)  # and the log's number
    times: dict[str, list[float]] = field(default_factory=dict)  # of calls that found none at their upstream
    behind: dict[str, list[float]] = field(default_factory=dict)  # of calls behind others
    out: list[Spell] = field(default_factory=list)
    said: list[str] = field(default_factory=list)
    untold: int = 0  # sampled requests that the log's bound has dropped
    last_ms: float = 0.0
    deadline_ms: float = 0.0
    attempts: int = 1

    def read(self, number: int, text: Iterable[str]) -> None:
        """Read one log whole."""
        items, bad = _lines(text)
        if bad:
            self.said.append(f"log {number + 1}: {bad} lines are none of a log as JSON")
        since: dict[str, tuple[float, str]] = {}  # by upstream that is left out: from when on, and why
        for item in items:
            self.last_ms = max(self.last_ms, item["wall_ms"])
            try:
                if item["event"] == "request":
                    self._on_request(number, item)
                elif item["event"] == "upstream":
                    self._on_upstream(item, since)
            except (KeyError, IndexError, TypeError, ValueError):
                self.said.append(f"log {number + 1}: a line of {item['event']} lacks what it should have")
        self.out += [(begun, math.inf, key, why) for key, (begun, why) in since.items()]

    def _on_request(self, number: int, item: dict[str, Any]) -> None:
        received, left = item["wall_ms"] - float(item["took_ms"]), float(item["left_ms"])
        calls = [(str(row[0]), row[2], row[3], int(row[4])) for row in item["attempts"]]
        self.arrivals.append((received, number))
        self.untold += int(item.get("untold", 0))
        self.deadline_ms = max(self.deadline_ms, left)
        self.attempts = max(self.attempts, len(calls))
        for upstream, took, how, found in calls:
            if how == "ok":
                (self.behind if found else self.times).setdefault(upstream, []).append(float(took))
            else:
                self.times.setdefault(upstream, [])

    def _on_upstream(self, item: dict[str, Any], since: dict[str, tuple[float, str]]) -> None:
        key = str(item["upstream"])
        if item["state"] == "left_out":
            since.setdefault(key, (item["wall_ms"], str(item.get("why", ""))))
        elif key in since:
            begun, why = since.pop(key)
            self.out.append((begun, item["wall_ms"], key, why))

    def services(self) -> dict[str, str]:
        """Each upstream's service time, as a scenario says it."""
        names = sorted(self.times.keys() | self.behind.keys())
        known = {key: self.times.get(key) or self.behind.get(key) or [] for key in names}
        everything = [took for rows in known.values() for took in rows] or [10.0]
        few = [key for key in names if len(known[key]) < FEW]
        if few:
            self.said.append(
                f"{len(few)} of {len(names)} upstreams had fewer than {FEW} calls; they get the times of all"
            )
        found = {}
        for key in names:
            mean, sigma = _fit(everything if key in few else known[key])
            found[key] = f"lognormal {mean:.2f}ms {max(sigma, 0.01):.2f}"
        return found


def replay(logs: Sequence[Iterable[str]], part: float, slots: int, name: str, seed: int = 1) -> Replayed:
    """Make a scenario of logs. `part` of the requests were sampled for them; each sampled one stands for the others of
    its time. ReplayError where the logs have no request.
    """
    read = _Logs()
    for number, text in enumerate(logs):
        read.read(number, text)
    if not read.arrivals:
        raise ReplayError('no request is told of; write [log] format = "json" and requests above 0')
    if read.untold:
        read.said.append(
            f"{read.untold} drawn requests were left out by the logs' bound; raise requests_per_s"
        )
    read.arrivals.sort()
    first = read.arrivals[0][0]
    span = max(read.last_ms, read.arrivals[-1][0]) - first + 1.0
    played = _thicken([(at - first, number) for at, number in read.arrivals], part, span, Random(seed))
    if len(played) > MOST_ARRIVALS:
        raise ReplayError(f"{len(played):,} arrivals; {MOST_ARRIVALS:,} at the most: replay a shorter piece")
    services = read.services()
    rows = [
        f"# Made of {len(logs)} logs: {len(read.arrivals)} requests that were told of, {len(played)} played.",
        f"# Not in a log, and assumed: each server works on {slots} calls at a time.",
        *(f"# {line}" for line in read.said),
        f"name = {json.dumps(name)}",
        f"recorded = {json.dumps(name + '.arrivals')}",
        f'span = "{span:.1f}ms"',
        'warm = "0ms"',
        f"balancers = {len(logs)}",
        f"attempts = {read.attempts}",
        f'deadline = "{max(read.deadline_ms, 1.0):g}ms"',
        f'aim = "{max(read.deadline_ms, 1.0):g}ms"',
    ]
    for key, service in services.items():
        rows += ["", f"[[servers]]  # {key}", "count = 1", f"slots = {slots}", f'service = "{service}"']
    rows += _fault_rows(read.out, list(services), first, span)
    arrivals = "".join(f"{at:.2f} {number}\n" for at, number in played)
    return Replayed("\n".join(rows) + "\n", arrivals, tuple(read.said))


def _fault_rows(out: list[Spell], names: list[str], first: float, span: float) -> list[str]:
    """The scenario's lines on the times in which upstreams were left out."""
    rows = []
    for begun, until, key, why in _joined(out):
        at, end = max(0.0, begun - first), until - first
        rows += [
            "",
            "[[faults]]",
            f'kind = "{KINDS.get(why, "refuse")}"',
            f"server = {names.index(key)}" if key in names else "server = 0",
            f'at = "{at:.1f}ms"',
        ]
        if end < span:
            rows.append(f'until = "{max(end, at + 1.0):.1f}ms"')
    return rows


def _thicken(told: list[tuple[float, int]], part: float, span: float, rng: Random) -> list[tuple[float, int]]:
    """Each that was drawn as often as it stands for others, spread over the gap to its balancer's next."""
    if part >= 1.0:
        return told
    following: dict[int, float] = {}
    played = []
    for at, number in reversed(told):
        gap = following.get(number, span) - at
        following[number] = at
        more = 1.0 / part - 1.0
        count = int(more) + (rng.random() < more - int(more))
        played += [(at, number), *((at + rng.random() * gap, number) for _ in range(count))]
    return sorted(played)


def _joined(out: list[Spell]) -> list[Spell]:
    """Spells of one upstream that several balancers saw, as one where they overlap."""
    found: list[Spell] = []
    by_name: dict[str, list[Spell]] = {}
    for spell in sorted(out):
        rows = by_name.setdefault(spell[2], [])
        if rows and spell[0] <= rows[-1][1]:
            begun, until, key, _ = rows[-1]
            why = Counter([rows[-1][3], spell[3]]).most_common(1)[0][0]
            rows[-1] = (begun, max(until, spell[1]), key, why)
        else:
            rows.append(spell)
    for rows in by_name.values():
        found += rows
    return sorted(found)

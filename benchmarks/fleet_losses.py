"""`python -m benchmarks.fleet_losses OUTPUT`: for what reason requests of a played day came late, or not at all.

OUTPUT is what `fleetbench run SITE DAY --log front` printed of a text whose routers run with `--debug`: one line a
request, with its attempts. Printed are, by cause and route, how many requests were late; the five moments of two
seconds with the most; and a few requests of each, step by step. `--picture FILE.svg` draws the causes over time, with
the day's troubles. Causes are told by the longest step before the first event:

    placement     a controller was asked where the head is kept
    connection    a new connection was opened
    other tries   upstreams that failed, refused or stayed silent before the one that answered
    long prompt   its own prompt took most of the time to be read
    head again    its head was read there though another engine had read it before
    queue         it stood behind other prompts
    upstream      a service that is no engine took so long
    not served    no success; the status is that of the last attempt
"""

from __future__ import annotations

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from larkweir_balancing.prefill_time import PrefillTime

LINE = re.compile(r"^\s*(-?[\d.]+) \S+ (\{.*\"event\":\"request\".*\})\s*$")
TROUBLE = re.compile(r"^\s+([\d.]+) s to\s+([\d.]+) s\s+(\S+)")
MOMENT_S = 2.0
OWN_PART = 0.6  # of the time at the engine, from which a prompt's own length is the cause
ROWS = 5
TRACED = 3
SUCCESS = 200


class Cause(StrEnum):
    """Why a request was late."""

    PLACEMENT = "placement"
    CONNECTION = "connection"
    OTHER_TRIES = "other tries"
    LONG_PROMPT = "long prompt"
    HEAD_AGAIN = "head again"
    QUEUE = "queue"
    UPSTREAM = "upstream"
    NOT_SERVED = "not served"


COLOURS = dict(
    zip(
        Cause,
        ("#4477aa", "#66ccee", "#228833", "#ccbb44", "#ee6677", "#aa3377", "#bbbbbb", "#000000"),
        strict=True,
    )
)


@dataclass(slots=True)
class Request:
    """One line of a router's log. `received_s` counts from the start of traffic."""

    received_s: float
    logged: dict[str, Any]
    head_again: bool = False

    @property
    def attempt(self) -> dict[str, Any]:
        """The last one; empty where there was none."""
        attempts: list[dict[str, Any]] = self.logged["attempts"]
        return attempts[-1] if attempts else {}

    @property
    def is_late(self) -> bool:
        """Whether it came after its aim, or without success."""
        first_ms = self.logged["first_ms"]
        served = self.attempt.get("status") == SUCCESS and not self.attempt.get("ending")
        return not served or first_ms is None or first_ms > self.logged["aim_ms"]


def read(lines: Iterable[str]) -> list[Request]:
    """The requests of a day, by their time, without those on routes that no configuration has."""
    found = []
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        logged = json.loads(match.group(2))
        if logged["route"] is not None:
            found.append(Request(float(match.group(1)) - logged["total_ms"] / 1000.0, logged))
    found.sort(key=lambda one: one.received_s)
    _note_heads(found)
    return found


def _note_heads(requests: Iterable[Request]) -> None:
    """Marks requests whose head was read anew at another engine."""
    engines: defaultdict[str, set[str]] = defaultdict(set)
    for one in requests:
        head, upstream = one.logged["head"], one.attempt.get("upstream")
        if head and upstream and one.attempt.get("status") == SUCCESS:
            one.head_again = bool(engines[head]) and upstream not in engines[head]
            engines[head].add(upstream)


def reading_time(requests: Iterable[Request]) -> PrefillTime:
    """How long engines took to read, over the whole day."""
    line = PrefillTime()
    for one in requests:
        last = one.attempt
        if one.logged["head"] and "first_ms" in last and "written_ms" in last:
            tokens = last.get("tokens", 0) + last.get("waiting_tokens", 0)
            line.observe(tokens, last["first_ms"] - last["written_ms"])
    return line


def cause_of(one: Request, line: PrefillTime) -> Cause:
    """Of a late request."""
    last = one.attempt
    if last.get("status") != SUCCESS or last.get("ending") or "first_ms" not in last:
        return Cause.NOT_SERVED
    placed_ms = one.logged["placed_ms"] or 0
    at_upstream_ms = last["first_ms"] - last["written_ms"]
    steps = {
        Cause.PLACEMENT: placed_ms,
        Cause.OTHER_TRIES: last["chosen_ms"] - placed_ms,
        Cause.CONNECTION: last["written_ms"] - last["chosen_ms"],
        Cause.UPSTREAM: at_upstream_ms,
    }
    longest = max(steps, key=lambda cause: steps[cause])
    if longest is not Cause.UPSTREAM or not one.logged["head"]:
        return longest
    if line.expected_ms(last.get("tokens", 0)) < OWN_PART * at_upstream_ms:
        return Cause.QUEUE
    return Cause.HEAD_AGAIN if one.head_again else Cause.LONG_PROMPT


def moment(one: Request) -> float:
    """The two seconds in which it came."""
    return one.received_s // MOMENT_S * MOMENT_S


def table(requests: list[Request], causes: dict[int, Cause]) -> Iterator[str]:
    """Late requests by cause and route; the worst moments; a few requests of each of these."""
    routes = Counter(one.logged["route"] for one in requests)
    yield f"{len(requests)} requests, {len(causes)} late or not served"
    for cause in Cause:
        by_route = Counter(requests[at].logged["route"] for at, found in causes.items() if found is cause)
        parts = ", ".join(f"{route} {count} of {routes[route]}" for route, count in by_route.most_common())
        yield f"{cause:<12} {sum(by_route.values()):5}  {parts}"
    moments = Counter(
        (moment(requests[at]), requests[at].logged["route"], cause) for at, cause in causes.items()
    )
    for (from_s, route, reason), count in moments.most_common(ROWS):
        yield f"from {from_s:.0f} s, {route}, {reason}: {count}"
        those = [at for at, found in causes.items() if found is reason]
        same = [
            requests[at]
            for at in those
            if (moment(requests[at]), requests[at].logged["route"]) == (from_s, route)
        ]
        for one in same[:TRACED]:
            kept = {name: one.logged[name] for name in ("id", "tokens", "placed_ms", "first_ms", "aim_ms")}
            yield f"    {one.received_s:.3f} s {kept} {one.logged['attempts']}"


def picture(
    requests: list[Request], causes: dict[int, Cause], troubles: list[tuple[float, float, str]]
) -> str:
    """An SVG: late requests of each two seconds, stacked by cause, over the troubles of the day."""
    counts = Counter((moment(requests[at]), cause) for at, cause in causes.items())
    last_s = max((moment(one) for one in requests), default=0.0) + MOMENT_S
    tallest = max(Counter(moment(requests[at]) for at in causes).values(), default=1)
    width, height, margin = 900.0, 300.0, 20.0
    across, up = width / last_s, height / tallest
    parts = []
    for row, (from_s, to_s, kind) in enumerate(troubles):
        y = margin + height + 14.0 * (row + 1)
        wide = max(2.0, (to_s - from_s) * across)
        parts.append(
            f'<rect x="{from_s * across:.0f}" y="{y:.0f}" width="{wide:.0f}" height="8" fill="#ddd"/>'
        )
        parts.append(f'<text x="{from_s * across:.0f}" y="{y + 8:.0f}" font-size="9">{kind}</text>')
    for from_s in sorted({at for at, _ in counts}):
        y = margin + height
        for cause in Cause:
            tall = counts[(from_s, cause)] * up
            y -= tall
            parts.append(
                f'<rect x="{from_s * across:.1f}" y="{y:.1f}" width="{MOMENT_S * across - 1:.1f}"'
                f' height="{tall:.1f}" fill="{COLOURS[cause]}"/>'
            )
    for number, named in enumerate(COLOURS):
        parts.append(
            f'<text x="{number * 110}" y="12" font-size="11" fill="{COLOURS[named]}">{named} '
            f"{sum(1 for found in causes.values() if found is named)}</text>"
        )
    tall = height + 2 * margin + 14.0 * len(troubles) + 14.0
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width:.0f}" height="{tall:.0f}">\n{body}\n</svg>\n'
    )


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("output", type=Path)
    parser.add_argument("--picture", type=Path)
    asked = parser.parse_args()
    lines = asked.output.read_text().splitlines()
    requests = read(lines)
    line = reading_time(requests)
    causes = {at: cause_of(one, line) for at, one in enumerate(requests) if one.is_late}
    for row in table(requests, causes):
        print(row)
    print(f"engines: {line.fixed_ms:.0f} ms and {1000.0 * line.ms_per_token:.1f} ms for 1,000 tokens")
    if asked.picture is not None:
        matches = [match for match in map(TROUBLE.match, lines) if match is not None]
        troubles = [(float(one.group(1)), float(one.group(2)), one.group(3)) for one in matches]
        asked.picture.write_text(picture(requests, causes, troubles))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())

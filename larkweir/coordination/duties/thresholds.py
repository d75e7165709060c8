"""The coordinator of captures as a duty: the register holds the table of sampling thresholds. Pure logic.

A table has the (term, number) of its register record, so that tables never go back, whoever writes. Balancers report to
the owner once a second what they see; a report says all of it, so that a lost or duplicated one does no harm. A new
owner begins with the table in the register, which stays in force until balancers have reported to it. Without an owner
there are no newer tables, and each balancer goes by its own `hold_ms`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from larkweir_captures.coordinator import Coordinator
from larkweir_captures.messages import Report as CaptureWireReport
from larkweir_captures.messages import ThresholdTable, decode, encode
from larkweir_owners.messages import Version

from larkweir.coordination.captures.recorder import OWNER
from larkweir.coordination.duties.messages import CaptureReport, Report


class ThresholdFollower(Protocol):
    """This balancer's captures."""

    def follow(self, table: ThresholdTable, now_ms: float) -> bool:
        """Go by a table; returns whether it was newer than the last."""


class _NullTransport:
    """A transport that sends nothing: balancers get tables from the register, not from the coordinator."""

    def post(self, to: str, item: bytes) -> bool:
        return False

    def alive(self) -> Sequence[str]:
        return ()


class CaptureThresholds:
    """The duty at one balancer, and at its owner."""

    name = "captures"

    def __init__(
        self,
        incarnation: int,
        node: ThresholdFollower,
        report: Callable[[], bytes],
        hold_ms: float,
        rest: float,
    ) -> None:
        """`report`: what this balancer has to report, once; empty if there is nothing new. Whoever has a report sets
        `next_ms`.
        """
        self.next_ms = 0.0
        self.rejected = 0
        self._incarnation, self._node, self._report = incarnation, node, report
        self._hold_ms, self._rest = hold_ms, rest
        # While this balancer owns the duty, and until another does.
        self._coordinator: Coordinator | None = None
        self._term = 0
        self._table: ThresholdTable | None = None  # committed, and not followed yet
        self._is_new_term = False

    # ------------------------------------------------ the owner

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """A balancer's report, for the coordinator; ignored where this process is not the owner."""
        if not isinstance(report, CaptureReport) or self._coordinator is None:
            return
        seen = decode(report.item)
        if isinstance(seen, CaptureWireReport):
            self._coordinator.on_report(source, seen, now_ms)
        else:
            self.rejected += 1

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next table, where the coordinator has set a new one."""
        it = self._coordinator
        if it is None:
            last = read(state)
            it = self._coordinator = Coordinator(
                OWNER, 1, _NullTransport(), now_ms, self._hold_ms, self._rest, last
            )
        before = it.table.number
        it.tick(now_ms)
        return encode(it.table) if it.table.number != before else None

    # ------------------------------------------------ every balancer

    def on_committed(self, state: bytes, version: Version) -> None:
        """Hold a table until the next `tick`; a new term ends this process's coordinator."""
        self._is_new_term = version[0] != self._term
        if self._is_new_term:
            self._term = version[0]
            self._coordinator = None  # what was reported belongs to a former term
        table = read(state)
        if table is not None:
            self._table = msgspec.structs.replace(
                table, term=version[0], number=version[1], coordinator=OWNER
            )
            self.next_ms = 0.0

    def is_notable(self) -> bool:
        """Whether the term is a new one."""
        return self._is_new_term  # of a table's changes there may be one a second

    def on_left_fleet(self) -> None:
        """Rates hold as they are for `hold_ms`, and then the safe part of them."""

    def tick(self, now_ms: float) -> list[Report]:
        """Follow the table that was committed, and report what this balancer has seen."""
        self.next_ms = float("inf")  # until a table is committed or there is a report
        if self._table is not None:
            self._node.follow(self._table, now_ms)
            self._table = None
        item = self._report()
        return [CaptureReport(self._incarnation, item)] if item else []


def read(state: bytes) -> ThresholdTable | None:
    """The table in the register, or None where there is none or it can't be read: rates begin anew."""
    found = decode(state)
    return found if isinstance(found, ThresholdTable) else None

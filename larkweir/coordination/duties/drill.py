"""A duty that counts, for operators to practise failovers with: its owner adds one from time to time. Pure logic."""

from __future__ import annotations

from larkweir_owners.messages import Version

from larkweir.coordination.duties.messages import Report

STEP_MS = 200.0


class Drill:
    """The counter. The register holds it as decimal digits."""

    name = "drill"

    def __init__(self) -> None:
        self.next_ms = float("inf")
        self.count = 0
        self._due_ms = 0.0

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """One more, every `STEP_MS`."""
        if now_ms < self._due_ms:
            return None
        self._due_ms = now_ms + STEP_MS
        return b"%d" % ((int(state) if state.isdigit() else 0) + 1)

    def on_committed(self, state: bytes, version: Version) -> None:
        """Follow the count."""
        self.count = int(state) if state.isdigit() else 0
        self.next_ms = 0.0

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """Balancers have nothing to report."""
        pass

    def tick(self, now_ms: float) -> list[Report]:
        """Nothing to report; sets when its owner is to step it."""
        self.next_ms = self._due_ms if self._due_ms > now_ms else float("inf")  # its owner steps it then
        return []

    def on_left_fleet(self) -> None:
        """Nothing here depends on it."""
        pass

    def is_notable(self) -> bool:
        """Each count is logged."""
        return True

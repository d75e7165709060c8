"""What is logged of duties: which this process owns, why it gave one up, and which states were committed."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_owners.duty_manager import DutyManager, ManagerStatus
from larkweir_owners.messages import Record, Version

MAX_STATE_LINES_PER_S = 5  # the log takes ten lines a second, and who owns a duty is to be logged beside them


class OwnershipLog:
    """The owned duties as they were logged last."""

    def __init__(
        self,
        write: Callable[[str], None],
        write_change: Callable[[str], None],
        now_ms: Callable[[], float],
    ) -> None:
        """`write`, `write_change`: of the balancer's log (`StderrLog`). `now_ms`: the balancer's clock."""
        self.write = write
        self._write_change = write_change
        self.release_reason = ""  # why the next duties are given up; empty: as their records say
        self._now_ms = now_ms
        self._owned: dict[str, int] = {}  # with their terms
        self._mode = ""  # of the acceptor
        self._state_lines = 0
        self._since_ms = 0.0

    def on_committed(self, name: str, version: Version) -> None:
        """A state was committed that is more than a heartbeat. At most `MAX_STATE_LINES_PER_S` are logged."""
        now_ms = self._now_ms()
        if now_ms - self._since_ms >= 1000.0:
            self._state_lines, self._since_ms = 0, now_ms
        self._state_lines += 1
        if self._state_lines <= MAX_STATE_LINES_PER_S:
            self.write(f"owners: {name} {version[0]}.{version[1]} taken")

    def update(self, manager: DutyManager, retains_reason: bool) -> None:
        """Log what has changed since the last call. `retains_reason`: the reason holds for further duties too."""
        if manager.acceptor is not None and manager.acceptor.mode != self._mode:
            self._mode = manager.acceptor.mode
            self.write(f"owners: keeper: {self._mode}")
        records = {name: manager.leaderships[name].record for name in manager.owned_duties}
        owned = {name: record.term if record is not None else 0 for name, record in records.items()}
        if owned == self._owned:
            return
        for name in self._owned:
            if name not in owned:
                reason = self.release_reason or _reason_of(manager.leaderships[name].record)
                self._write_change(f"owners: {name} given up: {reason}")
                self.release_reason = self.release_reason if retains_reason else ""
        for name, term in owned.items():
            if self._owned.get(name) != term:
                self._write_change(f"owners: {name} owned here, term {term}")
        self._owned = owned

    def on_stopped(self) -> None:
        """This process takes no part any more: what it still owns was not handed over in time."""
        for name in self._owned:
            self._write_change(f"owners: {name} given up: not handed over in time")
        self._owned, self._mode = {}, ""


def _reason_of(record: Record | None) -> str:
    return f"{record.owner} has it" if record is not None and record.owner else "handed over"


def status_facts(status: ManagerStatus) -> dict[str, object]:
    """For STATUS, one line's worth."""
    owned_phases = ",".join(
        f"{name}:{of.phase}:{of.owner or 'nobody'}:{of.term}.{of.number}"
        for name, of in status.duties.items()
    )
    counts = {"late": status.stale_updates, "dropped": status.dropped}
    counts |= {f"{name}_failed": of.failed_steps for name, of in status.duties.items()}
    return {
        "owners": owned_phases or "none",
        "owners_majority": int(status.has_majority),
        "owners_keeper": status.mode or "no",
        "owners_epoch": status.epoch,
        "owners_dropped": ",".join(f"{name}:{count}" for name, count in counts.items() if count) or "0",
    }

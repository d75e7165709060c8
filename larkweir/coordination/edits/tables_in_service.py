"""The merged tables that count in a balancer, and when its routes get them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir_edits.merged_tables import FAULT, MergedTables
from larkweir_edits.rows import Notice
from larkweir_edits.schema import Tables

from larkweir.config.options import Operator
from larkweir.config.platform import Config
from larkweir.coordination.edits.notice_log import NoticeLog, fingerprint_of
from larkweir.coordination.edits.tables import TableCheck, differs
from larkweir.core.clock import Clock, Timer
from larkweir.core.stderr_log import StderrLog

# Merged tables go to the routes no sooner than so many times what that took the time before.
APPLY_INTERVAL_FACTOR = 10.0
# And never sooner than this after something came, nor than twice what it took: more may come.
MIN_APPLY_DELAY_MS = 20.0


class Host(Protocol):
    """What a balancer gives to its merged tables."""

    config: Config
    clock: Clock
    log: StderrLog
    options: Operator

    def reconfigure(self, config: Config, options: Operator | None = None) -> None:
        """Put a configuration in force."""


class TablesInService:
    """The newest merged tables that pass the check, what the routes have of them, and the notices on them."""

    def __init__(self, host: Host, stated: Tables, latest: Callable[[], MergedTables]) -> None:
        """`stated`: what counts until `update`. `latest` returns the replica's merged tables."""
        self._host, self._clock, self._latest = host, host.clock, latest
        self.check = TableCheck(host.config)
        self.tables: Tables = stated  # what counts, and what the routes have of it
        self._applied: Tables = stated
        self._merged: MergedTables | None = None
        self._notice_log = NoticeLog()
        self.foreign: tuple[str, ...] = ()  # what of them does not fit the platform's file
        self._apply_timer: Timer | None = None
        self._apply_duration_ms = 0.0  # the last time
        self._next_apply_ms = 0.0  # the earliest time
        self._summary: tuple[Tables, Tables, str, int] | None = None  # of these stated and merged tables
        self._is_closed = False

    def close(self) -> None:
        """The routes get nothing more."""
        self._is_closed = True
        self._cancel_timer()

    def update(self) -> None:
        """The replica's merged tables are what counts, where they pass; the notices that are due go to the log."""
        merged = self._latest()
        if merged is self._merged:
            return
        self._merged = merged
        if not any(item.why.startswith(FAULT) for item in merged.notices):
            self.tables = merged.tables
            if self.check.foreign and self.check.foreign != self.foreign:
                self._host.log.write(
                    f"edits: {self.check.foreign[0]}; it counts where the platform's file has it"
                )
            self.foreign = self.check.foreign
        for line in self._notice_log.new_lines(merged.notices, self._clock.now_ms()):
            self._host.log.write(line)

    def schedule(self, computed: MergedTables | None, now_ms: float) -> None:
        """The routes get the merged tables later, unless `computed` (None: not computed yet) are what counts."""
        if self._apply_timer is None and computed is not self._merged:
            due_ms = max(now_ms + max(MIN_APPLY_DELAY_MS, 2.0 * self._apply_duration_ms), self._next_apply_ms)
            self._apply_timer = self._clock.at(due_ms, self.apply)

    def apply(self) -> None:
        """What counts goes to the routes as a generation would."""
        self._cancel_timer()
        if self._is_closed:
            return
        began_ms = self._clock.now_ms()
        self.update()
        if self._applied is not self.tables and self._applied != self.tables:
            self._host.reconfigure(self._host.config, self._host.options)
        now_ms = self._clock.now_ms()
        self._apply_duration_ms = now_ms - began_ms
        self._next_apply_ms = now_ms + max(
            MIN_APPLY_DELAY_MS, APPLY_INTERVAL_FACTOR * self._apply_duration_ms
        )

    def over(self, options: Operator) -> Operator:
        """The operator file with what counts of routes and pools, which is about to be applied."""
        self.check.config = self._host.config
        self._applied = self.tables
        return self.check.over(options, self.tables)

    @property
    def notices(self) -> tuple[Notice, ...]:
        """On the newest merged tables, whether they pass or not."""
        return self._merged.notices if self._merged is not None else ()

    def summary(self, stated: Tables) -> tuple[str, int]:
        """The fingerprint of what counts, and the number of fields in which the operator file's tables differ."""
        known = self._summary
        if known is None or known[0] is not stated or known[1] is not self.tables:
            known = (stated, self.tables, fingerprint_of(self.tables), differs(stated, self.tables))
            self._summary = known
        return known[2:]

    def _cancel_timer(self) -> None:
        if self._apply_timer is not None:
            self._apply_timer.cancel()
            self._apply_timer = None

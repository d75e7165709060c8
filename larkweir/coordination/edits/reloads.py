"""The operator file as it was read last, and a reload of it that is not answered yet."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_edits.schema import Tables

from larkweir.config.options import Operator
from larkweir.coordination.edits.tables import tables_of
from larkweir.core.clock import Clock, Timer

FLUSH_MS = 4_000.0  # that a reload waits for the disk

Answer = Callable[[str], None]  # of a reload: called once, with why it can't count, or with nothing


class StatedTables:
    """What the operators' file says of routes and pools. A new statement is provisional until its edits are durable."""

    def __init__(self, options: Operator) -> None:
        self.tables: Tables = tables_of(options)
        self.resolved_names = frozenset(options.edits.settle)  # nothing new is asked of these
        self._previous: tuple[Tables, frozenset[str]] | None = None

    def replace(self, tables: Tables, resolved_names: frozenset[str]) -> None:
        """The file says this now."""
        self._previous = self._previous or (self.tables, self.resolved_names)
        self.tables, self.resolved_names = tables, resolved_names

    def confirm(self) -> None:
        """What the file says now is durable."""
        self._previous = None

    def revert(self) -> None:
        """What was not confirmed is refused: what the file said before counts on."""
        if self._previous is not None:
            (self.tables, self.resolved_names), self._previous = self._previous, None


class PendingReload:
    """At most one: it waits for the folder, or for its record to be durable."""

    def __init__(self, clock: Clock, folder_problem: Callable[[], str]) -> None:
        """`folder_problem` returns why the folder makes a reload wait."""
        self._clock, self._folder_problem = clock, folder_problem
        self._for_folder: tuple[Operator, Answer] | None = None
        self._for_record: tuple[int, Answer] | None = None
        self._timer: Timer | None = None

    def wait_for_folder(self, options: Operator, answer: Answer) -> None:
        """The reload came before the folder was open, or before another balancer was heard."""
        self._for_folder = (options, answer)
        self._start_timer()

    def wait_for_record(self, number: int, answer: Answer) -> None:
        """The reload is answered when the log's record of that number is durable."""
        self._for_record = (number, answer)
        self._start_timer()

    def pop_early(self) -> tuple[Operator, Answer] | None:
        """The reload that came too early, to be done now; None where there is none."""
        early, self._for_folder = self._for_folder, None
        return early

    def is_durable(self, number: int) -> bool:
        """Whether there is one, and its record is among those up to `number`."""
        return self._for_record is not None and number >= self._for_record[0]

    def finish(self, problem: str) -> None:
        """Answer it, if there is one. `problem` is empty where it counts."""
        waiting = self._for_record or self._for_folder
        self._for_record = self._for_folder = None
        self.cancel_timer()
        if waiting is not None:
            waiting[1](f"edits: {problem}" if problem else "")

    def cancel_timer(self) -> None:
        """It may wait for ever."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self) -> None:
        self._timer = self._clock.after(FLUSH_MS, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._for_record is not None:
            self.finish("the disk has not kept it yet; it counts when it has")
        else:
            self.finish(self._folder_problem())

"""The log as lines of JSON, made by structlog and written as the plain log is: bounded, never waited for."""

from __future__ import annotations

import json
import time
from typing import Any

import structlog

from larkweir.core.stderr_log import StderrLog

VERSION = 1  # of the fields


class _Sink:
    """What structlog hands its finished lines to."""

    def __init__(self, write: Any) -> None:
        self.msg = self.info = write


def _compact(value: Any, **_: Any) -> str:
    return json.dumps(value, separators=(",", ":"), default=str)


class JsonJournal(StderrLog):
    """Each line an object: `at` (UTC), `mono_ms` (the clock that other times are of), `v`, `name`, `event`, and what
    the event has. Lines of requests have a bound of their own, so that they crowd no other out.
    """

    LONGEST = 4_000  # bytes of a line: a pipe takes it in one piece (pipe(7), PIPE_BUF)
    TEXT = 1_500  # characters of a note

    def __init__(self, name: str, requests_per_s: float, descriptor: int = 2) -> None:
        super().__init__(name, descriptor)
        self._per_s = max(1.0, requests_per_s)
        self._tokens, self._filled = self._per_s, time.monotonic()
        self._untold = 0  # requests
        self._worth = 1
        self._log = structlog.wrap_logger(
            _Sink(self._rendered),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
                structlog.processors.JSONRenderer(serializer=_compact),
            ],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        ).bind(v=VERSION, name=name)

    def event(self, event: str, fields: dict[str, Any]) -> None:
        """A line of an event; those of requests within their own bound, others within that of the log."""
        if event != "request":
            if self._admit():
                self._emit(event, fields)
            return
        now = time.monotonic()
        self._tokens = min(self._per_s, self._tokens + (now - self._filled) * self._per_s)
        self._filled = now
        if self._tokens < 1.0:
            self._untold += 1
            return
        self._tokens -= 1.0
        if self._untold:
            fields = fields | {
                "untold": self._untold
            }  # requests of the same draw, since the last that was told
            self._untold = 0
        self._emit(event, fields)

    def _write_line(self, text: str, worth: int) -> None:
        """A line that the rest of the program has put in words."""
        self._worth = worth
        part, mark, rest = text.partition(": ")
        named = bool(mark) and part.replace("_", "").isalnum() and part.islower()
        fields = {"part": part, "text": rest[: self.TEXT]} if named else {"text": text[: self.TEXT]}
        self._emit("note", fields)
        self._worth = 1

    def _emit(self, event: str, fields: dict[str, Any]) -> None:
        self._log.info(event, mono_ms=round(time.monotonic() * 1000.0, 1), **fields)

    def _rendered(self, line: str) -> None:
        data = line.encode("utf-8", "replace")
        if len(data) > self.LONGEST:
            known = json.loads(line)
            kept = {key: known[key] for key in ("v", "name", "mono_ms", "at")}
            data = _compact(kept | {"event": "cut", "of": known["event"], "bytes": len(data)}).encode()
        self._put(data, self._worth)

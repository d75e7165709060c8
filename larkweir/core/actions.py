"""Executes the actions that the decisions return; each kind of action has one handler."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_balancing.interface import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    TimerFired,
    WatchList,
)

from larkweir.core.attempts import AttemptRunner
from larkweir.core.clock import Clock
from larkweir.core.extensions import Extensions
from larkweir.core.health_probes import ProbeSender
from larkweir.core.message import Headers
from larkweir.core.ports import Pool
from larkweir.core.stderr_log import StderrLog


class ActionExecutor:
    """Finds an action's handler by its exact class, one of `larkweir_balancing.interface`; subclasses don't match."""

    def __init__(
        self,
        clock: Clock,
        log: StderrLog,
        upstreams: Pool,
        extensions: Extensions,
        attempts: AttemptRunner,
        probes: ProbeSender,
        answer: Callable[[int, int, Headers], None],
        deliver: Callable[[TimerFired], None],
    ) -> None:
        """`answer`: answers the request with a given number, with a status and headers."""
        self._clock = clock
        self._log = log
        self._upstreams = upstreams
        self._extensions = extensions
        self._answer = answer
        self._deliver = deliver
        self._handlers: dict[type, Callable[..., None]] = {
            Send: attempts.send,
            SetTimer: self._set_timer,
            Probe: probes.send,
            Refuse: self._refuse,
            Fail: self._fail,
            Cancel: attempts.cancel,
            CloseIdle: self._close_idle,
            FetchList: self._fetch_list,
            WatchList: self._watch_list,
            Log: self._write_log,
        }

    def execute(self, action: Action) -> None:
        """Execute one action. An action without a handler is logged."""
        self._handlers.get(type(action), self._log_unsupported)(action)

    def _log_unsupported(self, action: Action) -> None:
        self._log.write(f"no handler for action {type(action).__name__}")

    def _set_timer(self, action: SetTimer) -> None:
        event = TimerFired(action.cookie)
        self._clock.after(max(0.0, action.delay_ms), lambda: self._deliver(event))

    def _refuse(self, action: Refuse) -> None:
        headers = self._extensions.retry_after(action.wait_ms) if action.wait_ms > 0.0 else []
        self._answer(action.request, 503, headers)

    def _fail(self, action: Fail) -> None:
        self._answer(action.request, 502, [])

    def _close_idle(self, action: CloseIdle) -> None:
        self._upstreams.close_idle(action.server)

    def _fetch_list(self, action: FetchList) -> None:
        if self._extensions.membership is None:
            self._log_unsupported(action)
        else:
            self._extensions.membership.fetch()

    def _watch_list(self, action: WatchList) -> None:
        if self._extensions.membership is None:
            self._log_unsupported(action)
        else:
            self._extensions.membership.watch(action.active)

    def _write_log(self, action: Log) -> None:
        self._log.write(action.text)

"""Commands of the process state machine: what the process is to do, in the order given.

Pure data. `larkweir.lifecycle.state_machine` issues them, and the process carries them out.
"""

from __future__ import annotations

from typing import NamedTuple

from larkweir.lifecycle.events import Timer

# Lines of the notify protocol whose placeholders the process fills in.
MAIN_PID = "MAINPID={pid}"
SUCCESSOR_PID = "MAINPID={successor}"
RELOADING = ("RELOADING=1", "MONOTONIC_USEC={usec}")


class LoadConfig(NamedTuple):
    """Read and check the files, off the event loop; ends in one `ConfigLoaded`."""

    serial: int


class ApplyConfig(NamedTuple):
    """The configuration that was loaded takes effect now."""

    serial: int


class StartSuccessor(NamedTuple):
    """Start a successor as a child process; ends in `SuccessorLost` at some time."""

    serial: int


class AcceptUpgrade(NamedTuple):
    """Pass the process that asked the sockets and the state; ends in `SuccessorLost` at some time."""

    serial: int


class RejectUpgrade(NamedTuple):
    """Close the connection of the process that asked: it starts without what this process knows."""


class CommitHandover(NamedTuple):
    """Send the successor the newest state, and that it may accept."""

    serial: int


class AbandonSuccessor(NamedTuple):
    """Stop waiting for the successor. One that may have accepted (`gracefully`) is told to stop as any balancer is; one
    that can't have is ended at once.
    """

    serial: int
    gracefully: bool


class ForwardReload(NamedTuple):
    """A reload that was asked for meanwhile is the successor's to do."""

    serial: int


class SetAccepting(NamedTuple):
    """Take new connections, or leave them to whoever else listens on the sockets."""

    accepting: bool


class SetClosing(NamedTuple):
    """Each answer is the last of its connection from now on, or no longer."""

    closing: bool


class CloseListeners(NamedTuple):
    """Close the listening sockets for good."""


class SetClosingIdle(NamedTuple):
    """Close idle connections, now and as others become idle, until there is `Drained`; or no longer."""

    closing_idle: bool


class SetTimer(NamedTuple):
    """Raise `TimerFired` with the same timer and serial after `delay_ms` milliseconds."""

    timer: Timer
    serial: int
    delay_ms: float


class Notify(NamedTuple):
    """Send the service manager lines of the notify protocol (sd_notify(3)). `larkweir.lifecycle.notify.filled` says
    which placeholders they may hold.
    """

    lines: tuple[str, ...]


class LogLine(NamedTuple):
    """Write a line to the log."""

    line: str


class ExitProcess(NamedTuple):
    """End the process with exit code 0."""


HandoverCommand = (
    StartSuccessor | AcceptUpgrade | RejectUpgrade | CommitHandover | AbandonSuccessor | ForwardReload
)

Command = (
    HandoverCommand
    | LoadConfig
    | ApplyConfig
    | SetAccepting
    | SetClosing
    | CloseListeners
    | SetClosingIdle
    | SetTimer
    | Notify
    | LogLine
    | ExitProcess
)

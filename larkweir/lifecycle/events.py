"""Events of the process state machine: signals, operators' orders, timers and what a successor reports.

Pure data. `larkweir.lifecycle.state_machine` says what each event does in each state. A `serial` names one load of the
files, one successor, one drain or one pause, so that what is reported late of an older one can be told apart.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Timer(Enum):
    """The timers that the state machine sets."""

    PAUSE_GRACE = "pause grace"  # the front has had the time to learn of a pause
    CONFIG_LOAD = "config load"  # the files should have been read
    SUCCESSOR_READY = "successor ready"  # the successor should be able to serve
    SUCCESSOR_SLOW = "successor slow"  # the successor should have accepted; this process accepts beside it
    SUCCESSOR_ACCEPTED = "successor accepted"  # the successor is not waited for any longer
    DRAIN_ACCEPT = "drain accept"  # a draining process stops accepting
    DRAIN_EXTEND = "drain extend"  # the service manager is asked for more time
    DRAIN_END = "drain end"  # the longest deadline has passed


SUCCESSOR_TIMERS = frozenset((Timer.SUCCESSOR_READY, Timer.SUCCESSOR_SLOW, Timer.SUCCESSOR_ACCEPTED))


class ListReady(NamedTuple):
    """There is a list of upstreams that requests can be served from."""


class StopRequested(NamedTuple):
    """SIGTERM, SIGINT or SIGQUIT, or a predecessor that gives this process up."""


class ReloadRequested(NamedTuple):
    """SIGHUP, or a predecessor passes one on."""


class HandoverRequested(NamedTuple):
    """SIGUSR2."""


class UpgradeRequested(NamedTuple):
    """A process that somebody else has started beside this one asks to take over."""


class PauseRequested(NamedTuple):
    """An operator's PAUSE: drain the callers and keep everything else."""


class ResumeRequested(NamedTuple):
    """An operator's RESUME: serve again."""


class ConfigLoaded(NamedTuple):
    """The files were read and checked. `error` says why they can't be used and is empty if they can; `handover_keys`
    count only in a successor, `restart_keys` from the next start.
    """

    serial: int
    error: str = ""
    handover_keys: tuple[str, ...] = ()
    restart_keys: tuple[str, ...] = ()


class SuccessorReady(NamedTuple):
    """The successor could serve, and has accepted nothing."""

    serial: int


class SuccessorAccepted(NamedTuple):
    """The successor accepts connections on the sockets."""

    serial: int


class SuccessorLost(NamedTuple):
    """The successor has exited, closed the channel, or could not be started."""

    serial: int
    reason: str


class SuccessorStopping(NamedTuple):
    """The successor was told to stop, and says so."""

    serial: int


class TimerFired(NamedTuple):
    """A timer that `SetTimer` has set is due."""

    timer: Timer
    serial: int


class Drained(NamedTuple):
    """No request, complete or partial, is open, and no answer is unread."""


SuccessorEvent = SuccessorReady | SuccessorAccepted | SuccessorLost | SuccessorStopping

Event = (
    ListReady
    | StopRequested
    | ReloadRequested
    | HandoverRequested
    | UpgradeRequested
    | PauseRequested
    | ResumeRequested
    | ConfigLoaded
    | TimerFired
    | Drained
    | SuccessorEvent
)

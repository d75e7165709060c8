"""The table of duties, and how each is made. A new duty is a line here and its name in the list of options.

Each maker imports its duty when it is called, so that a duty that is not configured is not imported.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

from larkweir.coordination.duties.ports import Scouting, Work

if TYPE_CHECKING:
    from larkweir.routes.hands import Routes


class Captured(Protocol):
    """This process's captures."""

    def duty(self, life: int, wake: Callable[[], None]) -> Work:
        """The duty `captures` of this process."""


class Scout(Scouting, Protocol):
    """The decisions of this process, as far as they have ejected servers."""

    def probes(self) -> bool:
        """Whether the platform's settings allow probes."""


class Seat(NamedTuple):
    """What a balancer gives to a duty that runs in it."""

    life: int  # of this copy's reports: higher than a former one's
    routes: Routes | None  # None where no route is configured
    wake: Callable[[], None]  # to be called when the duty's `next_ms` is earlier than it was
    captures: Captured | None = None  # None where they are off
    me: str = ""  # among the peers
    scout: Callable[[], Scout] | None = None


Maker = Callable[[Seat], Work | None]  # None: it has nothing to do in this process


def _drill(seat: Seat) -> Work | None:
    from larkweir.coordination.duties.drill import Drill

    return Drill()


def _verdicts(seat: Seat) -> Work | None:
    from larkweir.coordination.duties.verdicts import Verdicts

    routes = seat.routes
    return Verdicts(seat.life, lambda: routes, seat.wake) if routes is not None else None


def _ramps(seat: Seat) -> Work | None:
    from larkweir.coordination.duties.ramps import Ramps

    routes = seat.routes
    return Ramps(seat.life, lambda: routes) if routes is not None else None


def _probers(seat: Seat) -> Work | None:
    from larkweir.coordination.duties.probers import Probers

    scout = seat.scout() if seat.scout is not None else None
    return Probers(seat.life, seat.me, scout, scout.probes) if scout is not None else None


def _captures(seat: Seat) -> Work | None:
    return seat.captures.duty(seat.life, seat.wake) if seat.captures is not None else None


MAKERS: dict[str, Maker] = {
    "drill": _drill,
    "verdicts": _verdicts,
    "ramps": _ramps,
    "probers": _probers,
    "captures": _captures,
}


def made(names: Sequence[str], seat: Seat) -> dict[str, Work]:
    """The duties of these names, in order, without those that have nothing to do here. KeyError for an unknown name,
    which the check of the options has refused before.
    """
    found = {name: MAKERS[name](seat) for name in names}
    return {name: work for name, work in found.items() if work is not None}

"""The table of duties, and how each is made. A new duty is a line here and its name in the list of options.

Each maker imports its duty when it is called, so that a duty that is not configured is not imported.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple, Protocol

from larkweir.coordination.duties.ports import FleetTask, HealthSharing

if TYPE_CHECKING:
    from larkweir.routes.request_routing import Routes


class CaptureTasks(Protocol):
    """This process's captures."""

    def create_task(self, incarnation: int, wake: Callable[[], None]) -> FleetTask:
        """The duty `captures` of this process."""


class HealthSource(HealthSharing, Protocol):
    """The decisions of this process, as far as they have ejected servers."""

    def probes(self) -> bool:
        """Whether the platform's settings allow probes."""


class TaskContext(NamedTuple):
    """What a balancer gives to a duty that runs in it."""

    incarnation: int  # of this balancer's reports: higher than a former one's
    routes: Routes | None  # None where no route is configured
    wake: Callable[[], None]  # to be called when the duty's `next_ms` is earlier than it was
    captures: CaptureTasks | None = None  # None where they are off
    me: str = ""  # among the peers
    health_source: Callable[[], HealthSource] | None = None


TaskFactory = Callable[[TaskContext], FleetTask | None]  # None: it has nothing to do in this process


def _drill(context: TaskContext) -> FleetTask | None:
    from larkweir.coordination.duties.drill import Drill

    return Drill()


def _verdicts(context: TaskContext) -> FleetTask | None:
    from larkweir.coordination.duties.verdicts import Verdicts

    routes = context.routes
    return Verdicts(context.incarnation, lambda: routes, context.wake) if routes is not None else None


def _ramps(context: TaskContext) -> FleetTask | None:
    from larkweir.coordination.duties.ramps import Ramps

    routes = context.routes
    return Ramps(context.incarnation, lambda: routes) if routes is not None else None


def _probers(context: TaskContext) -> FleetTask | None:
    from larkweir.coordination.duties.probers import Probers

    health_source = context.health_source() if context.health_source is not None else None
    return (
        Probers(context.incarnation, context.me, health_source, health_source.probes)
        if health_source is not None
        else None
    )


def _captures(context: TaskContext) -> FleetTask | None:
    return (
        context.captures.create_task(context.incarnation, context.wake)
        if context.captures is not None
        else None
    )


FACTORIES: dict[str, TaskFactory] = {
    "drill": _drill,
    "verdicts": _verdicts,
    "ramps": _ramps,
    "probers": _probers,
    "captures": _captures,
}


def create_tasks(names: Sequence[str], context: TaskContext) -> dict[str, FleetTask]:
    """The duties of these names, in order, without those that have nothing to do here. KeyError for an unknown name,
    which the check of the options has refused before.
    """
    found = {name: FACTORIES[name](context) for name in names}
    return {name: work for name, work in found.items() if work is not None}

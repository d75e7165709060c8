"""Waiting until a version of an upstream's record has reached the fleet and the disks of a majority of controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from larkweir_registry.records import Version

from larkweir.controller.subscriptions import Subscriptions


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits for one version."""

    version: Version
    confirmed: asyncio.Future[None]


class DeliveryConfirmation:
    """Compares versions of records with the version vectors that subscribers report."""

    def __init__(
        self,
        subscriptions: Subscriptions,
        is_on_disk: Callable[[Version], bool],
        has_quorum: Callable[[set[str], bool], bool],
    ) -> None:
        """All arguments belong to the same controller.

        Args:
            subscriptions: the processes that pull from this controller.
            is_on_disk: returns whether a version is on this controller's disk.
            has_quorum: returns whether the given other controllers form a majority, with this controller if the second
                argument is true.
        """
        self._subscriptions = subscriptions
        self._is_on_disk = is_on_disk
        self._has_quorum = has_quorum
        self._waiters: list[_Waiter] = []

    async def wait(self, version: Version, timeout_s: float) -> bool:
        """Waits until every subscriber has a version and a majority of the controllers has it on disk.

        Returns whether a majority has it on disk when the wait ends, be it by the time-out. If so, no kill or loss of
        power of all processes undoes it, and it reaches every router that is in contact with a majority.
        """
        waiter = _Waiter(version, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self.check()
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.confirmed
        except TimeoutError:
            pass
        finally:
            self._waiters.remove(waiter)
        return self._is_durable(version)

    def check(self) -> None:
        """Ends waits that are satisfied. Must be called when a process has reported its version vector."""
        for waiter in self._waiters:
            if not waiter.confirmed.done() and self._is_confirmed(waiter.version):
                waiter.confirmed.set_result(None)

    def _is_confirmed(self, version: Version) -> bool:
        is_delivered = self._subscriptions.lowest_counter(version.origin) >= version.counter
        return is_delivered and self._is_durable(version)

    def _is_durable(self, version: Version) -> bool:
        others = self._subscriptions.controllers_with_durable(version)
        return self._has_quorum(others, self._is_on_disk(version))

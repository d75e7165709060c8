"""Waiting until the registry's latest records have reached the processes that pull from this controller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from larkweir_registry.registry import Registry

from larkweir.controller.subscriptions import Subscriptions


@dataclass(slots=True, eq=False)
class _Waiter:
    """A call that waits until all subscribers have this registry's records up to `counter`."""

    counter: int
    delivered: asyncio.Future[None]


class DeliveryConfirmation:
    """Compares the version vectors that subscribers report with this registry's version vector."""

    def __init__(self, registry: Registry, subscriptions: Subscriptions) -> None:
        """Both arguments belong to the same controller."""
        self._registry = registry
        self._subscriptions = subscriptions
        self._waiters: list[_Waiter] = []

    async def wait(self, timeout_s: float) -> set[str]:
        """Waits until every subscriber has the latest record of this registry, or until the time-out.

        Returns the other controllers that have the record. If they and this controller are a majority, the record
        reaches every router that is in contact with a majority.
        """
        counter = self._registry.vector.get(self._registry.origin, 0)
        waiter = _Waiter(counter, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self.check()
        try:
            async with asyncio.timeout(timeout_s):
                await waiter.delivered
        except TimeoutError:
            pass
        finally:
            self._waiters.remove(waiter)
        return self._subscriptions.controllers_that_have(self._registry.origin, counter)

    def check(self) -> None:
        """Ends waits that are satisfied. Must be called when a subscriber has reported its version vector."""
        if not self._waiters:
            return
        delivered = self._subscriptions.lowest_counter(self._registry.origin)
        for waiter in self._waiters:
            if delivered >= waiter.counter and not waiter.delivered.done():
                waiter.delivered.set_result(None)

"""Waiting until what the registry has noted has reached the processes that pull from it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from larkweir_registry.registry import Registry

from larkweir.controller.subscriptions import Subscriptions


@dataclass(slots=True, eq=False)
class _Waiter:
    """Waits until all subscribers have this registry's records up to `counter`."""

    counter: int
    delivered: asyncio.Future[None]


class DeliveryConfirmation:
    """Compares what subscribers report as seen with what this registry has noted."""

    def __init__(self, registry: Registry, subscriptions: Subscriptions) -> None:
        """Both are the controller's own."""
        self._registry = registry
        self._subscriptions = subscriptions
        self._waiters: list[_Waiter] = []

    async def wait(self, timeout_s: float) -> set[str]:
        """Waits, for that time at most, until every subscriber has what this registry noted last.

        Returns the controllers that have it. Where this one and they are a majority, every router that is in contact
        with a majority gets it.
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
        """To be called when a subscriber has reported what it has seen."""
        if not self._waiters:
            return
        delivered = self._subscriptions.lowest_counter(self._registry.origin)
        for waiter in self._waiters:
            if delivered >= waiter.counter and not waiter.delivered.done():
                waiter.delivered.set_result(None)

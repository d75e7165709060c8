"""What routers tell of prompts that wait at engines, and what a controller tells the others of it."""

from __future__ import annotations

import asyncio
import random

from larkweir_balancing.ejection import BAD_LEAST, Endings
from larkweir_quotas.ledger import Ledger
from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Delta, Kind, Message, Pull
from larkweir.controller.pull_service import BUSY_TOKENS, Distribution

ROUTERS = 3


class Recorded(Connection):
    """A connection of which the test sees what is sent."""

    def __init__(self, node: str) -> None:
        super().__init__(lambda connection, message: None, lambda connection: None)
        self.node = self.life = node
        self.sent: list[Delta] = []

    def send(self, message: Message) -> None:
        if isinstance(message, Delta):
            self.sent.append(message)


class Scene:
    """A controller's distribution and some routers. To be made inside a loop."""

    def __init__(self) -> None:
        self.registry = Registry("c/1")
        self.distribution = Distribution(self.registry, Ledger(), lambda: ["c"])
        self.routers = [Recorded(f"r{n}") for n in range(ROUTERS)]
        for router in self.routers:
            self.distribution.joined(router, Kind.ROUTER)

    def answer(self, router: Recorded, pull: Pull) -> Delta:
        """What a pull is answered that lacks the list of upstreams."""
        self.registry.note(Upstream(f"u{random.random()}", "other", "127.0.0.1:1", "z"), 0.0)
        router.sent.clear()
        self.distribution.pulled(router, pull)
        return router.sent[-1]


def test_what_waits_is_summed_over_routers_and_told_to_the_others_at_once() -> None:
    async def scene() -> None:
        made = Scene()
        one, two, three = made.routers
        made.distribution.told_waiting(one, {"e": BUSY_TOKENS, "f": 10})
        made.distribution.told_waiting(two, {"e": 500})
        assert made.distribution.waiting == {"e": BUSY_TOKENS + 500, "f": 10}
        assert made.answer(three, Pull(vector={})).waiting == {"e": BUSY_TOKENS + 500}
        assert made.answer(one, Pull(vector={}, waiting={"e": BUSY_TOKENS})).waiting == {"e": 500}
        made.distribution.told_waiting(one, {})
        assert made.distribution.waiting == {"e": 500}
        assert made.answer(three, Pull(vector={})).waiting == {}

    asyncio.run(scene())


def test_what_a_lost_router_had_waiting_counts_no_longer() -> None:
    async def scene() -> None:
        made = Scene()
        made.distribution.told_waiting(made.routers[0], {"e": 9_000})
        made.distribution.left(made.routers[0])
        assert made.distribution.waiting == {}
        made.distribution.told_waiting(made.routers[0], {"e": 9_000})
        assert made.distribution.waiting == {}

    asyncio.run(scene())


def test_any_order_of_reports_leaves_the_sum_of_the_last_ones() -> None:
    async def scene() -> None:
        rng = random.Random(5)
        made = Scene()
        last: dict[str, dict[str, int]] = {}
        for _ in range(500):
            router = rng.choice(made.routers)
            told = {engine: rng.randrange(1, 9_000) for engine in "efgh" if rng.random() < 0.5}
            made.distribution.told_waiting(router, told)
            last[router.node] = told
            total = {engine: sum(one.get(engine, 0) for one in last.values()) for engine in "efgh"}
            assert made.distribution.waiting == {engine: tokens for engine, tokens in total.items() if tokens}

    asyncio.run(scene())


def test_an_upstream_that_fails_calls_of_several_routers_is_told_to_all_and_taken_back() -> None:
    async def scene() -> None:
        made = Scene()
        for number in range(8):
            made.registry.note(Upstream(f"s{number}", "s", f"127.0.0.1:{number}", "z"), 0.0)
        made.registry.note(Upstream("bad", "s", "127.0.0.1:9", "z"), 0.0)
        for router in made.routers:
            made.answer(router, Pull(vector={}, endings={"bad": Endings(0, BAD_LEAST)}))
        made.distribution.tick()
        assert made.distribution.ejected == {"bad"}
        assert made.answer(made.routers[0], Pull(vector={})).ejected == ["bad"]
        assert made.answer(made.routers[0], Pull(vector={})).ejected is None, "told once"

    asyncio.run(scene())

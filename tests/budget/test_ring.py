"""Two balancers that list each other as upstreams, with no service behind them."""

from __future__ import annotations

import asyncio

from larkweir.budget.chain import TierBudgets
from larkweir.config.options import Budget
from tests.fakes import PATIENCE_S, Caller, Running, entry, running


def enable_budgets(node: Running, hop: str, log: list[str]) -> None:
    options = Budget(on=True, trust=("127.0.0.0/8",), hop=hop)
    node.dispatcher.extensions.budgets = TierBudgets(options, node.dispatcher.config.settings, log.append)


async def ring(**headers: str) -> tuple[int, dict[str, str], list[str]]:
    log: list[str] = []
    async with running() as first, running(entry("first", first.port)) as second:
        enable_budgets(first, "one", log)
        enable_budgets(second, "two", log)
        first.discovery.change(entry("second", second.port))
        async with asyncio.timeout(PATIENCE_S):
            while not (first.dispatcher.ready and second.dispatcher.ready):
                await asyncio.sleep(0.005)
        async with Caller(first.port) as caller:
            caller.ask(**headers)
            answer = await caller.answer()
    return answer.status, answer.headers, log


def test_a_request_that_returns_under_its_own_id_is_refused_as_a_loop() -> None:
    status, headers, log = asyncio.run(ring())
    assert status == 503  # nothing ran anywhere
    assert headers["x-budget-loop"] == "1" and headers["x-never-ran"] == "1"
    assert any("one -> two -> one" in line for line in log)


def test_a_copy_of_an_open_request_is_still_a_conflict() -> None:
    async def run() -> int:
        log: list[str] = []
        async with running(entry("nobody", 1)) as node:
            enable_budgets(node, "one", log)
            node.dispatcher.requests.open_ids.add(b"again")
            async with Caller(node.port) as caller:
                caller.ask(X_Trace_Id="again")
                return (await caller.answer()).status

    assert asyncio.run(run()) == 409

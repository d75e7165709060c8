"""Discovery: watches the list of upstreams, or polls it, and tells the balancer what has changed. Does its I/O through
asyncio, by `AgentClient`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

from larkweir_balancing.interface import ListKind

from larkweir.config.platform import Config
from larkweir.core.message import Message
from larkweir.core.ports import Address, Listing
from larkweir.membership.agent_client import AgentClient
from larkweir.membership.listing import (
    DiscoveryError,
    InstanceRow,
    ParsedList,
    parse_listing,
)
from larkweir.membership.names import Names
from larkweir.membership.upstream_list import UpstreamList

SILENT = "silent, asked anew"  # in the log


class Discovery:
    """Keeps the list up to date. Where lists are pushed it watches from the start; where discovery is asked on request
    it does what the decisions ask for, and tells them when that fails.
    """

    # That the agent is to wait for a change, where it is asked: the longest that the platform's protocol allows. News
    # that a stalled watch missed counts as told 2 s after this wait: the longer it is, the more time there is to ask.
    WAIT_S = 60.0
    # From a watch's begin until the whole list is asked for beside it, drawn anew each time. One service answers all
    # balancers in turn, and all their watches may stall in one moment: guards against a thundering herd.
    RECHECK_S = (10.0, 40.0)
    RECHECK_PAUSE_S = (0.5, 1.5)  # until it is asked for again where the call has failed
    # Of the first watch of a process: one that is swallowed at a start shows after 2 s, as any other call does.
    FIRST_WAIT_S = 1.0
    PUSHED_WAIT_S = 1.0  # asking costs nothing there, and a stalled subscription shows sooner
    # Past the wait, for the answer to arrive. News that a stalled watch missed counts as told 2 s after the wait.
    GRACE_S = 1.0
    PUSHED_GRACE_S = 0.5
    PACE_S = 0.025  # at least from call to call; well under what ends a watch
    FIRST_PAUSE_S = 0.05  # of the backoff
    # The agent is on this machine: asking it costs nobody anything, and what it has after an outage counts at once.
    LONGEST_PAUSE_S = 0.1
    # At a start, that the agent's first answer is waited for before requests are accepted.
    FIRST_LIST_S = 0.25

    def __init__(
        self, config: Config, on_listing: Callable[[Listing], None], log: Callable[[str], None]
    ) -> None:
        self._agent = AgentClient(config.discovery)
        self._names = Names(config.zones, config.kinds)
        self._on_request = config.settings.on_request_discovery
        self._configured = config.known  # a list, or empty
        self.trust_known = True  # whether the configuration's list is believed as it stands
        self.on_listing = on_listing
        self._log = log
        self._rng = Random(config.seed)
        self._list = UpstreamList()
        self.on_answer: Callable[[], None] | None = None  # called at each good answer, before it is told
        self._watch: asyncio.Task[None] | None = None
        self._recheck: asyncio.Task[None] | None = None  # of a watch that lasts
        self._fetch: asyncio.Task[None] | None = None
        self._stopped = False
        # Whether the whole list has to be asked for before the watch goes on from what is held: at a start where lists
        # are pushed, and after every failure, since a watch that stalls again shows only when its wait is over.
        self._behind = not self._on_request
        self.begun = self._on_request  # whether requests may be accepted: see `start`
        self._has_answered = False  # since the start of this process
        self._failures = 0  # calls in a row
        self._logged_failure = ""

    # ------------------------------------------------ start, stop, and another address

    def start(self) -> None:
        """Tell what is known from before, and begin to watch. Where lists are pushed, what the agent has counts from
        this process's first moment: it is not ready (`begun`) before the agent has answered or failed, or has been
        silent for so long that what is known has to do.
        """
        self.on_listing(self._configured_listing())
        if not self._on_request:
            loop = asyncio.get_running_loop()
            self._watch = loop.create_task(self._follow())
            # What is restored from disk has rules of its own: see `remembered`.
            loop.call_later(self.FIRST_LIST_S if self.trust_known else 0.0, self._begin)

    def _configured_listing(self) -> Listing:
        """The list of the configuration, which is held from now on; an empty one where there is none to be used."""
        if self._configured and self.trust_known:
            try:
                known, rows = parse_listing(self._configured, self._names)
            except DiscoveryError as problem:
                self._log(f"known: {problem}")
            else:
                self._list.generation = known.version
                self._list.replace(rows)
                return _cached(known)
        return Listing(ListKind.CACHED, 0, (), ())

    def _begin(self) -> None:
        self.begun = True

    def stop(self) -> None:
        """End all calls; nothing is told any more."""
        self._stopped = True
        self._cancel_tasks()
        self._agent.close()

    def _cancel_tasks(self) -> None:
        for task in (self._watch, self._fetch, self._recheck):
            if task is not None:
                task.cancel()

    def move(self, address: Address) -> None:
        """Go on at another address, with its whole list first. What is held serves until that has arrived; the
        calls in flight to the old address end here, so that no late answer of it can count.
        """
        if self._stopped or address == self._agent.address:
            return
        self._agent.move(address)
        self._list.generation = None  # the old agent's; the new one's generations are not compared with it
        self._behind = True
        watching = self._is_watching
        self._cancel_tasks()
        self._watch = self._fetch = self._recheck = None
        self._agent.close()
        if watching or not self._on_request:
            self._watch = asyncio.get_running_loop().create_task(self._follow())
        else:
            self.fetch()

    # ------------------------------------------------ what the decisions ask for

    @property
    def _is_watching(self) -> bool:
        return self._watch is not None and not self._watch.done()

    def watch(self, active: bool) -> None:
        """The decisions subscribe, or unsubscribe. Where lists are pushed the watch is always on."""
        if not self._on_request:
            return
        if active and not self._is_watching:
            self._watch = asyncio.get_running_loop().create_task(self._follow())
        elif not active and self._watch is not None:
            self._watch.cancel()
            self._watch = None
            self._end_recheck()
            self._agent.close()  # its call is in flight: the answer must not be taken for the next one's

    def fetch(self) -> None:
        """The decisions ask for the whole list once; a call that is in flight already serves."""
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.get_running_loop().create_task(self._fetch_once())

    async def _fetch_once(self) -> None:
        before = self._list.generation
        try:
            self._accept(await self._agent.full_list_on_new_connection(), before, is_full=True)
        except (DiscoveryError, OSError) as problem:
            self._log(f"discovery: {str(problem) or type(problem).__name__}")
            self._report_failure()

    # ------------------------------------------------ the watch

    async def _follow(self) -> None:
        """Call after call, until the watch is given up: by the decisions, or here where they decide on the next try."""
        pause_s = self.FIRST_PAUSE_S
        while True:
            try:
                await self._call_once()
            except (DiscoveryError, OSError) as problem:  # a time-out is an OSError
                self._agent.close()
                self._behind = True
                stalled = isinstance(problem, TimeoutError)
                self._failed(SILENT if stalled else str(problem) or type(problem).__name__)
                if self._on_request:
                    if stalled and self._failures == 1:
                        continue  # at once: what it missed counts as told in a moment
                    self._report_failure()
                    return
                self._begin()  # the agent has said that it has no list for now, or it is not there
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                pause_s = min(self.LONGEST_PAUSE_S, 2.0 * pause_s)
            else:
                self._behind = False
                self._answered()
                pause_s = self.FIRST_PAUSE_S
                # Guards the core against answers that arrive at once, again and again.
                await asyncio.sleep(self.PACE_S)

    async def _call_once(self) -> None:
        """One call: of the watch, or for the whole list where the watch can't go on from what is held."""
        before = self._list.generation
        if self._behind and not self._on_request:
            answer = await self._agent.full_list_with_retries(on_silence=lambda: self._failed(SILENT))
            self._accept(answer, before, is_full=True)
        elif before is None or self._behind:
            self._accept(await self._agent.full_list(), before, is_full=True)
        else:
            await self._call_watch(before)

    async def _call_watch(self, generation: int) -> None:
        """One call of the watch, which may last for long."""
        wait_s, grace_s = self._watch_time_s()
        if wait_s > self.RECHECK_S[0]:
            self._end_recheck()
            self._recheck = asyncio.get_running_loop().create_task(self._recheck_watch())
        try:
            answer = await self._agent.changes(generation, wait_s, grace_s)
        finally:
            self._end_recheck()
        self._accept(answer, generation)

    def _end_recheck(self) -> None:
        if self._recheck is not None:
            self._recheck.cancel()
            self._recheck = None

    async def _recheck_watch(self) -> None:
        """Ask for the whole list beside a watch that lasts; if that has news, the watch has missed it, and is begun
        anew.
        """
        await asyncio.sleep(self._rng.uniform(*self.RECHECK_S))
        while True:
            before = self._list.generation
            try:
                self._accept(await self._agent.full_list_on_new_connection(), before, is_full=True)
                break
            except (DiscoveryError, OSError):  # the watch goes on: there is nothing to tell yet
                await asyncio.sleep(self._rng.uniform(*self.RECHECK_PAUSE_S))
        if self._list.generation != before and self._watch is not None:
            self._log("discovery: a watch had missed news, begun anew")
            self._recheck = None  # this task, which is not to cancel itself
            self._watch.cancel()
            self._agent.close()
            self._watch = asyncio.get_running_loop().create_task(self._follow())

    def _watch_time_s(self) -> tuple[float, float]:
        """How long the agent is to wait for a change, and how long past that for its answer to arrive, in seconds."""
        if not self._on_request:
            return self.PUSHED_WAIT_S, self.PUSHED_GRACE_S
        return (self.WAIT_S if self._has_answered else min(self.WAIT_S, self.FIRST_WAIT_S)), self.GRACE_S

    def _failed(self, text: str) -> None:
        self._failures += 1
        if text != self._logged_failure:  # one line, however often it is asked
            self._logged_failure = text
            self._log(f"discovery: {text}")

    def _report_failure(self) -> None:
        self.on_listing(Listing(ListKind.FAILED, self.generation, (), ()))

    def _answered(self) -> None:
        if self._logged_failure:
            self._log(f"discovery: answers again, after {self._failures} calls in vain")
        self._failures, self._logged_failure = 0, ""
        self._has_answered = True
        self._begin()

    # ------------------------------------------------ answers

    def _accept(self, answer: Message, before: int | None, is_full: bool = False) -> None:
        """Hold and tell what an answer says. `before` is the generation that was held when its call was sent, `is_full`
        whether the whole list was asked for.

        What another call has brought meanwhile is not undone by an older list, and changes count only for the list
        that they were asked for.
        """
        listing, rows = self._parse(answer)
        upstream_list = self._list
        changes = listing.kind is ListKind.DELTA
        if is_full and changes:
            raise DiscoveryError("the whole list was asked for and changes came")
        if upstream_list.generation != before and (
            changes or listing.version < (upstream_list.generation or 0)
        ):
            return
        if changes and listing.version < (before or 0):
            upstream_list.generation = None  # these are changes to another list than the one held
            return
        if changes:
            upstream_list.merge(rows)
        else:
            upstream_list.replace(rows)
        upstream_list.generation = listing.version
        self.on_listing(listing)

    def _parse(self, answer: Message) -> ParsedList:
        if answer.status != 200:
            raise DiscoveryError(f"answered {answer.status}")
        try:
            data = json.loads(answer.body)
        except (ValueError, RecursionError) as problem:
            raise DiscoveryError(f"not JSON: {problem}") from None
        parsed = parse_listing(data, self._names)
        if self.on_answer is not None:
            self.on_answer()
        return parsed

    # ------------------------------------------------ what is held

    @property
    def upstream_list(self) -> UpstreamList:
        """The list that is held."""
        return self._list

    @property
    def names(self) -> Names:
        """The numbers of the names in the list."""
        return self._names

    @property
    def generation(self) -> int:
        """The generation of the list that is held; 0 if there is none."""
        return self._list.generation or 0

    @property
    def address(self) -> str:
        """The agent's address."""
        return f"{self._agent.address[0]}:{self._agent.address[1]}"

    def row(self, instance_id: str) -> InstanceRow | None:
        """One instance's row, or None."""
        return self._list.row(instance_id)

    def number(self, instance_id: str) -> int | None:
        """The number of an instance that is held, or None."""
        return self._names.server(instance_id) if instance_id in self._list else None

    def reroute(self, on_listing: Callable[[Listing], None]) -> None:
        """Tell somebody else from now on."""
        self.on_listing = on_listing

    def adopt(self, address: str, snapshot: dict[str, Any]) -> None:
        """Take over what another process of this balancer holds, as it was received from there, if it is newer: it may
        have been told of a drain that was not told here. DiscoveryError if it can't be used.
        """
        if address != self.address or snapshot["generation"] <= self.generation:
            return
        listing, rows = parse_listing(snapshot, self._names)
        self._list.generation = listing.version
        self._list.replace(rows)
        self.on_listing(_cached(listing))


def _cached(listing: Listing) -> Listing:
    """The same, as one that was known from before."""
    return Listing(ListKind.CACHED, listing.version, listing.entries, listing.addresses)

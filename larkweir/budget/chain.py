"""A request's budget, worth, time and path at one tier: what arrives with it, goes down, and returns.

This module works on values and headers; the dispatcher writes them. The headers are:

    down    X-Budget           how many attempts at the last tier the request may cost
            X-Budget-Worth     the worth of the request
            X-Budget-Path      the tiers that it has passed, first to last
    back    X-Budget-Spent     how many attempts it has cost
            X-Budget-Loop      a tier below has refused a loop: a retry would only meet the loop again
            X-Never-Ran        no part of the request has run

One other component may have a header of its own carried both ways (`BaggagePropagator`). It is trusted and removed
under the same rules as these.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from ipaddress import ip_address, ip_network
from typing import NamedTuple

from larkweir_balancing.interface import NEVER_RAN, Outcome, RequestArrived, Settings

from larkweir.budget.rules import (
    MAX_BUDGET,
    MAX_WORTH,
    SHARES,
    Account,
    RetryRatio,
    UsefulTime,
    WorthGate,
    parse_number,
    parse_path,
    parse_worth,
)
from larkweir.config.options import Budget
from larkweir.core.message import FramingError, Headers, Message
from larkweir.core.ports import Baggage, BaggagePropagator

BUDGET = b"x-budget"
WORTH = b"x-budget-worth"
PATH = b"x-budget-path"
SPENT = b"x-budget-spent"
LOOP = b"x-budget-loop"
BUDGET_FIELDS = frozenset((BUDGET, WORTH, PATH, SPENT, LOOP))


class KeyOwner(NamedTuple):
    """An idempotency key with its tenant, since two tenants may choose the same key."""

    tenant: str  # the name, since a reload may change the index; empty for no tenant
    key: bytes


class HopBudget:
    """The budget of one request at this tier, with its worth, path and baggage."""

    __slots__ = (
        "_baggage",
        "_chain",
        "_key",
        "_may_have_run",
        "_path",
        "_started_ms",
        "_trusted",
        "account",
        "cls",
        "out",
        "worth",
    )

    def __init__(
        self,
        chain: TierBudgets,
        account: Account,
        path: bytes,
        worth: float,
        trusted: bool,
        cls: int,
        key: KeyOwner | None,
        baggage: Baggage | None,
    ) -> None:
        self._chain = chain
        self._path = path
        self._trusted = trusted
        self._key = key
        self._baggage = baggage
        self._may_have_run = False
        self._started_ms: dict[int, float] = {}
        self.account = account
        self.worth = worth
        self.cls = cls
        self.out = 0

    @property
    def left(self) -> int:
        return 0 if self.account.looped else self.account.left

    def grant(self, attempt: int, tries: int, now_ms: float) -> Headers | None:
        """The headers to send with an attempt; None if the attempt may not begin."""
        chain = self._chain
        if self.account.left < 1 or (attempt and not chain.ratio.take_retry(now_ms)):
            return None
        part = self.account.grant(attempt, tries)
        if not part:
            return None
        self.out += 1
        self._started_ms[attempt] = now_ms
        found = [
            (b"X-Budget", b"%d" % part),
            (b"X-Budget-Worth", b"%.6g" % self.worth),
            (b"X-Budget-Path", self._path),
        ]
        if self._baggage is not None:
            found.append((chain.baggage_field, self._baggage.down()))
        return found

    def settle(self, attempt: int, outcome: Outcome, answer: Message | None, now_ms: float) -> None:
        """Record the end of an attempt that was granted."""
        begun = self._started_ms.pop(attempt, None)
        if begun is None:
            return
        self.out -= 1
        never_ran = outcome in NEVER_RAN
        self._may_have_run = self._may_have_run or not never_ran
        spent = None
        if self._baggage is not None:
            values = answer.values(self._chain.baggage_field_lower) if answer is not None else ()
            self._baggage.on_answer(values[0] if values else None, not never_ran and not self._chain.last)
        if answer is not None:
            try:
                spent = parse_number(answer.value(SPENT), 0, MAX_BUDGET)
                self.account.looped = self.account.looped or answer.value(LOOP) == b"1"
            except FramingError:
                self._chain.unreadable += 1
        if outcome is Outcome.OK:
            self._chain.useful.observe(self.cls, now_ms - begun)
        # A request that was never written whole reached nobody. A request that an upstream refused unread did reach it:
        # at the last tier that is an attempt. Further up it went no further, unless a balancer below reports otherwise.
        reached = outcome is Outcome.FULL and self._chain.last
        self.account.settle(attempt, spent, never_ran and not spent and not reached)

    def closing(self, status: int) -> Headers:
        """The headers of the one final answer."""
        chain = self._chain
        if status == 200 or (status in (503, 504) and not self.account.looped):
            chain.gate.ended(status != 200)  # errors and loops are no lack of time or capacity
        if self._key is not None and chain.open_keys.get(self._key) is self.account:
            del chain.open_keys[self._key]  # but keep the entry of a later attempt with the same key
        if self._baggage is not None:
            self._baggage.closed(status)
        if not self._trusted:
            return []
        found = [(b"X-Budget-Spent", b"%d" % self.account.reported)]
        if self.account.looped:
            found.append((b"X-Budget-Loop", b"1"))
        if status in (503, 504) and not self._may_have_run and not self.out:
            found.append((b"X-Never-Ran", b"1"))
        if self._baggage is not None:
            found.append((chain.baggage_field, self._baggage.up()))
        return found


class TierBudgets:
    """The budgets of all requests at one tier, in bounded memory whatever the number of tenants."""

    MAX_OPEN_KEYS = 4096

    def __init__(self, options: Budget, settings: Settings, log: Callable[[str], None]) -> None:
        self.options = options
        self._log = log
        self.ratio = RetryRatio(options.retry_ratio, options.retry_floor_per_s)
        self.gate = WorthGate()
        self.useful = UsefulTime(len(settings.classes))
        self.unreadable = 0  # header values that could not be parsed
        self.loops = 0  # requests refused for a loop
        self.open_keys: dict[KeyOwner, Account] = {}  # open requests with an idempotency key
        self._hop = (options.hop or f"tier-{settings.tier}").encode()
        self._networks = [ip_network(item, strict=False) for item in options.trust if item != "unix"]
        self._unix = "unix" in options.trust
        self.own: tuple[bytes, ...] = (b"x-budget",)
        self.baggage_field = self.baggage_field_lower = b""  # header of another component; in lower case
        self._propagator: BaggagePropagator | None = None
        self._consumed_fields = BUDGET_FIELDS
        self.trusts = lru_cache(maxsize=1024)(self._trusts)
        self._settings = settings
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply new settings. Classes keep their indexes; classes may be added, and a new class may reuse the index
        of a removed one.
        """
        self.useful.grow(len(settings.classes))
        for at, (before, after) in enumerate(zip(self._settings.classes, settings.classes, strict=False)):
            if before.name != after.name:
                self.useful.forget(at)
        self._settings = settings
        self.last = settings.tier >= settings.tiers - 1

    def _trusts(self, peer: str) -> bool:
        if not peer:
            return False
        if peer == "unix":
            return self._unix
        try:
            address = ip_address(peer)
        except ValueError:
            return False
        return any(address in network for network in self._networks)

    @property
    def way_back_ms(self) -> float:
        """The time that an answer needs on its way back through this tier; deducted from the time sent down."""
        return self.options.way_back_ms

    def carry(self, propagator: BaggagePropagator) -> None:
        """Carry the header of one other component too; at most one."""
        assert self._propagator is None, "a second field"
        self._propagator, self.baggage_field = propagator, propagator.name
        self.baggage_field_lower = propagator.name.lower()
        self._consumed_fields = BUDGET_FIELDS | {self.baggage_field_lower}
        self.own = (b"x-budget", self.baggage_field_lower)

    def arrive(
        self, peer: str, message: Message, event: RequestArrived, now_ms: float, trace: bytes = b""
    ) -> HopBudget | Headers:
        """Read and remove the budget headers of a request, so that none is forwarded unread.

        Returns the request's budget, or the headers of an immediate refusal.
        """
        trusted = self.trusts(peer)
        received: dict[bytes, bytes] = {}
        kept: Headers = []
        for name, value in message.headers:
            lower = name.lower()
            if lower not in self._consumed_fields:
                kept.append((name, value))
            elif trusted:
                if lower in received:
                    self.unreadable += 1  # repeated header: the first value counts
                received.setdefault(lower, value)
        if len(kept) != len(message.headers):
            message.headers = kept
        cls = event.class_in(self._settings)
        budget = parse_number(received.get(BUDGET), 1, MAX_BUDGET)
        worth = parse_worth(received.get(WORTH), min(MAX_WORTH, cls.worth * self.options.worth_most))
        path = parse_path(received.get(PATH))
        read = ((BUDGET, budget is None), (WORTH, worth is None), (PATH, path is None))
        self.unreadable += sum(bad and key in received for key, bad in read)
        # An unreadable path may hide a loop; the budget still bounds the attempts of that loop.
        hops = path or ()
        baggage = None
        if self._propagator is not None:
            baggage = self._propagator.baggage_for(
                received.get(self.baggage_field_lower), trace, event, now_ms
            )
        if self._is_loop(hops):
            return self._refusal(trusted, loop=True, baggage=baggage)
        self.ratio.on_first_attempt(now_ms)
        least = self.useful.min_ms(event.class_index)
        if event.time_left_ms < least + self.way_back_ms:
            return self._refusal(trusted, baggage=baggage)
        if worth is None:
            worth = cls.worth
        if not self.gate.admits(worth):
            return self._refusal(trusted, baggage=baggage)
        budget = self.options.attempts if budget is None else budget
        key = self._key_of(message, event)
        account = Account(budget, self.last, SHARES[self.options.divide])
        if key is not None and event.client_retry and key in self.open_keys:
            # The client has given up its first attempt: this one gets what that one has left, and no more.
            first = self.open_keys[key]
            account.budget = account.left = min(budget, first.left)
            first.left = 0
        if key is not None and len(self.open_keys) < self.MAX_OPEN_KEYS:
            self.open_keys[key] = account
        event.attempts_left = account.left
        forwarded_path = b", ".join((*hops, self._hop))
        return HopBudget(self, account, forwarded_path, worth, trusted, event.class_index, key, baggage)

    def _key_of(self, message: Message, event: RequestArrived) -> KeyOwner | None:
        key = message.value(b"idempotency-key")
        if not key:
            return None
        tenants = self._settings.tenants
        name = tenants[event.tenant].name if event.tenant < len(tenants) else ""
        return KeyOwner(name, key)

    def _is_loop(self, hops: tuple[bytes, ...]) -> bool:
        """Whether a request that has passed these tiers is in a loop. Loops are counted and logged."""
        if self._hop not in hops and len(hops) < self.options.hops:
            return False
        self.loops += 1
        # Log only the 1st, 2nd, 4th, ... loop, since every request may be in one.
        if self.loops & (self.loops - 1) == 0:
            self._log(f"budget: loop number {self.loops} refused: {b' -> '.join((*hops, self._hop))!r:.300}")
        return True

    def looped(self, peer: str, message: Message) -> Headers | None:
        """The refusal headers for a request whose id is open here, if its path shows a loop; else None."""
        if not self.trusts(peer):
            return None
        found = message.values(PATH)
        return self._refusal(True, loop=True) if found and self._is_loop(parse_path(found[0]) or ()) else None

    def _refusal(self, trusted: bool, loop: bool = False, baggage: Baggage | None = None) -> Headers:
        found: Headers = []
        if baggage is not None:
            baggage.closed(503)
        if trusted:
            found = [(b"X-Budget-Spent", b"0"), (b"X-Never-Ran", b"1")]
            if loop:
                found.append((b"X-Budget-Loop", b"1"))
            if baggage is not None:
                found.append((self.baggage_field, baggage.up()))
        return found

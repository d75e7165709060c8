"""Admission by tenants' quotas: asks controllers for units, and waits a short while for their answers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from larkweir_quotas.limits import QuotaStatus, RateLimit, Tolerance, check_units
from larkweir_quotas.quota_allocator import QuotaDecision, QuotaOutcome
from larkweir_quotas.quota_requester import (
    AdmissionRule,
    Query,
    QuotaCharge,
    QuotaRejection,
    QuotaRequester,
    Step,
)

from larkweir.cluster import log
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import QuotaRefund, QuotaRequest, QuotaResponse
from larkweir.router.response_timeout import ResponseTimeout
from larkweir.router.share_wait import ShareWait
from larkweir.router.usage_statuses import UsageStatuses

# A controller answers in a few milliseconds; a busy one, or one whose share of a core is spent, within this.
CONTROLLER_TIMEOUT_S = 0.12
CONNECTION_MARK = "#"  # between a node and the number of its connection

Verdict = QuotaCharge | QuotaRejection


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request that waits for a controller's answer."""

    on_verdict: Callable[[Verdict], None]
    timeout_s: float
    timer: asyncio.TimerHandle


class QuotaAdmission:
    """Owns the requests that wait for units. `send` is set by the owner of the links to controllers."""

    def __init__(
        self, tolerance: Tolerance | None = None, rng: Random | None = None, link_mbps: float = 1_000.0
    ) -> None:
        """Know no limits, and reach no controller.

        Args:
            tolerance: by how much limits may be exceeded.
            rng: for the order in which controllers are asked, and the reserves.
            link_mbps: the bandwidth of this router's network link, in megabits per second.
        """
        self._loop = asyncio.get_running_loop()
        self._requester = QuotaRequester(tolerance, rng)
        self._statuses = UsageStatuses()
        self._timeout = ResponseTimeout(CONTROLLER_TIMEOUT_S, link_mbps)
        self._waiting: dict[int, _Waiting] = {}
        self._unanswered: dict[
            tuple[int, str], Query
        ] = {}  # by request and controller: not waited for any more
        self._connection_numbers: dict[str, int] = defaultdict(int)  # by node: how many were lost
        self._share_wait = ShareWait()
        self._without_share: set[str] = set()  # controllers in reach that may hold a share soon
        self._config_sequence = -1
        self._process_count = 1
        # Sends a message to a controller; whether there is a connection to it.
        self.send: Callable[[str, QuotaRequest | QuotaRefund], bool] = lambda node, message: False

    def _controller(self, node: str) -> str:
        """The controller's name for the requester: another one for each connection, as its process may be another."""
        return f"{node}{CONNECTION_MARK}{self._connection_numbers[node]}"

    def _send_to(self, controller: str, message: QuotaRequest | QuotaRefund) -> bool:
        """Send a message on the connection that this name stands for; whether it is still there."""
        node = controller.partition(CONNECTION_MARK)[0]
        return controller == self._controller(node) and self.send(node, message)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def set_limits(self, limits: dict[str, RateLimit], config_sequence: int) -> None:
        """A configuration is in force. `config_sequence`: a controller with an older one decides nothing."""
        self._config_sequence = config_sequence
        self._requester.set_limits(limits, self._now_ms())

    def set_process_count(self, routers: int, *, is_reliable: bool) -> None:
        """How many routers share the limits; unless that is settled, this one's reserves stay as they are."""
        self._process_count = max(1, routers)
        self._requester.process_count = self._process_count if is_reliable else 0

    def acquire(
        self, tenant: str, units: float, body_bytes: int, on_verdict: Callable[[Verdict], None]
    ) -> None:
        """Admit a request or reject it.

        Args:
            tenant: whose request it is.
            units: that it uses; finite and not negative.
            body_bytes: of the request, which may delay a controller's answer on this router's link.
            on_verdict: called exactly once, at once where no controller has to be asked. Its caller refunds a charge
                that it can't use any more.

        Raises:
            ValueError: `units` is no such number.
        """
        check_units(units)
        limit = self._requester.limits.get(tenant)
        if limit is None or units == 0.0:
            on_verdict(QuotaCharge(tenant, 0.0, AdmissionRule.UNLIMITED))
            return
        begin = partial(self._begin, tenant, units, self._timeout.seconds(body_bytes), on_verdict)
        if self._requester.has_granting_controller:
            begin()
        elif (verdict := self._verdict_by_statuses(tenant, units, limit)) is not None:
            on_verdict(verdict)
        elif self._without_share:
            self._share_wait.add(begin)
        else:
            begin()

    def _begin(
        self, tenant: str, units: float, timeout_s: float, on_verdict: Callable[[Verdict], None]
    ) -> None:
        self._carry_out(self._requester.begin(tenant, units, self._now_ms()), on_verdict, timeout_s)

    def log_admitted(self) -> None:
        """While debugging: units admitted since the start, by tenant and rule."""
        if log.is_debug_enabled():
            log.debug("quota_admitted", units=self._requester.admitted_units())

    def refund(self, charge: QuotaCharge) -> None:
        """Return the units of an admitted request that was never executed; once for each charge."""
        if charge.units == 0.0:
            return
        self._statuses.record_refund(charge.tenant, charge.units)
        self._requester.refund(charge, self._now_ms())
        if charge.controller is not None:
            self._send_to(charge.controller, QuotaRefund(charge.tenant, charge.units))

    def charge_again(self, charge: QuotaCharge) -> None:
        """An admitted request is executed once more."""
        controller = self._requester.charge_again(charge, self._now_ms())
        if controller is not None:
            again = QuotaRequest(0, charge.tenant, charge.units, is_executed_again=True)
            self._send_to(controller, again)

    # Controllers

    def on_delta(
        self, node: str, *, grants_quotas: bool | None, statuses: dict[str, QuotaStatus] | None
    ) -> None:
        """A controller answered a pull.

        Args:
            node: the controller.
            grants_quotas: whether it may be asked for units; None: its version has no share leases.
            statuses: of tenants, by a version without share leases; None where it has no limits yet.
        """
        if grants_quotas is None:
            self._statuses.receive(node, statuses, self._now_ms())
        else:
            self._statuses.remove(node)
            controller = self._controller(node)
            self._requester.set_granting(controller, self._now_ms(), is_granting=grants_quotas)
            self._set_without_share(node, is_without=not grants_quotas)

    def _set_without_share(self, node: str, *, is_without: bool) -> None:
        if is_without:
            self._without_share.add(node)
        else:
            self._without_share.discard(node)
        if self._requester.has_granting_controller or not self._without_share:
            self._share_wait.resume()

    def usage(self, controller: str) -> dict[str, float]:
        """What to report to that controller of the units admitted here; nothing to those that are asked for units."""
        return self._statuses.report(controller, self._now_ms())

    def on_response(self, connection: Connection, response: QuotaResponse) -> None:
        """A controller answered a request for units."""
        request_id, controller = response.request_id, self._controller(connection.node)
        late = self._unanswered.pop((request_id, controller), None)
        if late is not None:
            if response.outcome is QuotaOutcome.GRANTED:
                self._send_to(controller, QuotaRefund(late.tenant, late.units))
            return
        decision = QuotaDecision(response.outcome, response.retry_after_s)
        step = self._requester.on_decision(request_id, controller, decision, self._now_ms())
        if step is not None:
            self._continue(request_id, step)

    def on_disconnected(self, node: str) -> None:
        """The connection to a controller has ended."""
        self._statuses.remove(node)
        self._set_without_share(node, is_without=False)
        controller = self._controller(node)
        self._connection_numbers[node] += 1
        for late in [one for one in self._unanswered if one[1] == controller]:
            del self._unanswered[late]
        for request_id, step in self._requester.on_controller_lost(controller, self._now_ms()):
            self._continue(request_id, step)

    def _on_timeout(self, query: Query) -> None:
        step = self._requester.on_timeout(query.request_id, query.controller, self._now_ms())
        if step is not None:
            log.debug("quota_timeout", controller=query.controller)
            self._unanswered[query.request_id, query.controller] = query
            self._continue(query.request_id, step)

    def _continue(self, request_id: int, step: Step) -> None:
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:  # decided meanwhile, as a second controller was lost within the same step
            return
        waiting.timer.cancel()
        self._carry_out(step, waiting.on_verdict, waiting.timeout_s)

    def _carry_out(self, step: Step, on_verdict: Callable[[Verdict], None], timeout_s: float) -> None:
        if not isinstance(step, Query):
            if isinstance(step, QuotaCharge) and step.units:
                self._statuses.record_admitted(step.tenant, step.units, self._now_ms())
            on_verdict(step)
            return
        timer = self._loop.call_later(timeout_s, self._on_timeout, step)
        self._waiting[step.request_id] = _Waiting(on_verdict, timeout_s, timer)
        request = QuotaRequest(step.request_id, step.tenant, step.units, self._config_sequence)
        if not self._send_to(step.controller, request):
            self.on_disconnected(step.controller.partition(CONNECTION_MARK)[0])

    def _verdict_by_statuses(self, tenant: str, units: float, limit: RateLimit) -> Verdict | None:
        """What controllers without share leases allow; None where there are none of them."""
        now_ms = self._now_ms()
        level = self._statuses.level(tenant, limit, self._process_count, now_ms)
        if level is None:
            return None
        if level <= 0.0:
            return self._requester.rejection(-level / limit.rate_per_s, AdmissionRule.STATUS)
        self._statuses.record_admitted(tenant, units, now_ms)
        return QuotaCharge(tenant, units, AdmissionRule.STATUS)

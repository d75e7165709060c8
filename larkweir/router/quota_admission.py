"""Admission of requests by tenant quotas: requests units from controllers, with a short timeout."""

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

# A controller usually answers in a few milliseconds. One that is busy or has used up its CPU quota needs up to this.
CONTROLLER_TIMEOUT_S = 0.12
CONNECTION_SEPARATOR = "#"  # in controller ids, between the node and its connection number

Verdict = QuotaCharge | QuotaRejection


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request that is waiting for a controller's answer."""

    on_verdict: Callable[[Verdict], None]
    timeout_s: float
    timer: asyncio.TimerHandle


class QuotaAdmission:
    """Owns the requests that wait for units. `FleetSync` sets `send`."""

    def __init__(
        self, tolerance: Tolerance | None = None, rng: Random | None = None, link_mbps: float = 1_000.0
    ) -> None:
        """Start without limits and without connected controllers.

        Args:
            tolerance: by how much limits may be exceeded.
            rng: the random generator for the order in which controllers are asked, and for the local reserves.
            link_mbps: the bandwidth of this router's network link, in megabits per second.
        """
        self._loop = asyncio.get_running_loop()
        self._requester = QuotaRequester(tolerance, rng)
        self._statuses = UsageStatuses()
        self._timeout = ResponseTimeout(CONTROLLER_TIMEOUT_S, link_mbps)
        self._pending_requests: dict[int, _PendingRequest] = {}
        # Queries that timed out, by request id and controller id. A late grant is refunded.
        self._timed_out: dict[tuple[int, str], Query] = {}
        self._connection_numbers: dict[str, int] = defaultdict(int)  # connections lost so far, by node
        self._share_wait = ShareWait()
        self._controllers_without_share: set[str] = set()  # connected controllers that may get a share soon
        self._config_sequence = -1
        self._process_count = 1
        # Sends a message to a controller; returns whether there is a connection to it.
        self.send: Callable[[str, QuotaRequest | QuotaRefund], bool] = lambda node, message: False

    def _controller_id(self, node: str) -> str:
        """Return the id of a controller for the requester.

        Each connection to the node gets another id, since the process at its other end may have been replaced.
        """
        return f"{node}{CONNECTION_SEPARATOR}{self._connection_numbers[node]}"

    def _send_to(self, controller: str, message: QuotaRequest | QuotaRefund) -> bool:
        """Send a message on the connection with this controller id. Returns False if that connection has ended."""
        node = controller.partition(CONNECTION_SEPARATOR)[0]
        return controller == self._controller_id(node) and self.send(node, message)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def set_limits(self, limits: dict[str, RateLimit], config_sequence: int) -> None:
        """Set the limits of a new configuration.

        Args:
            limits: the rate limits, by tenant.
            config_sequence: sent with each request for units; a controller with an older configuration does not decide.
        """
        self._config_sequence = config_sequence
        self._requester.set_limits(limits, self._now_ms())

    def set_process_count(self, routers: int, *, is_reliable: bool) -> None:
        """Set how many routers share the limits. While the count is not reliable, local reserves are not refilled."""
        self._process_count = max(1, routers)
        self._requester.process_count = self._process_count if is_reliable else 0

    def acquire(
        self, tenant: str, units: float, body_bytes: int, on_verdict: Callable[[Verdict], None]
    ) -> None:
        """Admit a request or reject it.

        Args:
            tenant: the tenant that sent the request.
            units: the units that the request uses; finite and not negative.
            body_bytes: the size of the request's body, whose transfer may delay a controller's answer.
            on_verdict: called exactly once; before returning if no controller has to be asked. The receiver must
                refund a charge that it can no longer use.

        Raises:
            ValueError: `units` is negative, infinite or not a number.
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
        elif self._controllers_without_share:
            self._share_wait.add(begin)
        else:
            begin()

    def _begin(
        self, tenant: str, units: float, timeout_s: float, on_verdict: Callable[[Verdict], None]
    ) -> None:
        self._execute_step(self._requester.begin(tenant, units, self._now_ms()), on_verdict, timeout_s)

    def log_admitted(self) -> None:
        """Log the units admitted since the start, by tenant and rule, if debug logging is enabled."""
        if log.is_debug_enabled():
            log.debug("quota_admitted", units=self._requester.admitted_units())

    def refund(self, charge: QuotaCharge) -> None:
        """Return the units of an admitted request that was never executed. Call it at most once per charge."""
        if charge.units == 0.0:
            return
        self._statuses.record_refund(charge.tenant, charge.units)
        self._requester.refund(charge, self._now_ms())
        if charge.controller is not None:
            self._send_to(charge.controller, QuotaRefund(charge.tenant, charge.units))

    def charge_again(self, charge: QuotaCharge) -> None:
        """Charge the units of an admitted request again, because it is executed once more."""
        controller = self._requester.charge_again(charge, self._now_ms())
        if controller is not None:
            request = QuotaRequest(0, charge.tenant, charge.units, is_executed_again=True)
            self._send_to(controller, request)

    # Controllers

    def on_delta(
        self, node: str, *, grants_quotas: bool | None, statuses: dict[str, QuotaStatus] | None
    ) -> None:
        """Handle the quota fields of a controller's answer to a pull.

        Args:
            node: the controller's node.
            grants_quotas: whether it may be asked for units; None if its version has no share leases.
            statuses: the statuses of tenants, from a version without share leases; None if it has no limits yet.
        """
        if grants_quotas is None:
            self._statuses.receive(node, statuses, self._now_ms())
        else:
            self._statuses.remove(node)
            controller = self._controller_id(node)
            self._requester.set_granting(controller, self._now_ms(), is_granting=grants_quotas)
            self._set_without_share(node, is_without=not grants_quotas)

    def _set_without_share(self, node: str, *, is_without: bool) -> None:
        if is_without:
            self._controllers_without_share.add(node)
        else:
            self._controllers_without_share.discard(node)
        if self._requester.has_granting_controller or not self._controllers_without_share:
            self._share_wait.resume_all()

    def usage(self, controller: str) -> dict[str, float]:
        """Return the units admitted here, by tenant, to report to a controller.

        Empty for controllers with share leases, which are asked for the units of each request instead.
        """
        return self._statuses.report(controller, self._now_ms())

    def on_response(self, connection: Connection, response: QuotaResponse) -> None:
        """Handle a controller's answer to a request for units."""
        request_id, controller = response.request_id, self._controller_id(connection.node)
        timed_out = self._timed_out.pop((request_id, controller), None)
        if timed_out is not None:
            if response.outcome is QuotaOutcome.GRANTED:
                self._send_to(controller, QuotaRefund(timed_out.tenant, timed_out.units))
            return
        decision = QuotaDecision(response.outcome, response.retry_after_s)
        step = self._requester.on_decision(request_id, controller, decision, self._now_ms())
        if step is not None:
            self._continue(request_id, step)

    def on_disconnected(self, node: str) -> None:
        """Handle the end of the connection to a controller."""
        self._statuses.remove(node)
        self._set_without_share(node, is_without=False)
        controller = self._controller_id(node)
        self._connection_numbers[node] += 1
        for key in [key for key in self._timed_out if key[1] == controller]:
            del self._timed_out[key]
        for request_id, step in self._requester.on_controller_lost(controller, self._now_ms()):
            self._continue(request_id, step)

    def _on_timeout(self, query: Query) -> None:
        step = self._requester.on_timeout(query.request_id, query.controller, self._now_ms())
        if step is not None:
            log.debug("quota_timeout", controller=query.controller)
            self._timed_out[query.request_id, query.controller] = query
            self._continue(query.request_id, step)

    def _continue(self, request_id: int, step: Step) -> None:
        pending = self._pending_requests.pop(request_id, None)
        if pending is None:  # already decided: a second controller was lost within the same step
            return
        pending.timer.cancel()
        self._execute_step(step, pending.on_verdict, pending.timeout_s)

    def _execute_step(self, step: Step, on_verdict: Callable[[Verdict], None], timeout_s: float) -> None:
        if not isinstance(step, Query):
            if isinstance(step, QuotaCharge) and step.units:
                self._statuses.record_admitted(step.tenant, step.units, self._now_ms())
            on_verdict(step)
            return
        timer = self._loop.call_later(timeout_s, self._on_timeout, step)
        self._pending_requests[step.request_id] = _PendingRequest(on_verdict, timeout_s, timer)
        request = QuotaRequest(step.request_id, step.tenant, step.units, self._config_sequence)
        if not self._send_to(step.controller, request):
            self.on_disconnected(step.controller.partition(CONNECTION_SEPARATOR)[0])

    def _verdict_by_statuses(self, tenant: str, units: float, limit: RateLimit) -> Verdict | None:
        """Decide by the statuses of controllers without share leases. Returns None if no status is available."""
        now_ms = self._now_ms()
        level = self._statuses.level(tenant, limit, self._process_count, now_ms)
        if level is None:
            return None
        if level <= 0.0:
            return self._requester.rejection(-level / limit.rate_per_s, AdmissionRule.STATUS)
        self._statuses.record_admitted(tenant, units, now_ms)
        return QuotaCharge(tenant, units, AdmissionRule.STATUS)

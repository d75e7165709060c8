"""A fake controller that holds the whole share of all quotas, for data plane tests without sockets."""

from __future__ import annotations

import asyncio

from larkweir_quotas.limits import RateLimit
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import TOTAL_SHARE

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import QuotaRefund, QuotaRequest, QuotaResponse
from larkweir.router.quota_admission import QuotaAdmission

NO_EXPIRY_MS = 1e12


class GrantingController:
    """Answers requests for units in the next iteration of the event loop, or not at all while `is_silent` is set.

    Create it inside a running loop.
    """

    def __init__(self, quotas: QuotaAdmission, node: str = "c") -> None:
        self.node = node
        self.is_silent = False
        self.requests: list[QuotaRequest] = []
        self.refunded: list[QuotaRefund] = []
        self._quotas = quotas
        self._loop = asyncio.get_running_loop()
        self._connection = Connection(lambda connection, message: None, lambda connection: None)
        self._connection.node = node
        self.allocator = QuotaAllocator()
        self.allocator.set_share(TOTAL_SHARE, NO_EXPIRY_MS, self._now_ms())

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def set_limits(self, limits: dict[str, RateLimit]) -> None:
        """Set the limits, and tell the router that this controller grants units."""
        self.allocator.set_limits(limits, self._now_ms(), controllers=1, is_restart=False)
        self._quotas.on_delta(self.node, grants_quotas=True, statuses=None)

    def receive(self, message: QuotaRequest | QuotaRefund) -> None:
        """Process a message of the router."""
        if isinstance(message, QuotaRefund):
            self.refunded.append(message)
            self.allocator.refund(message.tenant, message.units, self._now_ms())
            return
        self.requests.append(message)
        if message.is_executed_again:
            self.allocator.charge(message.tenant, message.units, self._now_ms())
        elif not self.is_silent:
            self._loop.call_soon(self.answer, message)

    def answer(self, request: QuotaRequest) -> None:
        """Answer a request immediately."""
        decision = self.allocator.request(request.tenant, request.units, self._now_ms())
        response = QuotaResponse(request.request_id, decision.outcome, decision.retry_after_s)
        self._quotas.on_response(self._connection, response)


def connect(quotas: QuotaAdmission, *controllers: GrantingController) -> None:
    """Deliver the router's messages to these controllers."""
    by_node = {controller.node: controller for controller in controllers}

    def send(node: str, message: QuotaRequest | QuotaRefund) -> bool:
        if node in by_node:
            by_node[node].receive(message)
        return node in by_node

    quotas.send = send

"""Statistics of clients: request rate, time left, retries, and which tenants are over their share. Pure logic."""

from __future__ import annotations

import math
from dataclasses import dataclass

from larkweir_balancing.events import RequestArrived
from larkweir_balancing.settings import RequestClass, Settings


@dataclass(slots=True, eq=False, repr=False)
class UsualValue:
    """The value of most samples, by majority vote. Without a clear majority every sample counts as usual."""

    MIN_LEAD = 8  # votes for `value`, from which other samples count as unusual
    MAX_VOTES = 64

    value: float = 0.0
    votes: int = 0

    def vote(self, sample: float, tolerance: float) -> bool:
        """Count a sample, and return whether it is usual."""
        if abs(sample - self.value) <= tolerance + 0.005 * self.value:
            self.votes = min(self.MAX_VOTES, self.votes + 1)
            return True
        self.votes -= 1
        if self.votes < 0:
            self.value, self.votes = sample, 1
        return self.votes < self.MIN_LEAD


class ClientStats:
    """Running means of the requests that arrive at this balancer, by class and by tenant."""

    SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
    TENANT_SAMPLE_WEIGHT = 1.0 / 32.0
    MAX_UNSERVED = 64.0  # cap for `_recently_unserved`
    OVER_SHARE_FACTOR = 1.5  # times its fair fraction of the traffic, above which a tenant is over its share
    MAX_RETRY_FRACTION = 0.5  # of a tenant's requests; above this its retries count as over its share

    def __init__(self, settings: Settings) -> None:
        self.arrival_interval_ms = 0.0  # mean time between requests that arrive at this balancer
        self.mean_cost: list[float] = []  # mean cost hint, by class
        self._last_arrival_ms = -1.0
        # Requests that ended unserved after a long wait, and may be retried with the rest of their deadline.
        self._recently_unserved = 0.0
        self._usual: list[UsualValue] = []
        self._traffic_fraction: list[float] = []  # by tenant: fraction of the requests that arrive here
        self._retry_fraction: list[float] = []  # by tenant: fraction of its requests marked as retries
        self._classes: list[str] = []  # names
        self._tenants: dict[str, int] = {}  # index by name
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply new settings; the statistics of classes and tenants that remain are kept."""
        for at, cls in enumerate(settings.classes):
            if at >= len(self._classes):
                self._usual.append(UsualValue())
                self.mean_cost.append(0.0)
            elif cls.name != self._classes[at]:  # another class has replaced a removed one
                self._usual[at], self.mean_cost[at] = UsualValue(), 0.0
        old_indices = [self._tenants.get(tenant.name) for tenant in settings.tenants]
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        self._fair_fraction = [tenant.quota_per_s / total for tenant in settings.tenants]
        self._traffic_fraction = [
            self._fair_fraction[n] if at is None else self._traffic_fraction[at]
            for n, at in enumerate(old_indices)
        ]
        self._retry_fraction = [0.0 if at is None else self._retry_fraction[at] for at in old_indices]
        self._classes = [cls.name for cls in settings.classes]
        self._tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self._settings = settings

    def record_arrival(self, event: RequestArrived, now_ms: float) -> float:
        """Record a request, and return its cost hint relative to the mean of its class; 1.0 without a hint."""
        if self._last_arrival_ms >= 0.0:
            self.arrival_interval_ms += self.SAMPLE_WEIGHT * (
                now_ms - self._last_arrival_ms - self.arrival_interval_ms
            )
        self._last_arrival_ms = now_ms
        if not event.expected_ms:
            return 1.0
        usual = self.mean_cost[event.class_index] or event.expected_ms
        self.mean_cost[event.class_index] = usual + self.SAMPLE_WEIGHT * (event.expected_ms - usual)
        return event.expected_ms / usual

    def useful_until_ms(self, event: RequestArrived, cls: RequestClass, now_ms: float) -> float:
        """Estimate the time after which an answer has no value.

        The time left that a client states is that of the current try, not of the latency target. A first try arrives
        with the usual time left of its class. A request with another time left is taken for a retry that has the rest
        of the class's deadline: its earlier tries have used the difference. Requests to an inner tier arrive with the
        time that our own balancers of the outer tier have left them, which already includes the latency target.
        """
        if cls.late_worth > 0.0:
            return math.inf
        spent, tick = 0.0, 2.0 * self._settings.tick_ms
        usual = self._settings.tier or self._usual[event.class_index].vote(event.time_left_ms, tick)
        if not usual and self._is_late_retry(event):
            # Any other request with little time left is the first try of a client with a short time-out.
            spent = max(0.0, cls.deadline_ms - event.time_left_ms)
        return now_ms + cls.aim_ms - spent - tick

    def _is_late_retry(self, event: RequestArrived) -> bool:
        """Whether this is the last try of a client whose earlier tries ended unserved after a long wait.

        Where retries are not marked, there can't be more of these than requests that ended that way here.
        """
        if self._settings.marks_retry:
            return event.client_retry
        if self._recently_unserved < 1.0:
            return False
        self._recently_unserved -= 1.0
        return True

    def record_unserved(self) -> None:
        """Record a request that ended unserved after a long wait."""
        self._recently_unserved = min(self.MAX_UNSERVED, self._recently_unserved + 1.0)

    def is_over_share(self, event: RequestArrived) -> bool:
        """Whether the request belongs to the traffic that is refused first under overload.

        A tenant is over its share if it sends clearly more than its fair fraction of the requests that arrive at this
        balancer, which is independent of the rate and of the size of the zone. If most requests of a tenant are
        retries, its retries also count as over its share. This guards against clients that retry immediately although
        a refusal tells them to wait.
        """
        at = event.tenant
        if not 0 <= at < len(self._traffic_fraction):
            return False
        for n in range(len(self._traffic_fraction)):
            self._traffic_fraction[n] += self.TENANT_SAMPLE_WEIGHT * ((n == at) - self._traffic_fraction[n])
        self._retry_fraction[at] += self.SAMPLE_WEIGHT * (event.client_retry - self._retry_fraction[at])
        repeats = event.client_retry and self._retry_fraction[at] > self.MAX_RETRY_FRACTION
        fair = self._fair_fraction[at]
        # The approximate standard deviation of the running mean.
        noise = math.sqrt(fair * self.TENANT_SAMPLE_WEIGHT / 2.0)
        return repeats or self._traffic_fraction[at] > self.OVER_SHARE_FACTOR * fair + 2.0 * noise

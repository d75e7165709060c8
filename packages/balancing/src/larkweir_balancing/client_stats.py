"""Statistics of the callers: how often they send, how long they wait, and who is over its share. Pure logic."""

from __future__ import annotations

import math
from dataclasses import dataclass

from larkweir_balancing.events import RequestArrived
from larkweir_balancing.settings import RequestClass, Settings


@dataclass(slots=True, eq=False, repr=False)
class UsualValue:
    """The value most samples share, by majority vote; without a clear majority every sample is usual."""

    MIN_LEAD = 8  # votes ahead, before a sample may be called unusual
    MAX_VOTES = 64

    value: float = 0.0
    votes: int = 0

    def vote(self, sample: float, tolerance: float) -> bool:
        """Count a sample; whether it is a usual one."""
        if abs(sample - self.value) <= tolerance + 0.005 * self.value:
            self.votes = min(self.MAX_VOTES, self.votes + 1)
            return True
        self.votes -= 1
        if self.votes < 0:
            self.value, self.votes = sample, 1
        return self.votes < self.MIN_LEAD


class ClientStats:
    """Running means of what comes to this copy, by class and by tenant."""

    SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
    TENANT_SAMPLE_WEIGHT = 1.0 / 32.0
    MAX_UNSERVED = 64.0  # requests that ended unserved, as far as they are remembered
    OVER_SHARE_FACTOR = 1.5  # times its part, from which a tenant is over its share
    MAX_RETRY_FRACTION = 0.5  # of a tenant's requests

    def __init__(self, settings: Settings) -> None:
        self.arrival_interval_ms = 0.0  # between two requests that come to this copy
        self.mean_cost: list[float] = []  # mean cost hint, by class
        self._last_arrival_ms = -1.0
        # Requests that ended unserved after long, and may come again with what time is left.
        self._recently_unserved = 0.0
        self._usual: list[UsualValue] = []
        self._traffic_fraction: list[float] = []  # of the requests that come here, by tenant
        self._retry_fraction: list[float] = []  # of a tenant's requests, those marked as repeats
        self._classes: list[str] = []  # their names
        self._tenants: dict[str, int] = {}  # their places, by name
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Take the figures; what is known of classes and tenants that stay is carried on."""
        for at, cls in enumerate(settings.classes):
            if at >= len(self._classes):
                self._usual.append(UsualValue())
                self.mean_cost.append(0.0)
            elif cls.name != self._classes[at]:  # another has taken the place of one that is no more
                self._usual[at], self.mean_cost[at] = UsualValue(), 0.0
        places = [self._tenants.get(tenant.name) for tenant in settings.tenants]
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        self._fair_fraction = [tenant.quota_per_s / total for tenant in settings.tenants]
        self._traffic_fraction = [
            self._fair_fraction[n] if at is None else self._traffic_fraction[at]
            for n, at in enumerate(places)
        ]
        self._retry_fraction = [0.0 if at is None else self._retry_fraction[at] for at in places]
        self._classes = [cls.name for cls in settings.classes]
        self._tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self._settings = settings

    def record_arrival(self, event: RequestArrived, now_ms: float) -> float:
        """A request has come; its size, by the mean of its class."""
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
        """When an answer stops being worth anything, as far as this copy can tell.

        The time left is this try's, not the aim. A fresh try comes with the usual time left of its class; one
        that comes with another has the rest of the class's deadline, and has spent what is missing in earlier
        tries. An inner tier's calls come with what our own copies above left them, so their aim is in their
        deadline already.
        """
        if cls.late_worth > 0.0:
            return math.inf
        spent, tick = 0.0, 2.0 * self._settings.tick_ms
        usual = self._settings.tier or self._usual[event.class_index].vote(event.time_left_ms, tick)
        if not usual and self._is_late_retry(event):
            # A first try that comes with little time is that of a client in haste, not of a late one.
            spent = max(0.0, cls.deadline_ms - event.time_left_ms)
        return now_ms + cls.aim_ms - spent - tick

    def _is_late_retry(self, event: RequestArrived) -> bool:
        """Whether this is the last try of a client that has waited long for others in vain. Where repeats are not
        marked, there can be no more of those than requests that ended so here.
        """
        if self._settings.marks_retry:
            return event.client_retry
        if self._recently_unserved < 1.0:
            return False
        self._recently_unserved -= 1.0
        return True

    def record_unserved(self) -> None:
        """A request has ended unserved, after long."""
        self._recently_unserved = min(self.MAX_UNSERVED, self._recently_unserved + 1.0)

    def is_over_share(self, event: RequestArrived) -> bool:
        """Whether the request is of the traffic that is refused first when calls must be refused.

        A tenant is over its share where it sends clearly more than its part of what comes to this copy; that
        holds at any rate and in zones of any size. Repeats count as over it where most of what the tenant
        sends is repeats: guards against clients that repeat at once, whatever they are told.
        """
        at = event.tenant
        if not 0 <= at < len(self._traffic_fraction):
            return False
        for n in range(len(self._traffic_fraction)):
            self._traffic_fraction[n] += self.TENANT_SAMPLE_WEIGHT * ((n == at) - self._traffic_fraction[n])
        self._retry_fraction[at] += self.SAMPLE_WEIGHT * (event.client_retry - self._retry_fraction[at])
        repeats = event.client_retry and self._retry_fraction[at] > self.MAX_RETRY_FRACTION
        fair = self._fair_fraction[at]
        noise = math.sqrt(fair * self.TENANT_SAMPLE_WEIGHT / 2.0)  # of the running mean
        return repeats or self._traffic_fraction[at] > self.OVER_SHARE_FACTOR * fair + 2.0 * noise

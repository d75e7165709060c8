"""A fleet in memory: routers that limit tenants, usage tables that receive their reports late, and faults of both."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from larkweir_quotas.limits import RateLimit
from larkweir_quotas.quota_limiter import STATUS_VALID_MS, QuotaCharge, QuotaLimiter
from larkweir_quotas.usage_table import UsageTable

TENANT = "t"
TICK_MS = 20.0
LIMIT = RateLimit(rate_per_s=1_000.0, burst=1_600.0)


@dataclass(frozen=True)
class Deployment:
    """The limit of a tenant, and the size of the fleet that enforces it."""

    routers: int = 9
    tables: int = 3
    limit: RateLimit = LIMIT
    report_ms: float = 110.0
    request_units: float = 20.0
    window_ms: float = 8_000.0
    over: float = 0.1
    slack: float = 2_600.0  # in the same ratio as in deployments

    @property
    def allowed(self) -> float:
        """The most that may be admitted within any window."""
        used = self.limit.rate_per_s * self.window_ms / 1_000.0 + self.limit.burst
        return used * (1.0 + self.over) + self.slack


class Fleet:
    """Routers and usage tables on one clock. `cut` holds pairs (router, table) that do not reach each other."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.routers = [self._router() for _ in range(deployment.routers)]
        self.incarnations = [0] * deployment.routers
        self.tables = [self._table() for _ in range(deployment.tables)]
        self.cut: set[tuple[int, int]] = set()
        self.frozen_tables: set[int] = set()
        self._unread: list[
            tuple[int, str, dict[str, float], float]
        ] = []  # reports that wait at paused tables
        self.admitted: list[tuple[float, float]] = []
        self.rejected: list[float] = []
        self._next_report_ms = [
            [self.rng.uniform(0.0, deployment.report_ms) for _ in self.tables] for _ in self.routers
        ]

    def _router(self) -> QuotaLimiter:
        router = QuotaLimiter(Random(self.rng.random()))
        router.set_limits({TENANT: self.deployment.limit})
        router.process_count = self.deployment.routers
        return router

    def _table(self) -> UsageTable:
        table = UsageTable()
        table.set_limits({TENANT: self.deployment.limit}, self.now_ms)
        return table

    def restart_table(self, number: int) -> None:
        """Replace a table by an empty one."""
        self.tables[number] = self._table()

    def restart_router(self, number: int) -> None:
        """Replace a router by one that counts from 0."""
        self.routers[number] = self._router()
        self.incarnations[number] += 1

    def freeze_table(self, number: int) -> None:
        """Pause a table, just after each router has sent it one more report."""
        self.frozen_tables.add(number)
        for index, router in enumerate(self.routers):
            counts = router.usage(f"l{number}", self.now_ms)
            self._unread.append((number, f"r{index}/{self.incarnations[index]}", counts, self.now_ms))

    def thaw_tables(self) -> None:
        """Resume all tables; they read the reports that wait for them first."""
        for number, process, counts, sent_ms in self._unread:
            self.tables[number].record_report(process, counts, sent_ms, self.now_ms)
        self._unread.clear()
        self.frozen_tables.clear()

    def report_unreachable(self) -> None:
        """Notify each table how many routers do not reach it, as controllers do."""
        for number, table in enumerate(self.tables):
            away = sum((router, number) in self.cut for router in range(len(self.routers)))
            table.set_unreachable(away / len(self.routers), self.deployment.over)

    def advance(self, for_ms: float, per_s: float) -> None:
        """Let time pass while clients request `per_s` units a second, at random routers."""
        end_ms = self.now_ms + for_ms
        units = self.deployment.request_units
        due_units = 0.0
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._report_all()
            due_units += per_s * TICK_MS / 1_000.0
            while due_units >= units:
                due_units -= units
                self._request(self.rng.randrange(len(self.routers)), units)

    def _request(self, router: int, units: float) -> None:
        if isinstance(self.routers[router].admit(TENANT, units, self.now_ms), QuotaCharge):
            self.admitted.append((self.now_ms, units))
        else:
            self.rejected.append(self.now_ms)

    def _report_all(self) -> None:
        for number, router in enumerate(self.routers):
            for index, table in enumerate(self.tables):
                if self.now_ms < self._next_report_ms[number][index] or index in self.frozen_tables:
                    continue
                if (number, index) in self.cut:
                    continue
                self._next_report_ms[number][index] = self.now_ms + self.deployment.report_ms
                counts = router.usage(f"l{index}", self.now_ms)
                table.record_report(
                    f"r{number}/{self.incarnations[number]}", counts, self.now_ms, self.now_ms
                )
                statuses = table.statuses(list(counts), self.now_ms)
                router.receive_statuses(f"l{index}", statuses, self.now_ms)

    def most_in_a_window(self) -> float:
        """Return the units admitted within the fullest window."""
        most = window = 0.0
        start = 0
        for when_ms, units in self.admitted:
            window += units
            while self.admitted[start][0] <= when_ms - self.deployment.window_ms:
                window -= self.admitted[start][1]
                start += 1
            most = max(most, window)
        return most

    def rejected_since(self, when_ms: float) -> int:
        """Return how many requests were rejected later than that."""
        return sum(1 for refused_ms in self.rejected if refused_ms > when_ms)


class FaultInjector:
    """Draws faults of controllers, routers and the links between them."""

    KINDS = (
        "cut_table",
        "cut_routers",
        "cut_all",
        "freeze",
        "restart_table",
        "restart_all",
        "restart_router",
    )

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = fleet.rng

    def inject(self) -> float:
        """Inject a fault; return after how many milliseconds `clear` is to be called."""
        getattr(self, "_" + self.rng.choice(self.KINDS))()
        self.fleet.report_unreachable()
        return self.rng.choice([300.0, STATUS_VALID_MS, 2_000.0, 8_000.0, 20_000.0])

    def clear(self) -> None:
        """End all faults."""
        self.fleet.cut.clear()
        self.fleet.thaw_tables()
        self.fleet.report_unreachable()

    def _cut_table(self) -> None:
        table = self.rng.randrange(len(self.fleet.tables))
        self.fleet.cut = {(router, table) for router in range(len(self.fleet.routers))}

    def _cut_routers(self) -> None:
        some = self.rng.sample(range(len(self.fleet.routers)), max(1, len(self.fleet.routers) // 3))
        self.fleet.cut = {(router, table) for router in some for table in range(len(self.fleet.tables))}

    def _cut_all(self) -> None:
        tables = range(len(self.fleet.tables))
        self.fleet.cut = {(router, table) for router in range(len(self.fleet.routers)) for table in tables}

    def _freeze(self) -> None:
        self.fleet.freeze_table(self.rng.randrange(len(self.fleet.tables)))

    def _restart_table(self) -> None:
        self.fleet.restart_table(self.rng.randrange(len(self.fleet.tables)))

    def _restart_all(self) -> None:
        for number in range(len(self.fleet.tables)):
            self.fleet.restart_table(number)

    def _restart_router(self) -> None:
        self.fleet.restart_router(self.rng.randrange(len(self.fleet.routers)))

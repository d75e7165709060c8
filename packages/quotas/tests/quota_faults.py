"""Random, seeded faults of a simulated fleet."""

from __future__ import annotations

from quota_fleet import Fleet


class FaultInjector:
    """Injects random faults of controllers, routers and the links between them."""

    KINDS = (
        "cut_controller",
        "cut_routers",
        "cut_all",
        "split",
        "freeze",
        "restart_controller",
        "restart_all",
        "restart_router",
    )

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = fleet.rng

    def inject(self) -> float:
        """Inject a fault. Returns the milliseconds after which to call `clear`."""
        duration_ms = self.rng.choice([300.0, 900.0, 2_000.0, 8_000.0, 20_000.0])
        getattr(self, "_" + self.rng.choice(self.KINDS))(duration_ms)
        return duration_ms

    def clear(self) -> None:
        """End all partitions. Paused controllers resume by themselves."""
        self.fleet.cut_links.clear()
        self.fleet.split_controllers.clear()

    def _cut_controller(self, duration_ms: float) -> None:
        number = self.rng.randrange(self.fleet.config.controllers)
        self.fleet.cut_links = {(router, number) for router in range(len(self.fleet.routers))}

    def _cut_routers(self, duration_ms: float) -> None:
        some = self.rng.sample(range(len(self.fleet.routers)), max(1, len(self.fleet.routers) // 3))
        controllers = range(self.fleet.config.controllers)
        self.fleet.cut_links = {(router, number) for router in some for number in controllers}

    def _cut_all(self, duration_ms: float) -> None:
        routers, controllers = range(len(self.fleet.routers)), range(self.fleet.config.controllers)
        self.fleet.cut_links = {(router, number) for router in routers for number in controllers}

    def _split(self, duration_ms: float) -> None:
        self.fleet.split_controllers = set(
            self.rng.sample(range(self.fleet.config.controllers), self.fleet.config.controllers // 2)
        )

    def _freeze(self, duration_ms: float) -> None:
        self.fleet.freeze_controller(self.rng.randrange(self.fleet.config.controllers), duration_ms)

    def _restart_controller(self, duration_ms: float) -> None:
        number = self.rng.randrange(self.fleet.config.controllers)
        self.fleet.kill_controller(number)
        self.fleet.start_controller(number)

    def _restart_all(self, duration_ms: float) -> None:
        for number in range(self.fleet.config.controllers):
            self.fleet.kill_controller(number)
            self.fleet.start_controller(number)

    def _restart_router(self, duration_ms: float) -> None:
        self.fleet.restart_router(self.rng.randrange(len(self.fleet.routers)))

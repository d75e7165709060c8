"""Simulates a fleet during one roll-out: routers, upstreams of two versions, and the primary controller.

Time advances in steps. All random numbers come from the scenario's seed. `rollout_curves.py` prints detection curves.
"""

from __future__ import annotations

import math
from random import Random

import msgspec
from larkweir_rollouts import canary, orders, schedule, verdict
from larkweir_rollouts.pooling import PooledSamples
from larkweir_rollouts.samples import Histogram, RolloutReport, RouteSamples, TrackSamples, bucket_of
from larkweir_rollouts.state import Rollout, RolloutState
from rollout_fleet import STEP_S, ReplicatedState, Request, Result, Router
from rollout_scenarios import Disturbance, Scenario

STEPS_PER_REPORT = 2
PROPAGATION_STEPS = 2  # from a change of the roll-out until routers apply it
DISTURBANCE_S = 3.0  # duration of crashes, bad networks and lost connections
RUN_AFTER_DEADLINE_S = 5.0
RUN_AFTER_END_S = 1.0
# Typical time until the end of an answer.
ROUTE_MS = {"digest": 1200.0, "brief": 700.0, "ask": 1500.0, "lookup": 30.0}
FIRST_BYTE_MS = {"digest": 300.0, "brief": 200.0, "ask": 60.0, "lookup": 28.0}
SPREAD = 0.3  # standard deviation of the logarithm of durations
COLD_CACHE_S = 3.0
LOADED_FRACTION = 0.6  # of an upstream's usual number of requests in flight
BAD_NETWORK_FAILURES = 0.2
ORDERED_UNIX_MS = 1e12


class Simulation:
    """The simulation of one scenario."""

    def __init__(
        self, scenario: Scenario, service: str = "chat", replicated: ReplicatedState | None = None
    ) -> None:
        self.service = service
        self.scenario = scenario
        self.rng = Random(scenario.seed * 7919 + 1)
        self.now_s = 0.0
        self.step = 0
        self.routers = [Router(f"router-{number}") for number in range(scenario.router_count)]
        order = Rollout(
            service, "v2", scenario.duration_s, ORDERED_UNIX_MS, target_weight=schedule.CANARY_WEIGHT
        )
        self.order = order
        self.replicated = replicated or ReplicatedState()
        placed = orders.place_order(self.replicated.rollouts, order)
        assert isinstance(placed, tuple)
        self.replicated.rollouts = placed
        self.history = [self.rollout]
        self.pool = PooledSamples()
        self.in_flight: set[Request] = set()
        self.in_flight_by_upstream: dict[str, int] = {}
        self.crashed_until_s: dict[str, float] = {}
        self.result = Result()
        self.has_disturbance_begun = False
        for router in self.routers:
            router.report = RolloutReport(order.order_id)

    @property
    def rollout(self) -> Rollout:
        found = orders.rollout_of(self.replicated.rollouts, self.service)
        assert found is not None
        return found

    def run(self) -> Result:
        """Run until shortly after the end of the roll-out."""
        while not self.is_over:
            self.run_step()
        return self.final_result()

    @property
    def is_over(self) -> bool:
        end_s = self.scenario.duration_s + RUN_AFTER_DEADLINE_S
        return self.now_s >= min(end_s, self.result.end_s + RUN_AFTER_END_S)

    def run_step(self) -> None:
        """Simulate the next step, a tenth of a second."""
        self.step += 1
        self.now_s = self.step * STEP_S
        self._finish_requests()
        self._apply_disturbance()
        self._propagate()
        self._send_new_requests()
        if self.step % STEPS_PER_REPORT == 0:
            self._report()
            self._decide()

    def final_result(self) -> Result:
        """Return the result, with the remaining traffic until the deadline added to `sends`."""
        left_s = max(0.0, self.scenario.duration_s - self.now_s)
        self.result.sends += left_s * self.scenario.rate_per_s
        return self.result

    def ready_upstreams(self, version: str) -> list[str]:
        """Return the ready upstreams of a version."""
        if version == "v2" and self.now_s < self.scenario.ready_after_s:
            return []
        if version == "v1" and self.result.state is RolloutState.COMPLETED:
            return []
        names = [f"{version}-{number}" for number in range(self.scenario.upstream_count)]
        return [name for name in names if self.crashed_until_s.get(name, 0.0) <= self.now_s]

    def _send_new_requests(self) -> None:
        """Send the new requests of this step. Their number varies randomly by one."""
        targets, others = self.ready_upstreams("v2"), self.ready_upstreams("v1")
        canaries = {
            weight: sorted(canary.canary_upstreams(targets, len(others), weight))
            for weight in {router.weight for router in self.routers}
        }
        expected = self.scenario.rate_per_s * STEP_S
        for _ in range(int(expected) + (self.rng.random() < expected % 1.0)):
            router = self.rng.choice(self.routers)
            wants_target = self.rng.random() < router.weight
            is_target = bool(targets) and (wants_target or not others)
            chosen = canaries[router.weight] if is_target else others
            if chosen:
                self._send_request(router, self.rng.choice(self.scenario.routes), is_target, chosen)

    def _send_request(self, router: Router, route: str, is_target: bool, upstreams: list[str]) -> None:
        candidates = self.rng.sample(upstreams, min(2, len(upstreams)))
        upstream = min(candidates, key=lambda name: self.in_flight_by_upstream.get(name, 0))
        first_byte_ms, total_ms, has_failed, is_bad = self._outcome(router, route, is_target, upstream)
        end_step = self.step + max(1, math.ceil(total_ms / 1000.0 / STEP_S))
        request = Request(
            router,
            route,
            upstream,
            is_target,
            first_byte_ms,
            total_ms,
            end_step,
            has_failed,
            is_bad,
            self.step,
        )
        self.in_flight.add(request)
        self.in_flight_by_upstream[upstream] = self.in_flight_by_upstream.get(upstream, 0) + 1
        self._track(request).in_flight += 1
        if self.now_s <= self.scenario.duration_s:
            self.result.sends += 1
        if is_target and router.is_connected:
            self.result.target_sends += self.now_s <= self.scenario.duration_s
            self.result.last_target_send_s = self.now_s

    def _outcome(
        self, router: Router, route: str, is_target: bool, upstream: str
    ) -> tuple[float, float, bool, bool]:
        """Draw the durations of an answer, whether it fails, and whether the version makes it bad."""
        factor = math.exp(self.rng.gauss(0.0, SPREAD))
        first_byte_ms, total_ms = FIRST_BYTE_MS[route] * factor, ROUTE_MS[route] * factor
        scenario = self.scenario
        is_cold = is_target and scenario.disturbance is Disturbance.COLD_CACHES
        if is_cold and self.now_s < scenario.ready_after_s + COLD_CACHE_S:
            first_byte_ms *= self.rng.uniform(2.0, 5.0)
        has_bad_network = (
            scenario.disturbance is Disturbance.ROUTER_WITH_BAD_NETWORK and self._is_during_disturbance()
        )
        has_failed = (
            has_bad_network and router is self.routers[0] and self.rng.random() < BAD_NETWORK_FAILURES
        )
        if not is_target or not self._is_version_bad(route, upstream):
            return first_byte_ms, total_ms, has_failed, False
        version = scenario.version
        if version.failure_share:
            is_bad = self.rng.random() < version.failure_share
            return first_byte_ms, total_ms, has_failed or is_bad, is_bad
        is_bad = self.rng.random() < version.slow_share
        slowdown = version.slowdown if is_bad else 1.0
        return first_byte_ms * slowdown, total_ms * slowdown, has_failed, is_bad

    def _is_version_bad(self, route: str, upstream: str) -> bool:
        """Whether the version is bad at present on this route and upstream."""
        scenario, version = self.scenario, self.scenario.version
        if version.is_good or self.now_s < version.onset * scenario.duration_s:
            return False
        if version.route not in ("", route):
            return False
        mean_s = sum(ROUTE_MS[name] for name in scenario.routes) / len(scenario.routes) / 1000.0
        usual_in_flight = scenario.rate_per_s * mean_s / scenario.upstream_count
        return (
            not version.is_bad_only_under_load
            or self.in_flight_by_upstream.get(upstream, 0) + 1 >= LOADED_FRACTION * usual_in_flight
        )

    def _track(self, request: Request) -> TrackSamples:
        report = request.router.report
        return report.target if request.is_target else report.others

    def _finish_requests(self) -> None:
        for request in self.in_flight:
            self._count_durations(request)
        for request in [one for one in self.in_flight if one.end_step <= self.step]:
            self._end_request(request, request.has_failed)

    def _end_request(self, request: Request, has_failed: bool) -> None:
        """End a request and count its answer at its router."""
        self.in_flight.discard(request)
        self.in_flight_by_upstream[request.upstream] -= 1
        track = self._track(request)
        track.in_flight -= 1
        samples = track.routes.setdefault(request.route, RouteSamples())
        if has_failed:
            samples.failed += 1
            track.failures_by_upstream[request.upstream] = (
                track.failures_by_upstream.get(request.upstream, 0) + 1
            )
        else:
            samples.answered += 1
        if request.is_bad:
            self.result.bad_answers += 1
            self.result.first_bad_answer_s = min(self.result.first_bad_answer_s, self.now_s)
            if self.result.bad_answers == 50:
                self.result.fiftieth_bad_answer_s = self.now_s

    def _count_durations(self, request: Request) -> None:
        """Count durations as soon as they are known, so that slow answers are detected before they end."""
        if request.has_failed:
            return
        samples = self._track(request).routes.setdefault(request.route, RouteSamples())
        if not request.is_first_byte_counted and self.step >= request.first_byte_step:
            request.is_first_byte_counted = True
            _count(samples.first_byte, request.first_byte_ms)
        if not request.is_pace_counted and self.step >= request.pace_step:
            request.is_pace_counted = True
            _count(samples.pace, request.total_ms)

    def _propagate(self) -> None:
        """Connected routers apply the state of the roll-out with a delay of `PROPAGATION_STEPS`."""
        known = self.history[max(0, len(self.history) - 1 - PROPAGATION_STEPS)]
        for router in self.routers:
            if router.is_connected:
                router.weight = known.effective_weight
        self.history.append(self.rollout)

    def _report(self) -> None:
        """Connected routers report their samples to the primary."""
        self.pool.begin(self.rollout.order_id)
        for router in self.routers:
            if router.is_connected:
                sent = msgspec.json.decode(msgspec.json.encode(router.report), type=RolloutReport)
                self.pool.record(router.incarnation, sent)

    def _decide(self) -> None:
        """The primary judges the version and takes the next step."""
        if not self.rollout.is_running:
            return
        is_control_live = self.rollout.target_weight < schedule.FULL_WEIGHT
        judged = verdict.judge(self.pool, self.scenario.upstream_count, is_control_live=is_control_live)
        totals = self.pool.totals()
        connected_routers = [router for router in self.routers if router.is_connected]
        view = schedule.View(
            self.rollout,
            self.now_s,
            judged,
            totals,
            len(self.ready_upstreams("v2")),
            len(self.ready_upstreams("v1")),
            all(router.weight == self.rollout.target_weight for router in connected_routers),
            totals.others.in_flight,
        )
        change = schedule.next_step(view)
        if change is None:
            return
        self.replicated.rollouts = orders.advance(self.replicated.rollouts, change)
        if not self.rollout.is_running:
            self._end_rollout()

    def _end_rollout(self) -> None:
        self.result.state, self.result.reason = self.rollout.state, self.rollout.reason
        self.result.end_s = self.now_s
        if self.rollout.state is RolloutState.COMPLETED:
            for request in [one for one in self.in_flight if not one.is_target]:
                self.result.aborted_requests += request.router.is_connected
                self._end_request(request, True)

    def _is_during_disturbance(self) -> bool:
        begin_s = self.scenario.disturbance_at * self.scenario.duration_s
        return begin_s <= self.now_s < begin_s + DISTURBANCE_S

    def _apply_disturbance(self) -> None:
        """Begin or end the scenario's disturbance."""
        disturbance = self.scenario.disturbance
        if disturbance is Disturbance.ROUTER_DISCONNECTED:
            router, is_disconnected = self.routers[0], self._is_during_disturbance()
            if is_disconnected and router.is_connected:
                self.pool.disconnected(router.incarnation)
            router.is_connected = not is_disconnected
        if self.has_disturbance_begun or not self._is_during_disturbance():
            return
        self.has_disturbance_begun = True
        if disturbance is Disturbance.TARGET_UPSTREAM_CRASHES:
            self._crash("v2")
        elif disturbance is Disturbance.OTHER_UPSTREAM_CRASHES:
            self._crash("v1")
        elif disturbance is Disturbance.PRIMARY_CHANGES:
            self.pool = PooledSamples()
        elif disturbance is Disturbance.ROUTER_RESTARTS:
            self._restart(self.routers[0])
        elif disturbance in (Disturbance.ORDER_REPEATED, Disturbance.CONFLICTING_ORDER):
            self._place_second_order(disturbance)

    def _crash(self, version: str) -> None:
        """Crash the busiest upstream of a version. Its requests fail."""
        ready = self.ready_upstreams(version)
        if not ready:
            return
        crashed = max(ready, key=lambda name: self.in_flight_by_upstream.get(name, 0))
        self.crashed_until_s[crashed] = self.now_s + DISTURBANCE_S
        for request in [one for one in self.in_flight if one.upstream == crashed]:
            self._end_request(request, True)

    def _restart(self, router: Router) -> None:
        for request in [one for one in self.in_flight if one.router is router]:
            self.in_flight.discard(request)
            self.in_flight_by_upstream[request.upstream] -= 1
        self.pool.disconnected(router.incarnation)
        router.restarts += 1
        router.report = RolloutReport(self.order.order_id)

    def _place_second_order(self, disturbance: Disturbance) -> None:
        """Place the same order again, or one for another version. Neither may change a running roll-out."""
        target = "v2" if disturbance is Disturbance.ORDER_REPEATED else "v3"
        must_change_nothing = self.rollout.is_running or target == "v2"
        second_order = Rollout(
            self.service, target, 9.0, ORDERED_UNIX_MS + 3_000.0, target_weight=schedule.CANARY_WEIGHT
        )
        placed = orders.place_order(self.replicated.rollouts, second_order)
        if must_change_nothing and isinstance(placed, tuple):
            self.result.is_order_replaced = placed != self.replicated.rollouts
            self.replicated.rollouts = placed


def _count(histogram: Histogram, duration_ms: float) -> None:
    bucket = bucket_of(duration_ms)
    histogram[bucket] = histogram.get(bucket, 0) + 1

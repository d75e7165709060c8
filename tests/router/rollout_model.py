"""The model of `router_model`, extended by two versions of upstreams, roll-outs between them and a simulated clock."""

from __future__ import annotations

import msgspec
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.configuration.documents import ROLLOUTS_KEY
from larkweir.cluster.messages import ConfigUpdate
from tests.router.router_model import KINDS, FakeUpstream, RouterHarness, SentRequest

OLD, NEW = "v1", "v2"
OLD_IDS, NEW_IDS = ("i0", "i1"), ("t0", "t1", "t2")
TARGET_MS = 100.0  # latency target of all routes
TIMEOUT_MS = 60_000.0
RUNNING, COMPLETED, ROLLED_BACK = RolloutState.RUNNING, RolloutState.COMPLETED, RolloutState.ROLLED_BACK


def rollout(weight: float = 0.0, state: RolloutState = RUNNING, **other: object) -> Rollout:
    """Return a roll-out of the model's only service to the new version."""
    fields = {
        "service": "s",
        "target_version": NEW,
        "duration_s": 12.0,
        "ordered_unix_ms": 1_000.0,
        "state": state,
        "target_weight": weight,
    }
    return msgspec.convert({**fields, **other}, Rollout)


class RolloutScenario(RouterHarness):
    """The model with two upstreams of the old version and, by default, three of the new one."""

    def __init__(self, new_ids: tuple[str, ...] = NEW_IDS, *, has_old: bool = True) -> None:
        super().__init__()
        self.now_s = 1_000.0
        self.loop.time = lambda: self.now_s  # type: ignore[method-assign]
        self._sequence = 1
        self.list_upstreams(OLD, OLD_IDS, UpstreamState.READY if has_old else UpstreamState.GONE)
        self.list_upstreams(NEW, new_ids)

    def list_upstreams(
        self, version: str, ids: tuple[str, ...], state: UpstreamState = UpstreamState.READY
    ) -> None:
        """Report these upstreams to the router, in the given state."""
        listed = [self._upstream(id_, version, state) for id_ in ids]
        self.model.instances.update(ids)
        self.do(lambda: self.model.plane.upstreams.update(listed, self.now_s * 1000.0))

    def _upstream(self, id_: str, version: str, state: UpstreamState) -> Upstream:
        number = (*OLD_IDS, *NEW_IDS).index(id_) + 1
        return Upstream(
            id_,
            "s",
            f"127.0.0.1:{number}",
            "z",
            sequence=int(state) + 1,
            state=state,
            reported_version=version,
        )

    def order(self, *rollouts: Rollout) -> list[Rollout]:
        """Apply a configuration with these roll-outs. Returns the result of `apply_rollouts`."""
        self._sequence += 1
        routes = [
            {
                "name": name,
                "host": "a",
                "path_prefix": f"/{name}/",
                "backend": "s",
                "timeout_ms": TIMEOUT_MS,
                "target_latency_ms": TARGET_MS,
                **kind,
            }
            for name, kind in KINDS.items()
        ]
        document = {"generation": 1, "routes": routes, "services": [{"name": "s"}], ROLLOUTS_KEY: rollouts}
        update = ConfigUpdate(self._sequence, -1, msgspec.Raw(msgspec.json.encode(document)))
        plane = self.model.plane
        assert self.do(lambda: plane.configuration.apply(update))
        return self.do(lambda: plane.apply_rollouts(self.now_s * 1000.0))

    def wait(self, seconds: float) -> None:
        """Advance the clock and run the timers that are due."""
        self.now_s += seconds
        self.do(lambda: None)

    def request_at(self, kind: str) -> tuple[SentRequest, str]:
        """Send a request on a new connection. Returns it and the id of its upstream; empty if it has none."""
        before = set(self.waiting())
        sent = self.request(self.client(), kind)
        at = [upstream for upstream in self.waiting() if upstream not in before]
        return sent, instance(at[0]) if at else ""

    def report(self) -> RolloutReport | None:
        """Return the report that would be sent on a new connection to a controller."""
        found = self.model.plane.rollout_samples.changed_since(0)
        return msgspec.json.decode(msgspec.json.encode(found["s"]), type=RolloutReport) if found else None


def instance(upstream: FakeUpstream) -> str:
    """Return the id of the upstream whose request this connection carries."""
    assert upstream.run is not None
    return upstream.run.headers["x-target-instance"]

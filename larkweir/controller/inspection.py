"""The state that a controller shows operators: `/status`, `/upstreams` and `/metrics` at the control address."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from larkweir_registry.records import UpstreamState
from larkweir_replication.replica import Replica

from larkweir.cluster.http_server import Response
from larkweir.controller.clock import now_ms
from larkweir.controller.metrics import METRICS_CONTENT_TYPE, Metric, encode
from larkweir.controller.pull_service import PublishedState
from larkweir.controller.quota_metrics import quota_metrics
from larkweir.controller.rollout_metrics import rollout_metrics
from larkweir.controller.subscriptions import Subscriptions


class RouterStatus(msgspec.Struct, frozen=True):
    """A connected router, and how many sequence numbers its configuration is behind this controller's."""

    node: str
    configuration_sequence: int = msgspec.field(name="configuration")
    sequences_behind: int = msgspec.field(name="behind")


class ControllerStatus(msgspec.Struct, frozen=True):
    """The body of `GET /status`. `sequence`: sequence number of the last committed state; -1 for none."""

    node: str
    role: str
    primary: str | None
    epoch: int
    sequence: int
    members: list[str]
    is_changing_members: bool = msgspec.field(name="changing_members")
    linked_controllers: list[str] = msgspec.field(name="linked")
    configuration_sequence: int = msgspec.field(name="configuration")
    upstreams_ready: int
    routers: list[RouterStatus]


class UpstreamStatus(msgspec.Struct, frozen=True):
    """One item of the body of `GET /upstreams`."""

    id: str
    service: str
    address: str
    zone: str
    state: str
    has_timed_out: bool = msgspec.field(name="silent")
    heartbeat_sequence: int = msgspec.field(name="sequence")
    waiting_tokens: int


class Inspection:
    """Reads the state of a controller without changing it."""

    def __init__(
        self, node: str, replica: Replica, state: PublishedState, subscriptions: Subscriptions
    ) -> None:
        """All arguments belong to the same controller."""
        self._node = node
        self._replica = replica
        self._state = state
        self._subscriptions = subscriptions

    def status(self, linked: list[str]) -> ControllerStatus:
        """Returns the controller's status. `linked`: the controllers that this one is connected to."""
        replica = self._replica
        accepted, committed = replica.accepted, replica.committed
        newest = self._state.configuration.sequence
        routers = [
            RouterStatus(node, sequence, newest - sequence)
            for node, sequence in sorted(self._subscriptions.router_sequences().items())
        ]
        return ControllerStatus(
            node=self._node,
            role=replica.status.value,
            primary=replica.primary,
            epoch=replica.promised.number,
            sequence=committed.sequence if committed else -1,
            members=list(accepted.members) if accepted else [],
            is_changing_members=bool(accepted and accepted.previous_members),
            linked_controllers=linked,
            configuration_sequence=newest,
            upstreams_ready=self._count_ready(),
            routers=routers,
        )

    def _count_ready(self) -> int:
        upstreams = self._state.registry.upstreams.values()
        return sum(
            1
            for upstream in upstreams
            if upstream.state is UpstreamState.READY and not upstream.has_timed_out
        )

    def upstreams(self) -> list[UpstreamStatus]:
        """Returns known upstreams, sorted by service and id. Upstreams that are gone remain listed for a while."""
        waiting = self._state.prefill_load.tokens_by_engine
        upstreams = self._state.registry.upstreams.values()
        return [
            UpstreamStatus(
                upstream.id,
                upstream.service,
                upstream.address,
                upstream.zone,
                upstream.state.name.lower(),
                upstream.has_timed_out,
                upstream.sequence,
                waiting.get(upstream.id, 0),
            )
            for upstream in sorted(upstreams, key=lambda upstream: (upstream.service, upstream.id))
        ]

    def metrics(self, linked: list[str]) -> Sequence[Metric]:
        """Returns all gauges in the order of the output."""
        status = self.status(linked)
        lag = max((router.sequences_behind for router in status.routers), default=0)
        timed_out = sum(upstream.has_timed_out for upstream in self._state.registry.upstreams.values())
        waiting = sum(self._state.prefill_load.tokens_by_engine.values())
        return (
            Metric("primary", "1 where this controller is the primary", status.primary == self._node),
            Metric("epoch", "epoch that this controller has promised", status.epoch),
            Metric("sequence", "sequence of the last committed state", status.sequence),
            Metric("members", "controllers that vote", len(status.members)),
            Metric("linked_controllers", "controllers that this one has a connection to", len(linked)),
            Metric("routers", "routers that are connected", len(status.routers)),
            Metric("router_lag_max", "sequences that the oldest configuration of a router is behind", lag),
            Metric("upstreams_ready", "upstreams that are ready and heard of", status.upstreams_ready),
            Metric("upstreams_silent", "upstreams whose heartbeats have stopped", timed_out),
            Metric("waiting_tokens", "prompt tokens that wait to be read", waiting),
            *quota_metrics(self._state.quotas, now_ms()),
            *rollout_metrics(self._state.rollouts, self._state.rollout_samples),
        )

    def answer_status(self, linked: list[str]) -> Response:
        """Returns the response to `GET /status`."""
        return Response(200, msgspec.json.encode(self.status(linked)))

    def answer_upstreams(self) -> Response:
        """Returns the response to `GET /upstreams`."""
        return Response(200, msgspec.json.encode(self.upstreams()))

    def answer_metrics(self, linked: list[str]) -> Response:
        """Returns the response to `GET /metrics`, in the Prometheus text format."""
        return Response(200, encode(self.metrics(linked)), METRICS_CONTENT_TYPE)

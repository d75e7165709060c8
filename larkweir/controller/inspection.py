"""What a controller tells operators of itself: `/status`, `/upstreams`, `/metrics` of the control address."""

from __future__ import annotations

import msgspec
from larkweir_registry.records import State
from larkweir_registry.registry import Registry
from larkweir_replication.replica import Replica

from larkweir.cluster.http_server import Response
from larkweir.controller.pull_service import PullService


class RouterStatus(msgspec.Struct, frozen=True):
    """A router that is connected. `behind`: how many sequences its configuration is older than this controller's."""

    node: str
    configuration_sequence: int = msgspec.field(name="configuration")
    sequences_behind: int = msgspec.field(name="behind")


class ControllerStatus(msgspec.Struct, frozen=True):
    """What `/status` gives."""

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
    """What `/upstreams` gives of each."""

    id: str
    service: str
    address: str
    zone: str
    state: str
    is_silent: bool = msgspec.field(name="silent")
    heartbeat_sequence: int = msgspec.field(name="sequence")
    waiting_tokens: int


class Inspection:
    """Reads the parts of a controller; changes nothing."""

    def __init__(self, node: str, replica: Replica, registry: Registry, pulls: PullService) -> None:
        """All are the controller's own."""
        self._node = node
        self._replica = replica
        self._registry = registry
        self._pulls = pulls

    def status(self, linked: list[str]) -> ControllerStatus:
        """`linked`: the controllers to which there is a connection."""
        replica, pulls = self._replica, self._pulls
        accepted, committed = replica.accepted, replica.committed
        routers = [
            RouterStatus(node, sequence, pulls.sequence - sequence)
            for node, sequence in sorted(pulls.router_sequences().items())
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
            configuration_sequence=pulls.sequence,
            upstreams_ready=self._count(State.READY),
            routers=routers,
        )

    def _count(self, state: State) -> int:
        return sum(1 for one in self._registry.upstreams.values() if one.state is state and not one.silent)

    def upstreams(self) -> list[UpstreamStatus]:
        """All that are known, those that have gone included for a while."""
        return [
            UpstreamStatus(
                one.id,
                one.service,
                one.address,
                one.zone,
                one.state.name.lower(),
                one.silent,
                one.sequence,
                self._pulls.prefill_load.get(one.id, 0),
            )
            for one in sorted(self._registry.upstreams.values(), key=lambda one: (one.service, one.id))
        ]

    def answer_status(self, linked: list[str]) -> Response:
        """For `GET /status`."""
        return Response(200, msgspec.json.encode(self.status(linked)))

    def answer_upstreams(self) -> Response:
        """For `GET /upstreams`."""
        return Response(200, msgspec.json.encode(self.upstreams()))

    def answer_metrics(self, linked: list[str]) -> Response:
        """For `GET /metrics`, in the text format of Prometheus."""
        from prometheus_client import (
            CollectorRegistry,
            Gauge,
            generate_latest,
        )  # only whoever asks pays for it

        status = self.status(linked)
        figures = {
            "primary": ("1 where this controller is the primary", status.primary == self._node),
            "epoch": ("epoch that this controller has promised", status.epoch),
            "sequence": ("sequence of the last committed state", status.sequence),
            "members": ("controllers that vote", len(status.members)),
            "linked_controllers": (
                "controllers that this one has a connection to",
                len(status.linked_controllers),
            ),
            "routers": ("routers that are connected", len(status.routers)),
            "router_lag_max": (
                "sequences that the oldest configuration of a router is behind",
                max((router.sequences_behind for router in status.routers), default=0),
            ),
            "upstreams_ready": ("upstreams that are ready and heard of", status.upstreams_ready),
            "upstreams_silent": (
                "upstreams whose heartbeats have stopped",
                sum(one.silent for one in self._registry.upstreams.values()),
            ),
            "waiting_tokens": (
                "prompt tokens that wait to be read",
                sum(self._pulls.prefill_load.values()),
            ),
        }
        registry = CollectorRegistry()
        for name, (text, value) in figures.items():
            Gauge(f"larkweir_{name}", text, registry=registry).set(float(value))
        return Response(200, generate_latest(registry), "text/plain; version=0.0.4")

"""Dispatch of messages from other processes to the parts of a controller."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_registry.failure_detector import FailureDetector

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import (
    Delta,
    HeartbeatReport,
    Hello,
    Message,
    NodeRole,
    PlacementRequest,
    PrefillQueueUpdate,
    PrimaryRequest,
    PrimaryResponse,
    Pull,
    QuotaRefund,
    QuotaRequest,
    Replication,
)
from larkweir.controller.background_tasks import BackgroundTasks
from larkweir.controller.clock import now_ms
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.known_controllers import KnownControllers
from larkweir.controller.placement_requests import PlacementRequests
from larkweir.controller.primary_client import PrimaryClient
from larkweir.controller.pull_service import PullService
from larkweir.controller.quota_accounting import QuotaAccounting
from larkweir.controller.registry_sync import RegistrySync
from larkweir.controller.replica_driver import ReplicaDriver


@dataclass(frozen=True, slots=True)
class MessageDispatch:
    """The parts that receive messages; all belong to the same controller."""

    known_controllers: KnownControllers
    pulls: PullService
    registry_sync: RegistrySync
    failure_detector: FailureDetector
    driver: ReplicaDriver
    placements: PlacementRequests
    quotas: QuotaAccounting
    primary: PrimaryClient
    tasks: BackgroundTasks
    rollouts: CommittedRollouts

    def receive(self, connection: Connection, message: Message) -> None:
        """Handles a message of any type. Types that only routers receive are ignored."""
        match message:
            case Hello():
                self._register_peer(connection, message)
            case Pull():
                self.pulls.pull(connection, message)
            case PrefillQueueUpdate():
                self.pulls.report_prefill(connection, message.tokens)
            case Delta():
                self.rollouts.adopt_ages(message.rollout_ages, now_ms())
                self.registry_sync.received(connection, message)
            case Replication():
                if connection.node:
                    self.driver.receive(connection.node, message.message)
            case PlacementRequest():
                connection.send(self.placements.answer(message))
            case QuotaRequest():
                response = self.quotas.answer(message, now_ms())
                if response is not None:
                    connection.send(response)
            case QuotaRefund():
                self.quotas.refund(message, now_ms())
            case HeartbeatReport():
                self.failure_detector.record_peer_heartbeats(message.sequences, now_ms())
                if message.durable_vector is not None:
                    self.pulls.report_durable(connection, message.durable_vector)
            case PrimaryRequest():
                self.tasks.start("primary_request", self.primary.serve(connection, message))
            case PrimaryResponse():
                self.primary.answered(message)

    def _register_peer(self, connection: Connection, hello: Hello) -> None:
        connection.node, connection.incarnation = hello.node, hello.incarnation
        self.pulls.connected(connection, hello.role)
        if hello.role is NodeRole.CONTROLLER:
            self.known_controllers.add(hello.node)

"""Hands this process's sockets and state to a successor: a child process, or one that somebody else has started.

Imported where a process may get a successor.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from larkweir.lifecycle import commands, handover
from larkweir.lifecycle.channel import Message, MessageKind, Payload, TakenIds
from larkweir.lifecycle.events import (
    SuccessorAccepted,
    SuccessorEvent,
    SuccessorLost,
    SuccessorReady,
    SuccessorStopping,
    UpgradeRequested,
)
from larkweir.lifecycle.replica_handoff import MarkDelivery, ReplicaHandoff

if TYPE_CHECKING:  # imported where they are switched on
    from larkweir.coordination.owners import OwnersPlugin
    from larkweir.lifecycle.host import Host
    from larkweir.lifecycle.upgrade import UpgradePeer

REPORTS: Mapping[MessageKind, Callable[[int], SuccessorEvent]] = {
    MessageKind.READY: SuccessorReady,
    MessageKind.TOOK: SuccessorAccepted,
    MessageKind.BYE: SuccessorStopping,
}


class _Active(NamedTuple):
    serial: int
    process: handover.Successor | UpgradePeer


class OutgoingHandover:
    """The successor that is alive, if there is one, and the process that has asked to become one."""

    def __init__(self, host: Host, arguments: Sequence[str]) -> None:
        """`arguments` start a successor like this process."""
        self._host = host
        self._arguments = arguments
        self._active: _Active | None = None
        self._upgrade_peer: UpgradePeer | None = None
        self._replica_handoff: ReplicaHandoff | None = None  # of a keeper's file, where this process has one
        self._ids_wanted_by = 0  # the serial of the successor that may be told of ids

    @property
    def is_active(self) -> bool:
        """Whether there is a successor."""
        return self._active is not None

    @property
    def pid(self) -> int:
        """The successor's process id; 0 where there is none, or it is nobody's child here."""
        return self._active.process.pid if self._active is not None else 0

    def execute(self, command: commands.HandoverCommand) -> None:
        """Carry out a command of the state machine."""
        match command:
            case commands.StartSuccessor(serial=serial):
                self._host.run_task(self._start(serial))
            case commands.AcceptUpgrade(serial=serial):
                self._host.run_task(self._accept_upgrade(serial))
            case commands.RejectUpgrade():
                self._reject_upgrade()
            case commands.CommitHandover(serial=serial):
                self._commit(serial)
            case commands.ForwardReload(serial=serial):
                self._send(serial, MessageKind.RELOAD)
            case commands.AbandonSuccessor(serial=serial, gracefully=gracefully):
                self._abandon(serial, gracefully)

    # ------------------------------------------------ a successor that this process starts

    async def _start(self, serial: int) -> None:
        on_message, on_end = partial(self._on_message, serial), partial(self._on_end, serial)
        sockets, clock = self._host.sockets, self._host.node.clock
        try:
            child = await handover.Successor.start(self._arguments, sockets, clock, on_message, on_end)
        except OSError as problem:
            self._host.post(SuccessorLost(serial, f"it could not be started: {problem}"))
            return
        if not self._host.is_waiting_for(serial):
            child.abandon(gracefully=False)  # abandoned while it was being started
            return
        self._active = _Active(serial, child)
        child.channel.send(MessageKind.STATE, self._host.node.handover_state(share=False))

    # ------------------------------------------------ one that somebody else has started

    def on_upgrade_peer(self, peer: UpgradePeer) -> None:
        """A process asks to take over; one at a time."""
        if self._upgrade_peer is not None:
            peer.reject()
            return
        self._upgrade_peer = peer
        self._host.post(UpgradeRequested())

    async def _accept_upgrade(self, serial: int) -> None:
        peer, self._upgrade_peer = self._upgrade_peer, None
        assert peer is not None
        on_message, on_end = partial(self._on_message, serial), partial(self._on_end, serial)
        try:
            await peer.accept(self._host.sockets, on_message, on_end)
        except OSError as problem:
            peer.reject()
            self._host.post(SuccessorLost(serial, f"it could not be welcomed: {problem}"))
            return
        if not self._host.is_waiting_for(serial):
            peer.abandon(gracefully=False)
            return
        self._active = _Active(serial, peer)
        node = self._host.node
        node.share_limits(2)  # the limits hold for both together
        peer.channel.send(MessageKind.STATE, node.handover_state(share=False))

    def _reject_upgrade(self) -> None:
        if self._upgrade_peer is not None:
            self._upgrade_peer.reject()
            self._upgrade_peer = None

    # ------------------------------------------------ messages

    def _send(self, serial: int, kind: MessageKind, payload: Payload = None) -> None:
        if self._active is not None and self._active.serial == serial:
            self._active.process.channel.send(kind, payload)

    def _commit(self, serial: int) -> None:
        """Send the newest state; the ids of requests that are taken here from now on follow."""
        if self._active is None or self._active.serial != serial:
            return
        node, channel = self._host.node, self._active.process.channel
        channel.send(
            MessageKind.GO, node.handover_state()._replace(paused=self._host.paused, accepts_ids=True)
        )
        if self._ids_wanted_by == serial:
            node.exchange_ids(serial, channel.send_ids)

    def _on_message(self, serial: int, message: Message) -> None:
        if isinstance(message.payload, TakenIds):
            if message.kind is MessageKind.READY:
                self._ids_wanted_by = serial
            elif self._host.node.peer_request_ids is not None:
                self._host.node.peer_request_ids.receive(serial, message.payload)
        if message.kind in REPORTS:
            self._host.post(REPORTS[message.kind](serial))
        is_waited_for = self._host.is_waiting_for(serial)
        if message.kind is MessageKind.TOOK and self._replica_handoff is not None and is_waited_for:
            self._deliver(self._replica_handoff.on_accepted(serial, message.payload))

    # ------------------------------------------------ the end of a successor

    def _abandon(self, serial: int, gracefully: bool) -> None:
        if self._active is not None and self._active.serial == serial:
            self._active.process.abandon(gracefully)
        self._active = None
        node = self._host.node
        node.share_limits(1)  # its end changes nothing here any more
        # One that may have accepted is told of ids, and tells of its own, until it has ended.
        if node.peer_request_ids is not None and not gracefully:
            node.peer_request_ids.leave(serial)

    def _on_end(self, serial: int, reason: str) -> None:
        node = self._host.node
        if self._active is not None and self._active.serial == serial:
            self._active = None
            node.share_limits(1)
        if node.peer_request_ids is not None:
            node.peer_request_ids.leave(serial)
        self._host.post(SuccessorLost(serial, reason))

    # ------------------------------------------------ a keeper's file

    def on_accepting(self, owners: OwnersPlugin, accepting: bool) -> None:
        """What a keeper's file held is told to the successor that goes on with it; not once this process accepts again,
        when its keeper may write.
        """
        if accepting or self._replica_handoff is None:
            self._replica_handoff = ReplicaHandoff()
        handoff = self._replica_handoff
        owners.on_file_closed = lambda mark: self._deliver(handoff.on_closed(mark))

    def _deliver(self, delivery: MarkDelivery | None) -> None:
        if delivery is not None:
            self._send(delivery.serial, MessageKind.IDS_STORED, delivery.mark)

"""Takes over from a predecessor: its state, then its connections, then what it reports until it has ended.

Imported only by a process that has a predecessor.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from larkweir.lifecycle.channel import HandoverState, Message, MessageKind, ReplicaMark, TakenIds
from larkweir.lifecycle.events import ReloadRequested, StopRequested
from larkweir.lifecycle.handover import Channel

if TYPE_CHECKING:
    from larkweir.lifecycle.host import Host


class _CancelledError(Exception):
    """The predecessor has given this process up, or it was told to stop, before it has accepted anything."""


def _state_of(message: Message | None) -> HandoverState | None:
    payload = message.payload if message is not None else None
    return payload if isinstance(payload, HandoverState) else None


class IncomingHandover:
    """The handover to this process, from the start of the channel to the predecessor's end."""

    STATE_TIMEOUT_S = 5.0  # for the predecessor to send its state
    UPGRADE_TIMEOUT_MS = (
        3_000.0  # for one that did not start this process to hand over; the process is due in 6 s
    )
    POLL_INTERVAL_S = 0.010  # between two looks whether this process can serve, or was told to stop
    PREDECESSOR = 0  # its number among the processes beside this one; successors have theirs from 1 on

    def __init__(self, host: Host, is_upgrade: bool) -> None:
        """`is_upgrade`: the predecessor is a process that has not started this one."""
        self.is_upgrade = is_upgrade
        self.starts_paused = False  # the predecessor was paused, and this process goes on so
        self._host = host
        self._lost = False  # the channel has ended, and all that came before was handled
        self._messages: asyncio.Queue[Message | None] = asyncio.Queue()  # None: the channel has ended
        self._channel: Channel

    async def run(self, sock: socket.socket) -> bool:
        """Start from the predecessor's state, and accept once it allows that; whether this process is to run."""
        self._channel = await Channel.on(sock, self._on_message, self._on_end)
        first = await self._receive_first()
        if self._host.stop_requested or (first is not None and first.kind is MessageKind.GIVE_UP):
            return False
        self._start(_state_of(first))
        try:
            last = await self._wait_for_go(first)
        except _CancelledError:
            self._host.discard()
            return False
        self._take_over(_state_of(last))
        return True

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    def report_stopping(self) -> None:
        """Say that this process listens no longer."""
        self._channel.send(MessageKind.BYE)

    def _on_message(self, message: Message) -> None:
        self._messages.put_nowait(message)

    def _on_end(self, reason: str) -> None:
        self._messages.put_nowait(None)

    # ------------------------------------------------ before this process accepts

    async def _receive_first(self) -> Message | None:
        try:
            async with asyncio.timeout(self.STATE_TIMEOUT_S):
                return self._received(await self._messages.get())
        except TimeoutError:
            return None  # it may hang: what it sends later counts

    def _received(self, message: Message | None) -> Message | None:
        """Note where a message is the end of the channel."""
        self._lost = message is None
        return message

    def _start(self, state: HandoverState | None) -> None:
        self._host.build_node(state)
        node = self._host.node
        if node.owners is not None:
            node.owners.expect_fingerprint()
        self._host.open_sockets()
        if state is None:  # nobody is left to say what it knew: as at any start
            node.begin()
        if self.is_upgrade:
            node.share_limits(2)

    async def _wait_for_go(self, first: Message | None) -> Message | None:
        """The predecessor's last message before this process accepts: "go", none where it is lost, or, where the
        predecessor of an upgrade hangs, whatever came last. _CancelledError where this process is not to run.
        """
        node = self._host.node
        message = first
        timeout_ms = node.clock.now_ms() + self.UPGRADE_TIMEOUT_MS
        ready_sent = False
        receiving = asyncio.ensure_future(self._messages.get())
        while not self._lost and (message is None or message.kind is not MessageKind.GO):
            if not ready_sent and node.dispatcher.ready:
                ready_sent = True
                self._channel.send(MessageKind.READY, TakenIds())
            await asyncio.wait((receiving,), timeout=self.POLL_INTERVAL_S)
            if self._host.stop_requested:
                receiving.cancel()
                raise _CancelledError
            if not receiving.done():
                if self.is_upgrade and node.clock.now_ms() > timeout_ms:
                    break  # both may accept
                continue
            message = self._received(receiving.result())
            self._on_early_message(message)
            receiving = asyncio.ensure_future(self._messages.get())
        receiving.cancel()
        return message

    def _on_early_message(self, message: Message | None) -> None:
        if message is None:
            return
        if message.kind is MessageKind.GIVE_UP:
            raise _CancelledError
        if message.kind is MessageKind.STATE and isinstance(message.payload, HandoverState):
            self._host.node.adopt(message.payload)  # late: it may never come to say "go"

    def _take_over(self, state: HandoverState | None) -> None:
        node = self._host.node
        if state is not None:
            node.adopt(state)
            self.starts_paused = state.paused and self.is_upgrade
            self._exchange_ids(state)
        self._host.accept()
        if self._lost:
            self._host.reclaim_limits()
            self._host.log("handover: the predecessor is gone; this life takes over")
        self._channel.send(MessageKind.TOOK, ReplicaMark() if node.owners is not None else None)
        self._host.run_task(self._listen())

    # ------------------------------------------------ while both serve

    async def _listen(self) -> None:
        """Handle the predecessor's messages until it is gone."""
        while True:
            message = await self._messages.get()
            if message is None:
                self._on_predecessor_lost()
                return
            self._handle(message)

    def _handle(self, message: Message) -> None:
        node = self._host.node
        match message:
            case Message(kind=MessageKind.RELOAD):
                self._host.post(ReloadRequested())
            case Message(kind=MessageKind.SEEN, payload=TakenIds() as taken):
                if node.peer_request_ids is not None:
                    node.peer_request_ids.receive(self.PREDECESSOR, taken)
            case Message(kind=MessageKind.GO, payload=HandoverState() as state):
                self._on_late_go(state)
            case Message(
                kind=MessageKind.IDS_STORED, payload=ReplicaMark() as kept
            ) if node.owners is not None:
                node.owners.on_predecessor_closed(kept.mark)
            case Message(kind=MessageKind.GIVE_UP):
                self._host.post(StopRequested())

    def _on_late_go(self, state: HandoverState) -> None:
        """Both accept already. What it has learned is not taken over while this process learns itself."""
        self._host.node.adopt(state._replace(learned={}))
        self._exchange_ids(state)

    def _exchange_ids(self, state: HandoverState) -> None:
        """The predecessor serves on beside this process, on the connections that it has."""
        if not state.accepts_ids:
            return
        peer_ids = self._host.node.exchange_ids(self.PREDECESSOR, self._channel.send_ids)
        # Some are open there still: guards against forgetting them for what comes here meanwhile.
        peer_ids.receive(self.PREDECESSOR, TakenIds(tuple(trace for trace, _ in state.ids)))

    def _on_predecessor_lost(self) -> None:
        node = self._host.node
        if node.peer_request_ids is not None:
            node.peer_request_ids.leave(self.PREDECESSOR)
        self._host.reclaim_limits()

"""A transport that batches small messages per receiver and can also deliver to this process itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from larkweir_owners.messages import batched
from larkweir_owners.ports import Transport

MAX_INBOX_MESSAGES = 1024  # from this process to itself


class Outbox:
    """A `Transport` that buffers outgoing messages between `gather` and `send`, and then sends small messages to one
    process as one batch. Messages to this process itself are put into `inbox`.
    """

    def __init__(self, me: str, transport: Transport) -> None:
        self.inbox: deque[bytes] = deque()
        self._me, self._transport = me, transport
        self._gathered: dict[str, list[bytes]] = {}
        self._is_gathering = False

    def gather(self) -> None:
        """Buffer outgoing messages until `send`."""
        self._is_gathering = True

    def send(self) -> None:
        """Send the buffered messages in batches, and stop buffering."""
        self._is_gathering = False
        gathered, self._gathered = self._gathered, {}
        for to, messages in gathered.items():
            for message in batched(messages):
                self._transport.post(to, message)

    def post(self, to: str, item: bytes) -> bool:
        """Send or buffer a message. A buffered message counts as sent, since every sender tolerates a lost message."""
        if to != self._me:
            if not self._is_gathering:
                return self._transport.post(to, item)
            self._gathered.setdefault(to, []).append(item)
            return True
        if len(self.inbox) >= MAX_INBOX_MESSAGES:
            return False
        self.inbox.append(item)
        return True

    def alive(self) -> Sequence[str]:
        """The processes that the underlying transport reports as alive."""
        return self._transport.alive()

"""The transport that also reaches this process itself, and sends small messages to one process together."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from larkweir_owners.messages import batched
from larkweir_owners.ports import Transport

MAX_INBOX_MESSAGES = 1024  # from this process to itself


class Outbox:
    """A `Transport`. Between `gather` and `send` it holds outgoing messages, so that small ones to one process are sent
    as one. Messages to this process itself are put into `inbox`.
    """

    def __init__(self, me: str, transport: Transport) -> None:
        self.inbox: deque[bytes] = deque()
        self._me, self._transport = me, transport
        self._gathered: dict[str, list[bytes]] = {}
        self._is_gathering = False

    def gather(self) -> None:
        """Hold outgoing messages from here on."""
        self._is_gathering = True

    def send(self) -> None:
        """Send what was held, in batches, and hold nothing any more."""
        self._is_gathering = False
        gathered, self._gathered = self._gathered, {}
        for to, messages in gathered.items():
            for message in batched(messages):
                self._transport.post(to, message)

    def post(self, to: str, item: bytes) -> bool:
        """Send a message, or hold it. What is held counts as sent: every sender can bear the loss of a message."""
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
        """As the transport says."""
        return self._transport.alive()

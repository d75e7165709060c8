"""The boundaries between the events of a `text/event-stream` (WHATWG HTML, 9.2). Pure logic."""

from __future__ import annotations

MEDIA_TYPE = b"text/event-stream"
IDENTITY_CODINGS = (b"", b"identity")  # that leave a body as it is (RFC 9110, 8.4.1)
LINE_ENDS = (b"\n", b"\r")
EMPTY_LINES = (b"\n", b"\r", b"\r\n")
# The ends of a line and of an empty line after it. A CR at the very end of the data is left out where it may belong to
# a CRLF whose LF has not been received.
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
COMMENT_MARK = b":"


def is_event_stream(content_type: bytes) -> bool:
    """Whether a `Content-Type` is that of an event stream; its parameters are ignored."""
    return content_type.partition(b";")[0].strip().lower() == MEDIA_TYPE


def is_encoded(content_encoding: bytes) -> bool:
    """Whether a `Content-Encoding` transforms the body, so that its bytes are not those of events."""
    return any(coding.strip().lower() not in IDENTITY_CODINGS for coding in content_encoding.split(b","))


def end_of_last_event(data: bytes) -> int:
    """Return the offset behind the last event that ends in `data`; 0 if none does."""
    ends = [at + len(end) for end in EVENT_ENDS if (at := data.rfind(end)) >= 0]
    return max(ends, default=0)


class EventBoundary:
    """Tells whether a stream that ends now ends between two events.

    An event ends with an empty line. What follows the last empty line is no event, so a stream that ends there was
    broken off. Comments between two events, as servers send them to keep a connection open, belong to no event.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._is_in_line = False
        self._is_comment = False  # the unfinished line is a comment
        self._is_in_event = False  # a line of the current event is complete
        self._ends_with_cr = False

    @property
    def is_between_events(self) -> bool:
        """Whether no event is incomplete."""
        return not (self._is_in_line or self._is_in_event)

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the stream."""
        if self._ends_with_cr and data.startswith(b"\n"):  # the second half of a CRLF
            self._ends_with_cr = False
            data = data[1:]
        if not data:
            return
        self._ends_with_cr = data.endswith(b"\r")
        end = end_of_last_event(data)
        if end:
            self._is_in_line = self._is_in_event = False
        for line in data[end:].splitlines(keepends=True):
            self._feed_line(line)

    def _feed_line(self, line: bytes) -> None:
        """Take a line, or the first or next part of one."""
        if not self._is_in_line:
            if line in EMPTY_LINES:
                self._is_in_event = False
                return
            self._is_comment = line.startswith(COMMENT_MARK)
        self._is_in_line = not line.endswith(LINE_ENDS)
        if not self._is_in_line and not self._is_comment:
            self._is_in_event = True

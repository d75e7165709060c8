"""A body that is forwarded while it arrives, with pieces, pauses, sinks and the body's end in any order."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larkweir.core.body_stream import BodyStream

MAX_BUFFERED = 10


SINK_BUFFER = 6  # a sink with more unsent bytes than this is full


class FakeSink:
    """A connection that writes the body. Its buffer grows with each write and shrinks when the peer reads."""

    def __init__(self) -> None:
        self.got = b""
        self.ends: list[str] = []
        self.unsent = 0
        self.max_unsent = 0
        self.stream: BodyStream | None = None  # set when the sink is attached

    @property
    def is_full(self) -> bool:
        return self.unsent > SINK_BUFFER

    def fill(self, count: int) -> None:
        held = self.is_full
        self.unsent += count
        self.max_unsent = max(self.max_unsent, self.unsent)
        if self.is_full is not held and self.stream is not None:
            self.stream.set_sink_paused(True)

    def read_by_peer(self, count: int) -> None:
        held = self.is_full
        self.unsent = max(0, self.unsent - count)
        if self.is_full is not held and self.stream is not None:
            self.stream.set_sink_paused(False)

    def write(self, data: bytes) -> None:
        assert not self.ends
        self.got += data
        self.fill(len(data))

    def write_eof(self) -> None:
        self.ends.append("whole")

    def on_body_failed(self) -> None:
        self.ends.append("broken")


class Bodies(RuleBasedStateMachine):
    """The producer pauses when it is told to. It may set its back-pressure callback at any time."""

    PIECE = 8

    def __init__(self) -> None:
        super().__init__()
        self.stream = BodyStream(None, MAX_BUFFERED)
        self.has_callback = False
        self.is_paused = False
        self.end_results: list[bool] = []
        self.stream.on_end = self.end_results.append
        self.fed = b""
        self.unregulated_bytes = 0  # bytes that were fed before the producer had set its callback
        self.sink: FakeSink | None = None
        self.is_partly_consumed = False  # a sink was detached after it had received a part

    def set_paused(self, paused: bool) -> None:
        assert paused is not self.is_paused  # called only on changes
        self.is_paused = paused

    @precondition(lambda self: not self.has_callback)
    @rule()
    def steer(self) -> None:
        self.has_callback = True
        self.stream.on_backpressure(self.set_paused)

    @precondition(lambda self: not self.stream.ended and not self.is_paused)
    @rule(data=st.binary(min_size=1, max_size=PIECE))
    def feed(self, data: bytes) -> None:
        if not self.has_callback:
            self.unregulated_bytes += len(data)
        self.stream.feed(data)
        self.fed += data

    @precondition(lambda self: not self.stream.ended)
    @rule(whole=st.booleans())
    def end(self, whole: bool) -> None:
        if whole:
            self.stream.end()
        else:
            self.stream.fail()

    @precondition(lambda self: self.sink is None and not self.is_partly_consumed)
    @rule(written=st.integers(0, 2 * SINK_BUFFER))
    def attach(self, written: int) -> None:
        """The message's head is written first, and may fill the sink's buffer before the body is attached."""
        self.sink = FakeSink()
        self.sink.fill(written)
        self.sink.stream = self.stream
        self.stream.attach(self.sink, self.sink.is_full)

    @precondition(lambda self: self.sink is not None)
    @rule(count=st.integers(1, 2 * SINK_BUFFER))
    def peer_reads(self, count: int) -> None:
        assert self.sink is not None
        self.sink.read_by_peer(count)

    @precondition(lambda self: self.sink is not None)
    @rule()
    def detach(self) -> None:
        assert self.sink is not None
        self.is_partly_consumed = bool(self.sink.got)
        self.stream.detach(self.sink)
        self.sink.stream = None
        self.sink = None

    @rule()
    def late_words_change_nothing(self) -> None:
        if self.stream.ended:
            whole = self.stream.complete
            self.stream.end()
            self.stream.fail()
            self.stream.feed(b"late")
            assert self.stream.complete is whole

    @invariant()
    def nothing_is_lost_or_doubled(self) -> None:
        stream = self.stream
        assert not (stream.complete and stream.failed)
        assert len(self.end_results) == int(stream.ended)
        if self.sink is not None:
            if not stream.failed:
                assert self.sink.got == self.fed
            assert self.sink.ends == (["whole"] if stream.complete else ["broken"] if stream.failed else [])
            assert stream.buffered_bytes == 0
        elif not self.is_partly_consumed and not stream.failed:
            assert stream.buffered_bytes == len(self.fed)
            assert not stream.consumed

    @invariant()
    def held_bytes_are_bounded(self) -> None:
        """Bounds the bytes in the stream and in its sink's buffer, apart from bytes fed before the callback was set."""
        assert self.stream.buffered_bytes < MAX_BUFFERED + self.PIECE + self.unregulated_bytes
        if self.sink is not None:
            assert (
                self.sink.max_unsent
                <= max(2 * SINK_BUFFER, MAX_BUFFERED) + self.PIECE + self.unregulated_bytes + SINK_BUFFER
            )

    @invariant()
    def the_producer_is_held_where_nobody_takes_more(self) -> None:
        stream = self.stream
        if stream.ended:
            assert not self.is_paused  # the producer must read what follows the body
        elif self.has_callback:
            full = self.sink.is_full if self.sink is not None else stream.buffered_bytes >= MAX_BUFFERED
            assert self.is_paused is full


def test_a_callback_that_is_set_on_a_full_stream_is_called_at_once() -> None:
    stream = BodyStream(None, MAX_BUFFERED)
    stream.feed(bytes(MAX_BUFFERED))
    pauses: list[bool] = []
    stream.on_backpressure(pauses.append)
    assert pauses == [True]
    stream.attach(FakeSink(), is_paused=False)
    assert pauses == [True, False]


def test_a_sink_that_is_paused_before_it_is_attached_pauses_the_producer() -> None:
    stream = BodyStream(None, MAX_BUFFERED)
    pauses: list[bool] = []
    stream.on_backpressure(pauses.append)
    stream.attach(FakeSink(), is_paused=True)
    stream.feed(b"x")
    assert pauses == [True]
    stream.set_sink_paused(False)
    assert pauses == [True, False]


TestBodies = Bodies.TestCase
TestBodies.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)

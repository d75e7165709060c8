"""A body that is passed on while it comes: every order of pieces, holds, sinks that come and go, and its end."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larkweir.core.stream import Stream

MOST = 10


class Taker:
    def __init__(self) -> None:
        self.got = b""
        self.ends: list[str] = []

    def piece(self, data: bytes) -> None:
        assert not self.ends
        self.got += data

    def finished(self) -> None:
        self.ends.append("whole")

    def broken(self) -> None:
        self.ends.append("broken")


class Bodies(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.stream = Stream(None, MOST)
        self.held = False
        self.told: list[bool] = []
        self.stream.hold = self.hold
        self.stream.on_end = self.told.append
        self.fed = b""
        self.sink: Taker | None = None
        self.sink_holds = False
        self.gone = False  # a sink that had a part has left

    def hold(self, holding: bool) -> None:
        assert holding is not self.held  # told of changes only
        self.held = holding

    @precondition(lambda self: not self.stream.over)
    @rule(data=st.binary(min_size=1, max_size=8))
    def feed(self, data: bytes) -> None:
        self.stream.feed(data)
        self.fed += data

    @precondition(lambda self: not self.stream.over)
    @rule(whole=st.booleans())
    def end(self, whole: bool) -> None:
        if whole:
            self.stream.end()
        else:
            self.stream.fail()

    @precondition(lambda self: self.sink is None and not self.gone)
    @rule()
    def attach(self) -> None:
        self.sink = Taker()
        self.sink_holds = False
        self.stream.attach(self.sink)

    @precondition(lambda self: self.sink is not None)
    @rule(holding=st.booleans())
    def hold_back(self, holding: bool) -> None:
        self.sink_holds = holding
        self.stream.sink_holds(holding)

    @precondition(lambda self: self.sink is not None)
    @rule()
    def detach(self) -> None:
        assert self.sink is not None
        self.gone = bool(self.sink.got)
        self.stream.detach(self.sink)
        self.sink = None

    @rule()
    def late_words_change_nothing(self) -> None:
        if self.stream.over:
            whole = self.stream.whole
            self.stream.end()
            self.stream.fail()
            self.stream.feed(b"late")
            assert self.stream.whole is whole

    @invariant()
    def nothing_is_lost_or_doubled(self) -> None:
        stream = self.stream
        assert not (stream.whole and stream.failed)
        assert len(self.told) == int(stream.over)
        if self.sink is not None:
            if not stream.failed:
                assert self.sink.got == self.fed
            assert self.sink.ends == (["whole"] if stream.whole else ["broken"] if stream.failed else [])
            assert stream.held == 0
        elif not self.gone and not stream.failed:
            assert stream.held == len(self.fed)
            assert not stream.taken

    @invariant()
    def the_producer_is_held_where_nobody_takes_more(self) -> None:
        stream = self.stream
        if stream.over:
            assert not self.held  # what comes behind it is read
        else:
            full = self.sink_holds if self.sink is not None else stream.held >= MOST
            assert self.held is full


TestBodies = Bodies.TestCase
TestBodies.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)

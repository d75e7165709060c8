"""What a keeper's file held, from life to life: whom it is told to, and how it is said."""

from __future__ import annotations

import pytest

from larkweir.lifecycle.channel import MOST_MARK, ChannelError, Kept, decode, encode
from larkweir.lifecycle.kept import Closing


@pytest.mark.parametrize("marked_first", [True, False])
def test_a_mark_is_told_once_to_the_successor_that_can_use_it(marked_first: bool) -> None:
    closing = Closing()
    if marked_first:
        assert closing.closed("x") is None
        assert closing.took(3, Kept()) == (3, Kept("x"))
    else:
        assert closing.took(3, Kept()) is None
        assert closing.closed("x") == (3, Kept("x"))
    assert closing.took(4, Kept()) is None


def test_nothing_is_told_to_one_that_knows_no_such_word_nor_without_a_mark() -> None:
    closing = Closing()
    assert closing.took(3, None) is None and closing.closed("x") is None
    assert Closing().took(3, Kept()) is None
    empty = Closing()
    assert empty.took(3, Kept()) is None and empty.closed("") is None


def test_the_words_on_the_channel() -> None:
    assert decode(encode("took")) == ("took", None)  # as an older life says it
    assert decode(encode("took", Kept())) == ("took", Kept())
    assert decode(encode("kept", Kept("ab" * 16))) == ("kept", Kept("ab" * 16))
    for line in (
        b'{"word":"kept"}',
        b'{"word":"kept","kept":7}',
        encode("kept", Kept("x" * (MOST_MARK + 1))),
    ):
        with pytest.raises(ChannelError, match="no mark"):
            decode(line)

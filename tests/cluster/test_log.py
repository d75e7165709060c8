"""Log lines and their fields."""

from __future__ import annotations

import io
import logging

import msgspec
import picologging
import pytest

from larkweir.cluster import log


@pytest.fixture
def output(monkeypatch: pytest.MonkeyPatch) -> io.StringIO:
    stream = io.StringIO()
    logger = picologging.Logger("test", logging.INFO)
    logger.addHandler(picologging.StreamHandler(stream))
    monkeypatch.setattr(log, "_logger", logger)
    monkeypatch.setattr(log, "_common", {"node": "n"})
    return stream


def test_an_event_is_one_line_with_its_fields_in_order(output: io.StringIO) -> None:
    log.event("committed", sequence=3, members=("a", "b"))
    (line,) = output.getvalue().splitlines()
    fields = msgspec.json.decode(line)
    assert list(fields) == ["time", "node", "event", "sequence", "members"]
    assert line.endswith(',"node":"n","event":"committed","sequence":3,"members":["a","b"]}')


def test_debug_events_are_written_only_while_debugging(output: io.StringIO) -> None:
    assert not log.is_debug_enabled()
    log.debug("link_lost", to="a")
    assert output.getvalue() == ""
    log._logger.setLevel(logging.DEBUG)
    assert log.is_debug_enabled()
    log.debug("link_lost", to="a")
    assert output.getvalue().endswith(',"event":"link_lost","to":"a"}\n')

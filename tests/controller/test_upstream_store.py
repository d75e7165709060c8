"""When upstreams are written, what counts as durable, and what a later incarnation restores."""

from __future__ import annotations

import pytest
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry

from larkweir.controller import upstream_store
from larkweir.controller.upstream_store import RETRY_DELAY_MS, UPSTREAMS_FILE, UpstreamStore
from tests.controller.fake_disk import FakeDisk

READY = Upstream("u", "s", "127.0.0.1:1", "z")
GONE = Upstream("u", "s", "127.0.0.1:1", "z", state=UpstreamState.GONE)


class Clock:
    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_ms = 0.0
        monkeypatch.setattr(upstream_store, "now_ms", lambda: self.now_ms)


class Incarnation:
    """One incarnation of a controller on a disk."""

    def __init__(self, disk: FakeDisk, number: int = 1) -> None:
        self.notified = 0
        self.registry = Registry(f"c/{number}")
        self.store = UpstreamStore(disk, self.registry, self._durable)  # type: ignore[arg-type]

    def _durable(self) -> None:
        self.notified += 1

    def has(self) -> bool:
        version = self.registry.version("u")
        assert version is not None
        return self.store.has(version)


@pytest.fixture
def disk() -> FakeDisk:
    return FakeDisk()


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def test_nothing_is_written_without_a_change(disk: FakeDisk) -> None:
    Incarnation(disk).store.write()
    assert disk.written == []


def test_a_change_is_written_once(disk: FakeDisk) -> None:
    started = Incarnation(disk)
    started.registry.update(READY, 0.0)
    started.store.write()
    started.store.write()
    assert disk.written == [UPSTREAMS_FILE]


def test_a_later_incarnation_restores_the_upstreams_and_does_not_write_them_again(disk: FakeDisk) -> None:
    first = Incarnation(disk)
    first.registry.update(GONE, 0.0)
    first.store.write()
    second = Incarnation(disk, 2)
    second.store.write()
    assert second.store.has_upstreams
    assert second.registry.upstreams == {"u": GONE}
    assert second.has()
    assert disk.written == [UPSTREAMS_FILE]


def test_a_record_is_durable_once_its_write_has_ended(disk: FakeDisk) -> None:
    disk.is_slow = True
    started = Incarnation(disk)
    started.registry.update(READY, 0.0)
    started.store.write()
    assert not started.has()
    started.registry.update(GONE, 0.0)
    started.store.write()
    assert disk.written == [UPSTREAMS_FILE], "changes wait for the write in progress"
    disk.complete()
    assert not started.has(), "what was written is the upstream before its departure"
    assert disk.written == [UPSTREAMS_FILE] * 2
    disk.complete()
    assert started.has()
    assert started.notified == 2


def test_a_write_that_the_disk_refuses_is_repeated(disk: FakeDisk, clock: Clock) -> None:
    disk.is_full = True
    started = Incarnation(disk)
    started.registry.update(GONE, 0.0)
    started.store.write()
    started.store.write()
    assert (disk.written, started.has()) == ([UPSTREAMS_FILE], False)
    disk.is_full = False
    clock.now_ms = RETRY_DELAY_MS
    started.store.write()
    assert (disk.written, started.has()) == ([UPSTREAMS_FILE] * 2, True)


def test_a_newer_record_waits_for_the_retry_of_a_refused_write(disk: FakeDisk, clock: Clock) -> None:
    disk.is_full = True
    started = Incarnation(disk)
    started.registry.update(READY, 0.0)
    started.store.write()
    started.registry.update(GONE, 0.0)
    started.store.write()
    assert disk.written == [UPSTREAMS_FILE]
    disk.is_full = False
    clock.now_ms = RETRY_DELAY_MS
    started.store.write()
    assert started.has()
    assert Incarnation(disk, 2).registry.upstreams == {"u": GONE}

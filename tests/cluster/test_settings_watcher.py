"""Reloading the settings file while a process runs."""

from __future__ import annotations

from pathlib import Path

import pytest

from larkweir.cluster.settings import ENVIRONMENT_VARIABLE, Settings, load
from larkweir.cluster.settings_watcher import CHECK_INTERVAL_MS, SettingsWatcher

TEXT = 'node: n\nip: 10.0.0.1\nzone: z\nport_range: [7500, 7515]\nseeds: ["10.0.0.2:8367"]\n'


@pytest.fixture
def file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / "settings.yaml"
    path.write_text(TEXT)
    monkeypatch.setenv(ENVIRONMENT_VARIABLE, str(path))
    return path


@pytest.fixture
def changes() -> list[Settings]:
    return []


@pytest.fixture
def watcher(file: Path, changes: list[Settings]) -> SettingsWatcher:
    return SettingsWatcher(load(), changes.append)


def test_a_changed_file_is_loaded_at_the_next_check(
    file: Path, watcher: SettingsWatcher, changes: list[Settings]
) -> None:
    watcher.tick(CHECK_INTERVAL_MS)
    file.write_text(TEXT.replace("10.0.0.2", "10.0.0.30"))
    watcher.tick(2 * CHECK_INTERVAL_MS - 1.0)
    assert changes == []
    watcher.tick(2 * CHECK_INTERVAL_MS)
    assert [one.seed_nodes for one in changes] == [("10.0.0.30",)]


def test_a_file_with_the_same_content_is_no_change(
    file: Path, watcher: SettingsWatcher, changes: list[Settings]
) -> None:
    file.write_text(TEXT + "# a comment\n")
    watcher.reload()
    assert changes == []


@pytest.mark.parametrize("text", ["node: [", "node: n\n"])
def test_an_invalid_file_changes_nothing(
    text: str, file: Path, watcher: SettingsWatcher, changes: list[Settings]
) -> None:
    file.write_text(text)
    watcher.reload()
    assert changes == []


def test_a_missing_file_changes_nothing(
    file: Path, watcher: SettingsWatcher, changes: list[Settings]
) -> None:
    file.unlink()
    watcher.tick(CHECK_INTERVAL_MS)
    assert changes == []

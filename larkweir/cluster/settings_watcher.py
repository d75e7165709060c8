"""Reloads the settings file when it has changed, by polling it or on request."""

from __future__ import annotations

import os
from collections.abc import Callable

from larkweir.cluster import log
from larkweir.cluster.settings import Settings, SettingsError, load, path

CHECK_INTERVAL_MS = 1_000.0


class SettingsWatcher:
    """Holds the settings in force and polls the file for changes."""

    def __init__(self, settings: Settings, on_changed: Callable[[Settings], None]) -> None:
        """Start with settings that were just loaded; `on_changed` is called with each new version that differs."""
        self._settings = settings
        self._on_changed = on_changed
        self._checked_ms = 0.0
        self._file_version = _file_version()

    def tick(self, now_ms: float) -> None:
        """Reload the file if it has changed. Calls within `CHECK_INTERVAL_MS` of the last check do nothing."""
        if now_ms < self._checked_ms + CHECK_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        version = _file_version()
        if version != self._file_version:
            self._file_version = version
            self.reload()

    def reload(self) -> None:
        """Load the file. If it is invalid, log the error and keep the present settings."""
        try:
            settings = load()
        except SettingsError as error:
            log.event("settings_rejected", error=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            log.event("settings_changed", seeds=settings.seeds)
            self._on_changed(settings)


def _file_version() -> tuple[int, int, int] | None:
    try:
        found = os.stat(path())
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino

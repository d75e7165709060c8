"""The files of one reading, each read once, and all of them as they were at one time."""

from __future__ import annotations

import glob
import os
import stat
import time
from collections.abc import Sequence

from larkweir.config.options import Operator
from larkweir.config.platform import ConfigError
from larkweir.language.faults import Faults, Place, Severity
from larkweir.language.grammar import MOST_BYTES, decoded
from larkweir.language.reading import read

MOST_MATCHES = 1000
TRIES, PAUSE_S = 5, 0.05
RESTING_S = 2.0  # since the last writing of any file


class Disk:
    """A library of files below the root file's folder. What was read is kept: asked twice it is the same."""

    def __init__(self, root: str) -> None:
        self.root = os.path.normpath(root)
        self._folder = os.path.realpath(os.path.dirname(self.root) or ".")
        self._raw: dict[str, bytes | str] = {}  # bytes, or why there are none
        self._globs: dict[str, tuple[str, ...]] = {}
        self.texts: dict[str, str] = {}

    def _read(self, path: str) -> bytes | str:
        if path not in self._raw:
            self._raw[path] = self._once(path)
        return self._raw[path]

    @staticmethod
    def _once(path: str) -> bytes | str:
        try:
            # Not waiting guards against a path that is a pipe nobody writes to.
            number = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
            with os.fdopen(number, "rb") as file:
                if not stat.S_ISREG(os.fstat(number).st_mode):
                    return "it is no ordinary file"
                return file.read(MOST_BYTES + 1)
        except OSError as problem:
            return problem.strerror or str(problem)

    def text(self, path: str, faults: Faults, place: Place | None) -> str | None:
        raw = self._read(path)
        if isinstance(raw, str):
            faults.add(
                "LW202", place or Place(path), f"{path} can't be read: {raw}", "mend the path or the file"
            )
            return None
        text = decoded(raw, path, faults)
        if text is not None:
            self.texts[path] = text
        return text

    def matches(self, base: str, pattern: str, faults: Faults, place: Place) -> Sequence[str]:
        if not pattern or os.path.isabs(pattern):
            mend = 'write a path from this file\'s folder, such as "limits/*.lw"'
            faults.add("LW203", place, f"{pattern!r:.100} is no relative path", mend)
            return ()
        joined = os.path.normpath(os.path.join(os.path.dirname(base), pattern))
        if glob.has_magic(pattern):
            found = self._globs.get(joined)
            if found is None:
                found = self._globs[joined] = tuple(sorted(glob.glob(joined))[: MOST_MATCHES + 1])
            found = tuple(path for path in found if os.path.realpath(path) != os.path.realpath(base))
            if not found:
                faults.add("LW204", place, f"no file matches {pattern}", "leave it out, or mend the pattern")
            if len(found) > MOST_MATCHES:
                faults.add("LW206", place, f"more than {MOST_MATCHES} files match", "put several into one")
                return ()
        else:
            found = (joined,)
        good = []
        for path in found:
            if os.path.commonpath([self._folder, os.path.realpath(path)]) != self._folder:
                mend = "keep all files below the root file's folder, links included"
                faults.add("LW205", place, f"{path} leads out of {os.path.dirname(self.root) or '.'}", mend)
            else:
                good.append(path)
        return good

    def resting(self, now: float) -> bool:
        """Whether nothing that was read was written in the last moments: then there is nothing to wait for."""
        try:
            return all(now - os.stat(path).st_mtime > RESTING_S for path in self._raw)
        except OSError:
            return False

    def same(self) -> bool:
        """Whether all that was read is still so: the files, and what the patterns match."""
        return all(self._once(path) == raw for path, raw in self._raw.items()) and all(
            tuple(sorted(glob.glob(pattern))[: MOST_MATCHES + 1]) == found
            for pattern, found in self._globs.items()
        )


def load(path: str) -> Operator:
    """The options of a root file and all that it includes, as they were at one time; ConfigError, one line, where they
    can't be used or don't come to rest.
    """
    for _ in range(TRIES):
        disk, faults = Disk(path), Faults()
        model = read(disk.root, disk, faults)
        if disk.resting(time.time()):
            break
        time.sleep(PAUSE_S)
        if disk.same():
            break
    else:
        raise ConfigError(f"{path}: the files change while they are read; write them, then ask for a reload")
    grave = [fault for fault in faults.sorted() if fault.severity is Severity.FAULT]
    if grave:
        more = f" (and {len(grave) - 1} more: see `check`)" if len(grave) > 1 else ""
        raise ConfigError(f"{grave[0]}{more}")
    return model.options

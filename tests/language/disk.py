"""Files of a case on disk."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path


def lay(folder: Path, text: str | bytes, files: Mapping[str, str]) -> Path:
    """The root file, with others beside it; `-> path` is a link."""
    root = folder / "root.lw"
    root.write_bytes(text if isinstance(text, bytes) else text.encode())
    for name, content in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        if content.startswith("-> "):
            path.symlink_to(content[3:])
        else:
            path.write_bytes(content.encode())
    return root

"""Approved texts, one file for each scene, read by syrupy and never written by it."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from syrupy.location import PyTestLocation


class Approved(SingleFileSnapshotExtension):
    """`approved/MODULE/SCENE.txt`. `--snapshot-update` writes what was received beside, and fails; it removes
    nothing.
    """

    _write_mode = WriteMode.TEXT
    file_extension = "txt"

    @classmethod
    def dirname(cls, *, test_location: PyTestLocation) -> str:
        return str(Path(test_location.filepath).parent / "approved" / test_location.basename)

    @classmethod
    def write_snapshot_collection(cls, *, snapshot_collection: Any, **_: Any) -> None:
        approved = Path(snapshot_collection.location)
        path = approved.parents[2] / "received" / approved.parent.name / approved.name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(next(iter(snapshot_collection)).data)
        pytest.fail(f"received {path}; read it, and copy it to {approved} if it is right", pytrace=False)

    def delete_snapshots(self, **_: Any) -> None:
        pass


def compare(received: str, approved: SnapshotAssertion) -> None:
    """Fail with the whole difference, without colours: what pytest shows of a comparison is cut."""
    if received != approved:
        difference = "\n".join(approved.get_assert_diff())
        pytest.fail(re.sub(r"\x1b\[[\d;]*m", "", difference), pytrace=False)

"""Approved texts: one file for each scene, read by syrupy and never written by it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from syrupy.location import PyTestLocation

from tests.scenes.stage import write_beside


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
        write_beside(Path(snapshot_collection.location), next(iter(snapshot_collection)).data)

    def delete_snapshots(self, **_: Any) -> None:
        pass


@pytest.fixture
def approved(snapshot: SnapshotAssertion) -> SnapshotAssertion:
    return snapshot.use_extension(Approved)

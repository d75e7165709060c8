"""What scenes are compared with."""

from __future__ import annotations

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.scenes.approval import Approved


@pytest.fixture
def approved(snapshot: SnapshotAssertion) -> SnapshotAssertion:
    return snapshot.use_extension(Approved)

"""How a controller handles messages of other processes."""

from __future__ import annotations

from dataclasses import fields
from typing import Any
from unittest.mock import Mock

import pytest

from larkweir.cluster.messages import Delta, RolloutAge
from larkweir.controller import message_dispatch
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.message_dispatch import MessageDispatch
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, rollout


def test_the_age_of_an_order_is_adopted_from_another_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(message_dispatch, "now_ms", lambda: 500.0)
    parts: dict[str, Any] = {field.name: Mock() for field in fields(MessageDispatch)}
    rollouts = parts["rollouts"] = CommittedRollouts()
    rollouts.update(document(rollout()), 2, 500.0, ORDERED_UNIX_MS)
    age = RolloutAge(rollout().order_id, 4_000.0)
    MessageDispatch(**parts).receive(Mock(), Delta(rollout_ages={"s": age}))
    assert rollouts.running()[0].elapsed_s(500.0) == 4.0

"""Deltas of states and texts: applied to the old one they yield the new one, and small changes give small deltas."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_replication import commands
from larkweir_replication.commands import with_command_applied
from larkweir_replication.errors import DeltaMismatchError
from larkweir_replication.messages import Command, Epoch, ReplicateDelta, Snapshot
from larkweir_replication.snapshot_delta import apply_delta, make_delta
from larkweir_replication.text_delta import TextEdit, apply_edits, make_edits
from replication_factories import snapshot

texts = st.text(alphabet="ab{},\u00e9", max_size=60)


@given(texts, texts)
def test_edits_make_the_new_text(old: str, new: str) -> None:
    assert apply_edits(old, make_edits(old, new)) == new


def test_an_equal_text_is_copied_in_one_edit() -> None:
    assert make_edits("{a}{b}", "{a}{b}") == (TextEdit(0, 6),)
    assert make_edits("", "") == ()


def test_repeated_pieces_of_the_old_text_are_copied_in_runs() -> None:
    old = "{x}{x}{x}{y}{x}{x}"
    assert make_edits(old, old + "{new}") == (TextEdit(0, len(old), "{new}"),)


@given(st.lists(st.tuples(texts, st.text(max_size=5)), min_size=2, max_size=12), st.integers(1, 4))
def test_each_state_results_from_the_previous_one(changes: list[tuple[str, str]], max_commands: int) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(commands, "MAX_APPLIED_COMMANDS", max_commands)
        states = [snapshot(3)]
        for base, (value, identity) in enumerate(changes):
            states.append(with_command_applied(states[-1], value, Command(identity, base, "")))
    for before, after in pairwise(states):
        delta = make_delta(before, after)
        assert delta is not None
        assert apply_delta(before, delta) == after
        assert apply_delta(before, msgspec.json.decode(msgspec.json.encode(delta), type=type(delta))) == after


def test_a_change_of_members_can_be_sent_as_a_delta() -> None:
    before = msgspec.structs.replace(snapshot(3), value="{a}")
    after = msgspec.structs.replace(before, sequence=4, members=("a", "d"), previous_members=before.members)
    delta = make_delta(before, after)
    assert delta is not None
    assert apply_delta(before, delta) == after


def test_a_delta_for_another_base_is_refused() -> None:
    before, after = snapshot(3), msgspec.structs.replace(snapshot(3), sequence=4, value="x")
    delta = make_delta(before, after)
    assert delta is not None
    for other in (snapshot(2), snapshot(3, epoch=Epoch(2, "b"))):
        with pytest.raises(DeltaMismatchError):
            apply_delta(other, delta)


def test_a_result_with_another_checksum_is_refused() -> None:
    before, after = snapshot(3), msgspec.structs.replace(snapshot(3), sequence=4, value="x")
    delta = make_delta(before, after)
    assert delta is not None
    with pytest.raises(DeltaMismatchError, match="checksum"):
        apply_delta(msgspec.structs.replace(before, value="y"), msgspec.structs.replace(delta, edits=()))


def test_unrelated_states_have_no_delta() -> None:
    before = other = snapshot(3)
    for base in range(3):
        before = with_command_applied(before, "x", Command(f"one-{base}", base, ""))
        other = with_command_applied(other, "x", Command(f"two-{base}", base, ""))
    assert make_delta(before, msgspec.structs.replace(other, sequence=before.sequence + 1)) is None


@dataclass(frozen=True)
class Size:
    """The size of a configuration, and the largest allowed size of a delta as a fraction of the state."""

    routes: int
    max_fraction: float


def document(routes: int, generation: int) -> str:
    """Returns a configuration in which two routes, one in the middle and one near the end, depend on `generation`."""
    listed = [
        {
            "name": f"route-{number}",
            "host": f"h{number % 40}.example",
            "path_prefix": f"/{number}/",
            "kind": "idempotent",
            "timeout_ms": generation if number in (routes // 2, routes - 3) else 1_000,
            "backend": f"service-{number % 20}",
        }
        for number in range(routes)
    ]
    return msgspec.json.encode({"generation": generation, "routes": listed}).decode()


@pytest.mark.parametrize("size", [Size(300, 0.05), Size(5_000, 0.01)], ids=lambda one: f"{one.routes} routes")
def test_a_change_of_two_routes_is_a_small_part_of_the_state(size: Size) -> None:
    state = msgspec.structs.replace(snapshot(3), value=document(size.routes, 1))
    for base in range(commands.MAX_APPLIED_COMMANDS // 100):
        state = with_command_applied(state, state.value, Command(f"{base:024d}", base, ""))
    later = with_command_applied(state, document(size.routes, 2), Command("x" * 24, 1_000, ""))
    delta = make_delta(state, later)
    assert delta is not None
    assert apply_delta(state, delta) == later
    snapshot_bytes = len(msgspec.json.encode(later))
    delta_bytes = len(msgspec.json.encode(ReplicateDelta(delta, 3)))
    print(f"{size.routes} routes: {snapshot_bytes} bytes as a snapshot, {delta_bytes} as a delta")
    assert delta_bytes < size.max_fraction * snapshot_bytes


def test_a_state_without_a_value_has_a_delta() -> None:
    before = Snapshot(Epoch(0, ""), 0, ("a",))
    after = msgspec.structs.replace(before, epoch=Epoch(1, "a"))
    delta = make_delta(before, after)
    assert delta is not None
    assert apply_delta(before, delta) == after

"""Which update a process is sent, by the configuration that it has."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.controller.configuration_history import MAX_VERSIONS, ConfigurationHistory


def version(number: int) -> str:
    return msgspec.json.encode({"generation": number, "services": [{"name": f"s{number}"}]}).decode()


@pytest.fixture
def history() -> ConfigurationHistory:
    history = ConfigurationHistory()
    for number in (1, 2, 3):
        history.add(number, version(number))
    return history


def test_without_a_configuration_there_is_no_update() -> None:
    empty = ConfigurationHistory()
    assert empty.sequence == -1
    assert empty.update_from(-1) is None


def test_a_process_without_a_configuration_is_sent_the_complete_newest(history: ConfigurationHistory) -> None:
    update = history.update_from(-1)
    assert update is not None
    assert (update.sequence, update.base_sequence, bytes(update.body)) == (3, -1, version(3).encode())


def test_a_process_with_an_older_configuration_is_sent_a_patch(history: ConfigurationHistory) -> None:
    update = history.update_from(2)
    assert update is not None
    assert (update.sequence, update.base_sequence) == (3, 2)
    assert msgspec.json.decode(update.body) == {
        "upsert": {"services": [{"name": "s3"}]},
        "remove": {"services": ["s2"]},
        "generation": 3,
    }


def test_a_process_with_the_newest_configuration_is_sent_none(history: ConfigurationHistory) -> None:
    assert history.update_from(3) is None


def test_a_patch_is_to_the_newest_configuration_also_after_it_was_made_before(
    history: ConfigurationHistory,
) -> None:
    history.update_from(1)
    history.add(4, version(4))
    update = history.update_from(1)
    assert update is not None
    assert (update.sequence, update.base_sequence) == (4, 1)
    assert msgspec.json.decode(update.body)["generation"] == 4


@pytest.mark.parametrize(("sequence", "value"), [(4, ""), (3, version(9)), (2, version(9)), (3, version(3))])
def test_what_is_empty_or_not_newer_is_not_taken(
    sequence: int, value: str, history: ConfigurationHistory
) -> None:
    assert history.add(sequence, value) is None
    assert history.sequence == 3


def test_the_oldest_versions_are_dropped(history: ConfigurationHistory) -> None:
    for number in range(4, MAX_VERSIONS + 2):
        assert history.add(number, version(number)) is not None
    dropped, retained = history.update_from(1), history.update_from(2)
    assert dropped is not None
    assert dropped.base_sequence == -1
    assert retained is not None
    assert retained.base_sequence == 2


def test_what_versions_have_in_common_is_held_once(history: ConfigurationHistory) -> None:
    routes = [{"name": f"r{number}", "timeout_ms": number} for number in range(3)]
    first = history.add(4, msgspec.json.encode({"generation": 4, "routes": routes}).decode())
    routes[1] = {"name": "r1", "timeout_ms": 9}
    second = history.add(5, msgspec.json.encode({"generation": 5, "routes": routes}).decode())
    assert first is not None and second is not None
    assert second == {"generation": 5, "routes": routes}
    assert [one is other for one, other in zip(first["routes"], second["routes"], strict=True)] == [
        True,
        False,
        True,
    ]


def test_a_change_of_the_members_alone_is_a_version_that_patches_go_from_and_to(
    history: ConfigurationHistory,
) -> None:
    """The group commits its present value under a new sequence, under which a controller that joins now knows it."""
    history.add(4, version(3))
    unchanged = history.update_from(3)
    assert unchanged is not None
    assert (unchanged.sequence, unchanged.base_sequence) == (4, 3)
    assert msgspec.json.decode(unchanged.body) == {"upsert": {}, "remove": {}}

    joined = ConfigurationHistory()
    joined.add(4, version(3))
    assert joined.update_from(history.sequence) is None
    for controller in (history, joined):
        controller.add(5, version(5))
        update = controller.update_from(4)
        assert update is not None
        assert (update.sequence, update.base_sequence) == (5, 4)

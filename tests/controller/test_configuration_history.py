"""The update that a process is sent, depending on the configuration that it has."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.controller.configuration_history import MAX_VERSIONS, ConfigurationHistory
from larkweir.router.configuration import ConfigurationStore
from tests.cluster.configurations import changed


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


def test_a_process_with_the_newest_configuration_is_sent_no_update(history: ConfigurationHistory) -> None:
    assert history.update_from(3) is None


def test_a_cached_patch_is_replaced_when_a_newer_configuration_is_added(
    history: ConfigurationHistory,
) -> None:
    history.update_from(1)
    history.add(4, version(4))
    update = history.update_from(1)
    assert update is not None
    assert (update.sequence, update.base_sequence) == (4, 1)
    assert msgspec.json.decode(update.body)["generation"] == 4


@pytest.mark.parametrize(("sequence", "value"), [(4, ""), (3, version(9)), (2, version(9)), (3, version(3))])
def test_a_value_that_is_empty_or_not_newer_is_ignored(
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


def test_items_that_versions_have_in_common_are_stored_once(history: ConfigurationHistory) -> None:
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


def test_a_membership_change_without_a_new_value_is_a_version_that_patches_start_and_end_at(
    history: ConfigurationHistory,
) -> None:
    """A membership change commits the current value under a new sequence; a joining controller knows only that one."""
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


@pytest.mark.parametrize("odd", [{"upsert": {}, "remove": {}}, {"upsert": {"routes": [1]}}, {"remove": None}])
def test_routers_follow_a_change_that_no_patch_can_express(odd: dict[str, object]) -> None:
    # Guards against routers that take no configuration after a document with members of a patch (review/5).
    history, store = ConfigurationHistory(), ConfigurationStore()
    versions = [changed(generation=1), changed(generation=2, **odd), changed(generation=3, routes=[])]
    for sequence, document in enumerate(versions):
        history.add(sequence, msgspec.json.encode(document).decode())
        update = history.update_from(store.sequence)
        assert update is not None
        assert store.apply(update)
    assert store.table is not None
    assert store.table.version == 3
    assert store.table.find_route("a.example", "/one/x") is None

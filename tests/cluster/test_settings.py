"""Settings files, valid and invalid."""

from __future__ import annotations

import pytest

from larkweir.cluster.settings import SettingsError, parse

SETTINGS = """
node: n
ip: 10.0.0.1
zone: z
port_range: [7500, 7515]
seeds: ["10.0.0.2:8367", "10.0.0.1:8367"]
listen: {control: "10.0.0.1:8367"}
something_new: {a: 1}
"""


def test_unknown_settings_are_ignored() -> None:
    settings = parse(SETTINGS)
    assert settings.seed_nodes == ("10.0.0.1", "10.0.0.2")
    assert settings.peer_port == 7500
    assert not settings.bootstrap


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ("zone: z", "", "zone"),
        ("[7500, 7515]", "7500", "port_range"),
        ("[7500, 7515]", "[7515, 7500]", "port_range"),
        ("10.0.0.2:8367", "10.0.0.2", "10.0.0.2"),
        ("node: n", "node: [", "YAML"),
        ("node: n", "node: 5", "node"),
    ],
)
def test_an_invalid_settings_file_raises_one_line_that_names_the_key(
    before: str, after: str, named: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        parse(SETTINGS.replace(before, after))
    assert named in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_exposure_limits_of_a_rollout_are_settings() -> None:
    assert parse(SETTINGS).bounds.expose_share == 0.1
    named = parse(SETTINGS + "bounds: {expose_share: 0.05, expose_slack: 20}\n").bounds
    assert (named.expose_share, named.expose_slack) == (0.05, 20.0)

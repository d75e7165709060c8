"""How hosts are normalized."""

from __future__ import annotations

import pytest

from larkweir.cluster.configuration.hosts import is_servable, normalize_host


@pytest.mark.parametrize(
    ("host", "normalized"),
    [
        ("depots.example", "depots.example"),
        ("Depots.EXAMPLE", "depots.example"),
        ("depots.example:8080", "depots.example"),
        ("depots.example.", "depots.example"),
        ("Depots.example.:80", "depots.example"),
        (" depots.example ", "depots.example"),
        ("[::1]", "[::1]"),
        ("[::1]:80", "[::1]"),
        ("[2001:DB8::A]:8080", "[2001:db8::a]"),
        ("10.0.0.1:80", "10.0.0.1"),
        ("", ""),
        ("paquetería.example", "xn--paquetera-n5a.example"),
        ("PAQUETERÍA.Example.:80", "xn--paquetera-n5a.example"),
        ("XN--Paquetera-n5a.example", "xn--paquetera-n5a.example"),
        ("straße.example", "xn--strae-oqa.example"),
        ("ሰላም.example", "xn--lxd0b1c.example"),
        ("日本。jp", "xn--wgv71a.jp"),
        ("🚚.example", "🚚.example"),
        ("é" * 254, "é" * 254),
    ],
)
def test_hosts_are_compared_without_case_port_and_final_dot(host: str, normalized: str) -> None:
    assert normalize_host(host) == normalized


@pytest.mark.parametrize(
    ("host", "expected"),
    [
        ("", True),
        ("a.example", True),
        ("paquetería.example", True),
        ("[::1]", True),
        ("🚚.example", False),
        ("\x00.example", False),
        ("a\r\nb", False),
    ],
)
def test_a_host_is_servable_if_a_request_can_name_it(host: str, expected: bool) -> None:
    assert is_servable(host) is expected

"""The error responses of the router itself."""

from __future__ import annotations

from larkweir.router.answers import ERROR_RESPONSES, ErrorKind


def test_every_kind_of_error_has_a_response() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind, answer in ERROR_RESPONSES.items():
        assert (answer.retry_after_s is not None) == (answer.status in (429, 503)), kind

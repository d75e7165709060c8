"""Which responses of upstreams are relayed, and which are discarded because the request may be retried."""

from __future__ import annotations

import pytest

from larkweir.router.configuration import Route
from larkweir.router.response_classification import (
    NOT_EXECUTED_STATUSES,
    ResponseClass,
    ResponseHead,
    classify_response,
    classify_without_retry,
)

ONCE = Route("once", "a", "/")
IDEMPOTENT = Route("idempotent", "a", "/", kind="idempotent")


@pytest.mark.parametrize("route", [ONCE, IDEMPOTENT], ids=["once", "idempotent"])
@pytest.mark.parametrize("status", sorted(NOT_EXECUTED_STATUSES))
def test_a_marked_rejection_proves_that_the_request_has_not_run(status: int, route: Route) -> None:
    head = ResponseHead(status, [(b"x-not-executed", b"1")])
    expected = ResponseClass.MISDIRECTED if status == 421 else ResponseClass.REJECTED
    assert classify_response(head, route, response_started=False) is expected


def test_misdirected_needs_no_mark() -> None:
    assert classify_response(ResponseHead(421), ONCE, response_started=False) is ResponseClass.MISDIRECTED


@pytest.mark.parametrize("status", [200, 404, 500])
def test_the_mark_on_another_status_proves_nothing(status: int) -> None:
    head = ResponseHead(status, [(b"x-not-executed", b"1")])
    assert classify_response(head, ONCE, response_started=False) is ResponseClass.RELAYABLE


@pytest.mark.parametrize("status", [408, 429, 503])
def test_an_unmarked_rejection_is_not_relayed_as_a_guarantee(status: int) -> None:
    head = ResponseHead(status)
    assert classify_response(head, ONCE, response_started=False) is ResponseClass.UNUSABLE
    assert classify_without_retry(head, IDEMPOTENT, response_started=False) is ResponseClass.RELAYABLE


@pytest.mark.parametrize(
    ("status", "route", "expected"),
    [
        (500, IDEMPOTENT, ResponseClass.RETRYABLE_ERROR),
        (503, IDEMPOTENT, ResponseClass.RETRYABLE_ERROR),
        (499, IDEMPOTENT, ResponseClass.RELAYABLE),
        (500, ONCE, ResponseClass.RELAYABLE),
    ],
)
def test_only_server_errors_of_idempotent_requests_are_retried(
    status: int, route: Route, expected: ResponseClass
) -> None:
    assert classify_response(ResponseHead(status), route, response_started=False) is expected


@pytest.mark.parametrize(
    ("status", "expected"),
    [(200, ResponseClass.RELAYABLE), (204, ResponseClass.UNUSABLE), (404, ResponseClass.UNUSABLE)],
)
def test_only_a_success_continues_a_response_that_has_begun(status: int, expected: ResponseClass) -> None:
    assert classify_response(ResponseHead(status), IDEMPOTENT, response_started=True) is expected


@pytest.mark.parametrize(
    ("load", "capacity"),
    [
        (b"2,0,16", True),
        (b" 2 , 0 , 16 ", True),
        (b"16,0,16", False),
        (b"3,1,16", False),
        (b"2,0", False),
        (b"x,0,16", False),
        (b"", False),
    ],
)
def test_capacity_is_what_the_upstream_reports(load: bytes, capacity: bool) -> None:
    head = ResponseHead(503, [(b"x-other", b"1"), (b"x-server-load", load)])
    assert head.reports_capacity is capacity

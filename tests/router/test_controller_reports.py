"""Tests of how the reports of several controllers are combined."""

from __future__ import annotations

import pytest

from larkweir.cluster.messages import Delta
from larkweir.router.controller_reports import ControllerReports


@pytest.fixture
def reports() -> ControllerReports:
    made = ControllerReports()
    made.update("c1", Delta(router_count=3, queued_prefill_tokens={"e": 10, "f": 5}, ejected=["u1"]))
    made.update("c2", Delta(router_count=2, queued_prefill_tokens={"e": 40}, ejected=["u2"]))
    return made


def test_the_highest_router_count_is_used(reports: ControllerReports) -> None:
    assert reports.max_router_count() == 3


def test_without_a_report_there_is_no_router_count() -> None:
    with pytest.raises(ValueError, match="empty"):
        ControllerReports().max_router_count()


def test_the_highest_backlog_of_an_engine_is_used(reports: ControllerReports) -> None:
    assert reports.max_queued_tokens() == {"e": 40.0, "f": 5.0}


def test_an_upstream_is_ejected_while_any_controller_ejects_it(reports: ControllerReports) -> None:
    assert reports.ejected() == {"u1", "u2"}
    reports.update("c1", Delta(ejected=[]))
    assert reports.ejected() == {"u2"}


def test_a_report_without_ejections_leaves_them_unchanged(reports: ControllerReports) -> None:
    reports.update("c1", Delta(router_count=1))
    assert reports.ejected() == {"u1", "u2"}


def test_a_lost_controller_is_no_longer_counted(reports: ControllerReports) -> None:
    assert reports.remove("c1")
    assert reports.max_router_count() == 2
    assert reports.max_queued_tokens() == {"e": 40.0}
    assert reports.ejected() == {"u2"}


def test_removal_reports_whether_ejections_may_change(reports: ControllerReports) -> None:
    reports.update("c1", Delta(ejected=[]))
    assert not reports.remove("c1")
    assert not reports.remove("unknown")

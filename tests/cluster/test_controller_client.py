"""Calls from an operator's command when some controllers do not answer."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from larkweir.cluster import controller_client
from larkweir.cluster.controller_client import ControllersUnreachableError, call_controllers
from larkweir.cluster.errors import LarkweirError


class Controller:
    """An HTTP server that answers every call with the same status."""

    def __init__(self, status: int) -> None:
        self.calls: list[tuple[str, str, bytes, str | None]] = []
        calls = self.calls

        class Handler(BaseHTTPRequestHandler):
            def _answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                calls.append((self.command, self.path, body, self.headers.get("If-Match")))
                self.send_response(status)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            do_GET = do_PUT = _answer  # noqa: N815  # named by http.server

            def log_message(self, format: str, *args: object) -> None:
                pass

        self.server = HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    def close(self) -> None:
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


@pytest.fixture
def ready() -> Iterator[Controller]:
    controller = Controller(200)
    yield controller
    controller.close()


@pytest.fixture
def failing() -> Iterator[Controller]:
    controller = Controller(503)
    yield controller
    controller.close()


@pytest.fixture(autouse=True)
def _short_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(controller_client, "RETRY_DELAY_S", 0.001)


def test_a_call_goes_on_to_the_next_controller_until_one_answers(
    ready: Controller, failing: Controller
) -> None:
    response = call_controllers(["127.0.0.1:1", failing.address, ready.address], "PUT", "/config", b"x", 4)
    assert (response.controller, response.status, response.body) == (ready.address, 200, b"{}")
    assert failing.calls == ready.calls == [("PUT", "/config", b"x", "4")]


def test_without_a_base_no_version_is_sent(ready: Controller) -> None:
    call_controllers([ready.address], "GET", "/status")
    assert ready.calls == [("GET", "/status", b"", None)]


def test_no_definite_answer_in_time_is_an_error(failing: Controller, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(controller_client, "TOTAL_TIMEOUT_S", 0.0)
    with pytest.raises(ControllersUnreachableError, match="503") as caught:
        call_controllers([failing.address], "GET", "/status")
    assert isinstance(caught.value, LarkweirError)

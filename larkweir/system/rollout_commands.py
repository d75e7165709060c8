"""Operators' commands to order, watch and abort roll-outs of services."""

from __future__ import annotations

import sys
import time
from typing import Any
from urllib.parse import quote

import click
import msgspec

from larkweir.system.operator_calls import (
    EXIT_REJECTED,
    call,
    controllers_option,
    decode_accepted,
    json_option,
    print_json,
)

WATCH_INTERVAL_S = 0.5
RUNNING, ROLLED_BACK = "running", "rolled_back"


@click.group()
def rollouts() -> None:
    """Orders, shows and aborts roll-outs of new versions of services."""


@rollouts.command("start")
@controllers_option
@json_option
@click.option(
    "--duration-s", type=float, required=True, help="seconds within which the roll-out must complete"
)
@click.argument("service")
@click.argument("version")
def rollouts_start(controllers: str, raw: bool, duration_s: float, service: str, version: str) -> None:
    """Moves the traffic of SERVICE to its upstreams with VERSION."""
    order = {"backend": service, "target_version": version, "duration_s": duration_s}
    found = decode_accepted(call(controllers, "POST", "/rollouts", msgspec.json.encode(order)))
    if raw:
        print_json(found)
    else:
        click.echo(f"the roll-out of {service} to {version} is acknowledged")


@rollouts.command("status")
@controllers_option
@json_option
@click.argument("service")
def rollouts_status(controllers: str, raw: bool, service: str) -> None:
    """Prints the latest roll-out of SERVICE."""
    _print(_read(controllers, service), raw)


@rollouts.command("list")
@controllers_option
@json_option
def rollouts_list(controllers: str, raw: bool) -> None:
    """Prints the latest roll-out of each service that has had one."""
    found = decode_accepted(call(controllers, "GET", "/rollouts"))
    if raw:
        print_json(found)
        return
    for one in found:
        _print(one, raw)


@rollouts.command("watch")
@controllers_option
@json_option
@click.argument("service")
def rollouts_watch(controllers: str, raw: bool, service: str) -> None:
    """Prints each change of the roll-out of SERVICE until it ends; exits with 1 if it was rolled back."""
    printed: dict[str, Any] = {}
    while True:
        found = _read(controllers, service)
        if found != printed:
            _print(found, raw)
            printed = found
        if found["state"] != RUNNING:
            sys.exit(EXIT_REJECTED if found["state"] == ROLLED_BACK else 0)
        time.sleep(WATCH_INTERVAL_S)


@rollouts.command("abort")
@controllers_option
@json_option
@click.argument("service")
def rollouts_abort(controllers: str, raw: bool, service: str) -> None:
    """Rolls back the running roll-out of SERVICE."""
    found = decode_accepted(call(controllers, "DELETE", _path(service)))
    if raw:
        print_json(found)
    else:
        click.echo(f"the roll-out of {service} is rolled back")


def _path(service: str) -> str:
    return f"/rollouts/{quote(service, safe='')}"


def _read(controllers: str, service: str) -> dict[str, Any]:
    return dict(decode_accepted(call(controllers, "GET", _path(service))))


def _print(found: dict[str, Any], raw: bool) -> None:
    if raw:
        print_json(found)
        return
    weight = f", weight {found['target_weight']:.2f}" if found["state"] == RUNNING else ""
    reason = f" ({found['reason']})" if found["reason"] else ""
    click.echo(f"{found['backend']} to {found['target_version']}: {found['state']}{weight}{reason}")

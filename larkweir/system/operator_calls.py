"""Shared code of the operators' commands: calls of controllers, their responses, and exit codes."""

from __future__ import annotations

import sys
from typing import Any

import click
import msgspec

from larkweir.cluster.controller_client import (
    ControllerResponse,
    ControllersUnreachableError,
    call_controllers,
)

CONTROLLERS_VARIABLE = "LARKWEIR_CONTROLLERS"
EXIT_REJECTED = 1
EXIT_UNREACHABLE = 3
EXIT_DAMAGED = 4

controllers_option = click.option(
    "--at",
    "controllers",
    envvar=CONTROLLERS_VARIABLE,
    required=True,
    metavar="HOST:PORT,...",
    help=f"control addresses of controllers; default: ${CONTROLLERS_VARIABLE}",
)
json_option = click.option("--json", "raw", is_flag=True, help="print JSON")


def call(
    controllers: str, method: str, path: str, body: bytes | None = None, base: int | None = None
) -> ControllerResponse:
    """Call the controllers in turn; exit the command if none gives a definite answer."""
    try:
        return call_controllers([one.strip() for one in controllers.split(",")], method, path, body, base)
    except ControllersUnreachableError as error:
        click.echo(f"no controller answered: {error}", err=True)
        sys.exit(EXIT_UNREACHABLE)


def decode_accepted(response: ControllerResponse) -> Any:
    """Return the decoded JSON body of a response; exit the command if the call was rejected."""
    found = msgspec.json.decode(response.body) if response.body else {}
    if response.status >= 300:
        detail = found.get("error", "") if isinstance(found, dict) else ""
        click.echo(f"{response.controller} rejected the call: {response.status} {detail}".rstrip(), err=True)
        sys.exit(EXIT_REJECTED)
    return found


def print_json(found: object) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(found), indent=2).decode())

"""The command line of the router fleet."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Awaitable, Callable, Sequence

import click

from larkweir.cluster.settings import Settings, SettingsError, load

EXIT_SETTINGS = 2
EXIT_DATA = 3
EXIT_INTERNAL = 70  # EX_SOFTWARE of sysexits.h


class _LazyGroup(click.Group):
    """Imports the operators' commands only when needed, so that a daemon starts without them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted([*super().list_commands(ctx), *(str(one.name) for one in _operator_commands())])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with this name; None if there is none."""
        found = super().get_command(ctx, cmd_name)
        if found is not None:
            return found
        return next((one for one in _operator_commands() if one.name == cmd_name), None)


def _operator_commands() -> Sequence[click.Command]:
    from larkweir.system.operator_commands import COMMANDS

    return COMMANDS


@click.group(cls=_LazyGroup)
def main() -> None:
    """A router fleet for a language model."""


@main.command()
@click.option("--debug", is_flag=True, help="Write a line for every request to the log.")
def router(*, debug: bool) -> None:
    """Runs a router, which forwards clients' requests to upstreams."""
    from larkweir.router.node import Router

    _run(lambda settings: Router(settings).run(), debug=debug)


@main.command()
def controller() -> None:
    """Runs a controller, which keeps the configuration and the list of upstreams for routers."""
    from larkweir.controller.node import Controller

    _run(lambda settings: Controller(settings).run())


@main.command()
def demo() -> None:
    """Starts a small fleet on this machine and prints commands to try."""
    from larkweir.system.demo import run_demo

    asyncio.run(run_demo())


def _run(serve: Callable[[Settings], Awaitable[None]], *, debug: bool = False) -> None:
    """Read the settings and serve until SIGTERM. An invalid file is reported in one line, with exit code 2."""
    import uvloop

    from larkweir.cluster import log
    from larkweir.cluster.tasks import EssentialTaskError, log_callback_failure

    try:
        settings = load()
    except SettingsError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    log.configure(settings.node, debug=debug)

    async def begin() -> None:
        asyncio.get_running_loop().set_exception_handler(log_callback_failure)
        await serve(settings)

    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(begin())
    except OSError as error:
        click.echo(f"{error.filename or 'data'}: {error.strerror}", err=True)
        sys.exit(EXIT_DATA)
    except EssentialTaskError as error:
        log.event("process_failed", error=str(error))
        sys.exit(EXIT_INTERNAL)

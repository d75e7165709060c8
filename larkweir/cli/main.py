"""Hands: `python -m larkweir`: which command is meant, and the exit code."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

USAGE = 2  # exit code: what was typed or configured can't be used


def main(arguments: Sequence[str]) -> int:
    """Carry out a command; returns the exit code: 0 is well, 1 a difference or failure, 2 bad use or
    configuration.
    """
    if not arguments or list(arguments) == ["run"]:
        from larkweir.cli.run import run

        return run(None, arguments)  # as the platform starts it: nothing else is imported
    options = _parser().parse_args(list(arguments))
    if options.command == "check":
        from larkweir.cli.check import check, diff

        return diff(*options.diff) if options.diff else check(options.files)
    if options.command == "demo":
        from larkweir.cli.demo import demo

        return demo(options.port, options.upstreams)
    from larkweir.cli.run import run

    return run(getattr(options, "operator", None), arguments)


def _parser() -> argparse.ArgumentParser:
    import argparse

    from larkweir import VERSION

    parser = argparse.ArgumentParser(
        prog="python -m larkweir",
        description="A load balancer in front of one tier of services. Without a command it runs, as the file "
        "that GW_CONFIG names tells it. To see it at work, try: python -m larkweir demo",
        epilog="Signals: SIGTERM and SIGINT drain and end, a second one hastens that; SIGHUP reads the files "
        "again; SIGUSR2 hands over to a successor, where the operator file allows it.",
    )
    parser.add_argument("--version", action="version", version=f"larkweir {VERSION}")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    run = commands.add_parser(
        "run",
        help="run one balancer (the default)",
        description="Run one balancer in the foreground. GW_CONFIG names the platform's file; GW_NAME, "
        "GW_LISTEN and GW_DISCOVERY go before it.",
    )
    run.add_argument(
        "--operator", metavar="FILE", help="an operator file (TOML); without it all parts are off"
    )
    check = commands.add_parser(
        "check",
        help="check configuration files, or compare two",
        description="Print every fault of platform files (JSON) and operator files (TOML) as `file: key: what is "
        "wrong and what would do`. Exit code 0 if there is none, else 2.",
    )
    check.add_argument("files", nargs="*", metavar="FILE", help="a file ending in .toml is an operator file")
    check.add_argument(
        "--diff",
        nargs=2,
        metavar=("OLD", "NEW"),
        help="print what differs, and whether a reload, a handover or a restart makes it count; exit code 0 if "
        "nothing differs, 1 if something does, 2 if a file is at fault",
    )
    demo = commands.add_parser(
        "demo",
        help="a balancer with a few upstreams on this machine, to try",
        description="Start a few small upstreams, a discovery and one balancer on 127.0.0.1, print a request to "
        "try, and run until Ctrl-C.",
    )
    demo.add_argument("--port", type=int, default=8080, help="the balancer's (default 8080; 0: any free one)")
    demo.add_argument("--upstreams", type=int, default=3, help="how many (default 3)")
    return parser


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

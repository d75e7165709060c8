"""`python -m larkweir`: which command is meant, and the exit code."""

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
        return _check(options)
    if options.command in ("format", "diff", "explain", "convert", "schema"):
        from larkweir.cli import language  # not imported where no file of it is read

        if options.command == "format":
            return language.format_files(options.files, options.write)
        if options.command == "diff":
            return language.diff(options.old, options.new, options.platform, options.format)
        if options.command == "explain":
            return language.explain(options.what, options.file)
        return language.convert(options.file) if options.command == "convert" else language.schema()
    if options.command == "state":
        from larkweir.cli.state import state  # not imported where there is no store

        return state(options.action, options.folder)
    if options.command == "lab":
        from larkweir.cli import lab  # not imported where nothing is played

        if options.action == "run":
            return lab.run(options.file, options.store, options.processes, options.narrow)
        if options.action == "replay":
            return lab.replay(options.logs, options.out, options.part, options.slots)
        return lab.report(options.store, options.html, options.csv, options.scenario, options.against)
    if options.command == "completion":
        return _completion(options.shell)
    if options.command == "load":
        from larkweir.cli import lab  # not imported where nothing is played

        where = options.to or []
        return lab.load(
            options.file, options.store, where, options.protocol, options.cls, options.path, options.seeds
        )
    if options.command == "routes":
        from larkweir.cli.routes import routes  # not imported where there are none

        return routes(options.file, getattr(options, "try") or ())
    if options.command == "members":
        from larkweir.cli.members import members

        return members(options.folder, options.verify)
    if options.command == "demo":
        from larkweir.cli.demo import demo

        return demo(options.port, options.upstreams)
    from larkweir.cli.run import run

    return run(getattr(options, "operator", None), arguments)


def _completion(shell: str) -> int:
    try:
        import shtab
    except ImportError:
        print("completion: needs more than the balancer does; install larkweir[completion]", file=sys.stderr)
        return USAGE
    print(shtab.complete(_parser(), shell))
    return 0


def _check(options: argparse.Namespace) -> int:
    """The files by their kinds: JSON of the platform, TOML, and the configuration language for all others."""
    from larkweir.cli.check import check, diff

    if options.diff:
        return diff(*options.diff)
    plain = [path for path in options.files if path.endswith((".json", ".toml"))]
    others = [path for path in options.files if path not in plain]
    worst = check(plain) if plain or not others else 0
    if others:
        from larkweir.cli import language

        worst = max(worst, language.check(others, options.platform, options.format))
    return worst


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
        "--operator",
        metavar="FILE",
        help="an operator file: the configuration language or TOML",
    )
    check = commands.add_parser(
        "check",
        help="check configuration files, or compare two",
        description="Print every fault of platform files (.json), operator files (.toml) and files of the "
        "configuration language (all others, with what they include). Exit code 0 if there is none, 1 if there are "
        "warnings alone, else 2.",
    )
    check.add_argument("files", nargs="*", metavar="FILE", help="its ending says what it is")
    _common(check)
    check.add_argument(
        "--diff",
        nargs=2,
        metavar=("OLD", "NEW"),
        help="print what differs, and whether a reload, a handover or a restart makes it count; exit code 0 if "
        "nothing differs, 1 if something does, 2 if a file is at fault",
    )
    layout = commands.add_parser(
        "format",
        help="lay files of the configuration language out",
        description="Print what the one layout changes, or write it. Exit code 0 if nothing changes or it was written, "
        "1 if something would, 2 if a file has faults.",
    )
    layout.add_argument("files", nargs="+", metavar="FILE")
    layout.add_argument("--write", action="store_true", help="write the files instead")
    behaviour = commands.add_parser(
        "diff",
        help="what changes in behaviour between two operator files",
        description="Say in sentences what changes, and when it counts. Exit code 0 if nothing does, 1 if something "
        "does, 2 at a fault.",
    )
    behaviour.add_argument("old", metavar="OLD")
    behaviour.add_argument("new", metavar="NEW")
    _common(behaviour)
    explain = commands.add_parser(
        "explain",
        help="the effective value of a key, and the line that it comes from",
        description="With a file: its values, or that of one key or table. Without: what a key may hold.",
    )
    explain.add_argument("what", metavar="KEY|FILE")
    explain.add_argument("file", nargs="?", metavar="FILE")
    convert = commands.add_parser("convert", help="print a TOML operator file in the configuration language")
    convert.add_argument("file", metavar="FILE")
    state = commands.add_parser(
        "state",
        help="what a store holds, whether it is whole, and a smaller one of it",
        description="show: counts and ages; verify: every fault; export: what a returning life would believe, as JSON; "
        "compact: a new generation, while no balancer has it. Exit code 1 where something is damaged.",
    )
    state.add_argument("action", choices=("show", "verify", "export", "compact"))
    state.add_argument("folder", metavar="FOLDER")
    members = commands.add_parser(
        "members",
        help="the list that a balancer would start from while discovery is down, with ages and trust",
        description="Print each upstream of a store's list: when discovery last vouched for it, when and how it was "
        "last proved, and what would be sent there. With --verify: only faults. Exit code 2 on a bad one.",
    )
    members.add_argument("--verify", action="store_true")
    members.add_argument("folder", metavar="FOLDER", help="of the store")
    routes = commands.add_parser(
        "routes",
        help="the routes of an operator file, and what becomes of a request",
        description="Print the routes, or with --try which one a request has, why, and which pool: "
        "--try 'POST /x host=a.example class=publicar tenant=acme x-beta=1'. Exit code 1 where one is refused.",
    )
    routes.add_argument("file", metavar="FILE")
    routes.add_argument("--try", action="append", metavar="REQUEST")
    lab = commands.add_parser(
        "lab",
        help="whole fleets in simulated time, with the real decisions and with peers' policies",
        description="lab run FILE: play a scenario, and go on where an earlier run has stopped. lab report STORE: "
        "what came of it, as text, a page or a table. Examples: lab run docs/lab/peers.toml --store peers.db; "
        "lab report peers.db --html peers.html.",
    )
    actions = lab.add_subparsers(dest="action", metavar="ACTION", required=True)
    play = actions.add_parser("run", help="play what is missing of a scenario")
    play.add_argument("file", metavar="FILE")
    play.add_argument("--store", default="lab.db", help="where results are kept (default lab.db)")
    play.add_argument("--processes", type=int, default=0, help="at a time (default: one for each core)")
    play.add_argument(
        "--narrow",
        type=float,
        default=0.0,
        help="stop a point early once half of its 95%% interval is so small",
    )
    shown = actions.add_parser("report", help="what came of it")
    shown.add_argument("store", metavar="STORE")
    shown.add_argument("--html", metavar="FILE")
    shown.add_argument("--csv", metavar="FILE")
    shown.add_argument("--scenario", default="", help="only this one")
    shown.add_argument(
        "--against", default="", help="the point that others are compared with, as 'policy random'"
    )
    again = actions.add_parser(
        "replay",
        help="a scenario of what balancers have logged",
        description="Logs as JSON (docs/operators/logs.md), one of each balancer, to OUT.toml and OUT.arrivals: "
        "arrivals as they came, servers with the times that calls took, faults where upstreams were left out.",
    )
    again.add_argument("logs", nargs="+", metavar="LOG")
    again.add_argument("--out", default="replay", metavar="OUT", help="default replay")
    again.add_argument(
        "--part", type=float, default=1.0, help="of the requests, that were told ([log] requests)"
    )
    again.add_argument(
        "--slots", type=int, default=8, help="calls that a server works on at a time (default 8)"
    )
    load = commands.add_parser(
        "load",
        help="a scenario's arrivals against running balancers, in real time",
        description="An open loop: requests go out when the scenario says, whatever comes back, and times count from "
        "then. Without --to the scenario's servers and balancers are started here for it. The result is kept "
        "beside those of lab run. Examples: load docs/lab/loopback.toml --store loopback.db; "
        "load s.toml --to 127.0.0.1:8080.",
    )
    load.add_argument("file", metavar="FILE")
    load.add_argument("--store", default="lab.db", help="where results are kept (default lab.db)")
    load.add_argument("--to", action="append", metavar="HOST:PORT", help="a balancer; may be given again")
    load.add_argument("--protocol", choices=("http1", "fastcgi"), default="http1", help="that --to speaks")
    load.add_argument("--class", dest="cls", default="consulta", help="of the requests (default consulta)")
    load.add_argument("--path", default="/api", help="that is asked for (default /api)")
    load.add_argument("--seeds", type=int, default=1, help="plays, one after another (default 1)")
    completion = commands.add_parser(
        "completion",
        help="a script that completes commands in a shell",
        description="Print it. For bash: source <(python -m larkweir completion bash). Needs the extra `completion`.",
    )
    completion.add_argument("shell", choices=("bash", "zsh", "tcsh"))
    commands.add_parser("schema", help="print a JSON schema of the operator file, for editors")
    demo = commands.add_parser(
        "demo",
        help="a balancer with a few upstreams on this machine, to try",
        description="Start a few small upstreams, a discovery and one balancer on 127.0.0.1, print a request to "
        "try, and run until Ctrl-C.",
    )
    demo.add_argument("--port", type=int, default=8080, help="the balancer's (default 8080; 0: any free one)")
    demo.add_argument("--upstreams", type=int, default=3, help="how many (default 3)")
    return parser


def _common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--platform", metavar="JSON", help="check policies beside this platform file too")
    parser.add_argument(
        "--format", choices=("text", "json"), default="text", help="for people or for programs"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Operators' commands for the configuration, the members, the upstreams, and the data folder of a controller."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import msgspec
from larkweir_replication.journal import Journal
from larkweir_replication.journal_files import FolderFiles

from larkweir.cluster.configuration.documents import make_patch
from larkweir.cluster.configuration.schema import first_problem
from larkweir.system.operator_calls import (
    EXIT_DAMAGED,
    EXIT_REJECTED,
    call,
    controllers_option,
    decode_accepted,
    json_option,
    print_json,
)
from larkweir.system.rollout_commands import rollouts


def _read_document(path: str) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(Path(path).read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_REJECTED)
    if not isinstance(document, dict):
        click.echo(f"{path}: not a JSON object", err=True)
        sys.exit(EXIT_REJECTED)
    return document


@click.group()
def config() -> None:
    """Reads, changes and checks the configuration."""


@config.command("get")
@controllers_option
def config_get(controllers: str) -> None:
    """Prints the newest configuration."""
    print_json(decode_accepted(call(controllers, "GET", "/config")))


@config.command("put")
@controllers_option
@click.option(
    "--base", type=int, required=True, help="the version that FILE builds on; 0 if there is none yet"
)
@click.argument("file", type=click.Path(dir_okay=False))
def config_put(controllers: str, base: int, file: str) -> None:
    """Replaces the configuration with FILE."""
    _change(controllers, "PUT", base, file)


@config.command("patch")
@controllers_option
@click.option("--base", type=int, required=True, help="the version that FILE builds on")
@click.argument("file", type=click.Path(dir_okay=False))
def config_patch(controllers: str, base: int, file: str) -> None:
    """Applies the patch in FILE to the configuration."""
    _change(controllers, "PATCH", base, file)


def _change(controllers: str, method: str, base: int, file: str) -> None:
    document = _read_document(file)
    decode_accepted(call(controllers, method, "/config", msgspec.json.encode(document), base))
    click.echo(f"version {document.get('generation')} is acknowledged")


@config.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def config_check(file: str) -> None:
    """Checks whether FILE is a valid configuration; prints the first error."""
    problem = first_problem(_read_document(file))
    if problem is not None:
        click.echo(f"{file}: {problem}", err=True)
        sys.exit(EXIT_REJECTED)
    click.echo(f"{file} is valid")


@config.command("diff")
@click.argument("old", type=click.Path(dir_okay=False))
@click.argument("new", type=click.Path(dir_okay=False))
def config_diff(old: str, new: str) -> None:
    """Prints the patch that turns OLD into NEW."""
    patch = make_patch(_read_document(old), _read_document(new))
    if patch is None:
        click.echo("no patch can express the difference: a member is named upsert or remove", err=True)
        sys.exit(EXIT_REJECTED)
    print_json(patch.to_json())


@click.command()
@controllers_option
@json_option
def status(controllers: str, raw: bool) -> None:
    """Prints the primary, the epoch and the lag of routers, as seen by each controller."""
    found = [decode_accepted(call(one, "GET", "/status")) for one in controllers.split(",")]
    if raw:
        print_json(found)
        return
    for one in found:
        behind = max((router["behind"] for router in one["routers"]), default=0)
        click.echo(
            f"{one['node']}: {one['role']}, primary {one['primary'] or 'unknown'}, epoch {one['epoch']}, "
            f"sequence {one['sequence']}, {len(one['members'])} members, {len(one['linked'])} linked, "
            f"{one['upstreams_ready']} upstreams ready, {len(one['routers'])} routers, at most {behind} behind"
        )


@click.command()
@controllers_option
@json_option
def members(controllers: str, raw: bool) -> None:
    """Prints the voting controllers."""
    found = decode_accepted(call(controllers, "GET", "/status"))
    if raw:
        print_json(found["members"])
        return
    for node in found["members"]:
        click.echo(f"{node}{' (primary)' if node == found['primary'] else ''}")


@click.command()
@controllers_option
@json_option
def upstreams(controllers: str, raw: bool) -> None:
    """Prints all upstreams that a controller knows."""
    found = decode_accepted(call(controllers, "GET", "/upstreams"))
    if raw:
        print_json(found)
        return
    for one in found:
        silent = ", silent" if one["silent"] else ""
        click.echo(f"{one['id']} {one['service']} {one['address']} {one['zone']} {one['state']}{silent}")


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@json_option
def state(folder: str, raw: bool) -> None:
    """Prints a summary of a controller's data FOLDER and checks that it is intact. Changes nothing."""
    journal = Journal(FolderFiles(os.path.join(folder, "replica")))
    newest = journal.newest
    if newest is None or newest.snapshot is None:
        problem = "the journal is damaged" if journal.is_damaged else "there is no intact record"
        click.echo(f"{folder}: {problem}, {journal.unreadable_bytes} bytes can't be read", err=True)
        sys.exit(EXIT_DAMAGED)
    found = {
        "promised": newest.promised.number,
        "epoch": newest.snapshot.epoch.number,
        "sequence": newest.snapshot.sequence,
        "members": newest.snapshot.members,
        "changes_remembered": len(newest.snapshot.applied_commands),
        "value_bytes": len(newest.snapshot.value),
        "damaged_bytes": journal.unreadable_bytes,
    }
    if raw:
        print_json(found)
        return
    for name, value in found.items():
        shown = ", ".join(value) if isinstance(value, tuple) else value
        click.echo(f"{name.replace('_', ' ')}: {shown}")


COMMANDS: Sequence[click.Command] = (config, rollouts, status, members, upstreams, state)

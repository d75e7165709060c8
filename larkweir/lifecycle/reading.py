"""Hands: the files of a generation, read whole and checked whole, on a thread."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, NamedTuple

from larkweir.config.classes import in_place
from larkweir.config.keys import Change
from larkweir.config.options import Operator, changed
from larkweir.config.options import keep_fixed as keep_fixed_options
from larkweir.config.platform import Config, ConfigError, decode_object, read_file, read_object
from mulleinhitch.interface import fixed_difference


class Generation(NamedTuple):
    """What the program is told, as far as it counts now, and the platform file's object that it is from. In `config`
    the
    policies of the operator file are in force.
    """

    config: Config
    options: Operator
    raw: dict[str, Any]
    fingerprint: str = ""  # of what is in force, where a file of the configuration language says it


class Reading(NamedTuple):
    """A generation that may take over, and the keys that can't count yet."""

    generation: Generation
    fixed: tuple[str, ...]  # need a successor
    later: tuple[str, ...]  # count from the next start


# New with each writing of the file, or of use at a start only: nobody waits for them to count.
QUIET = frozenset(("seed", "known"))


def load_options(path: str | None) -> Operator:
    if path is None:
        return Operator()
    # Neither is imported where there is no operator file.
    if path.endswith(".toml"):
        from larkweir.config.operator import load

        return load(path)
    from larkweir.language.files import load as load_language

    return load_language(path)


def governed(config: Config, options: Operator) -> Config:
    """The platform's file with staff's policies over it; ConfigError, one line, where they can't stand beside it."""
    if options.routes or options.pools:
        from larkweir.config.routing import checked  # not imported where there is no route

        checked(options, config)
    placed(config, options)
    if options.edits.on:
        from larkweir.config.peering import merging  # not imported where it is off

        merging(options, config)
    if not options.governs:
        return config
    from larkweir.config.policies import in_force, objections

    for item in objections(config.settings, config.drain_grace_ms, options):
        if item.grave:
            raise ConfigError(f"operator file: {item.key}: {item.text}; {item.mend}")
    return in_force(config, options)


def placed(config: Config, options: Operator) -> None:
    """ConfigError, one line, where this process has no place among its peers, or a keeper has none."""
    if options.owners.on:
        from larkweir.config.peering import keeping  # not imported where it is off

        keeping(options, config)
    elif options.peers.on:
        from larkweir.config.peering import peering

        peering(options.peers, config)


def first(env: Mapping[str, str], operator: str | None) -> Generation:
    """At the start; ConfigError if anything is wrong."""
    raw = read_object(read_file(env))
    options = load_options(operator)
    return Generation(governed(decode_object(raw, env), options), options, raw, options.fingerprint)


TRIES = 5
PAUSE_S = 0.05


def settled_text(env: Mapping[str, str]) -> str:
    """The file's text once two readings a moment apart agree: guards against one that is being written. A
    writer that renames a whole file into place is never waited for longer than that.
    """
    text = read_file(env)
    for _ in range(TRIES):
        time.sleep(PAUSE_S)
        again = read_file(env)
        if again == text:
            break
        text = again
    return text


def again(now: Generation, env: Mapping[str, str], operator: str | None) -> Reading:
    """The files once more; ConfigError if anything in them is wrong, also in what can't count yet."""
    if now.options.lifecycle.reload == "discovery" and operator is None:
        config = decode_object(read_object(read_file(env)), env, again=True)
        return Reading(now._replace(config=replace(now.config, discovery=config.discovery)), (), ())
    from larkweir.config.changes import differences, keep_fixed, short_of  # of no use before the first reload

    raw = read_object(settled_text(env))
    lacks = short_of(now.raw, raw)
    if lacks:
        raise ConfigError(f"{lacks}: missing")
    config = decode_object(raw, env, again=True)
    told = load_options(operator)
    options = keep_fixed_options(now.options, told)
    governed(config, told)  # also in what can't count yet
    changes = [(key, change) for key, (_, _, change) in changed(now.options, told).items()]
    if not now.options.edits.on and (
        bool(now.options.routes or now.options.pools) != bool(told.routes or told.pools)
    ):
        # One kind of decisions does not become the other while requests hang on it.
        options = replace(options, routes=now.options.routes, pools=now.options.pools)
        changes = [
            (key, Change.HANDOVER if key.startswith(("route.", "pool.")) else change)
            for key, change in changes
        ]
    if told.lifecycle.reload == "discovery":
        # Policies are the operator file's: they count although the platform file's settings do not.
        base = now.config
        if options.governs or now.options.governs:
            base = governed(decode_object(now.raw, env, again=True), options)
            base = replace(base, settings=in_place(now.config.settings.classes, base.settings))
        generation = Generation(replace(base, discovery=config.discovery), options, now.raw, told.fingerprint)
    else:
        changes += [(item.key, item.change) for item in differences(now.raw, raw)]
        raw = keep_fixed(now.raw, raw)
        config = governed(decode_object(raw, env, again=True), options)
        settings = in_place(now.config.settings.classes, config.settings)
        problem = fixed_difference(now.config.settings, settings)
        if problem:
            raise ConfigError(f"settings: {problem} can't change in service; it counts from the next start")
        generation = Generation(config, options, raw, told.fingerprint)
    placed(generation.config, options)  # the list counts now, and what rests on it from a handover
    return Reading(
        generation,
        tuple(key for key, change in changes if change is Change.HANDOVER),
        tuple(key for key, change in changes if change is Change.START and key not in QUIET),
    )

"""Loads and checks the files of a configuration, at the start and for a reload (then on a thread: it blocks)."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, NamedTuple

from larkweir_balancing.interface import fixed_difference

from larkweir.config.classes import in_place
from larkweir.config.keys import Change
from larkweir.config.options import Operator, changed
from larkweir.config.options import keep_fixed as keep_fixed_options
from larkweir.config.platform import Config, ConfigError, decode_object, read_file, read_object

UNREPORTED_KEYS = frozenset(("seed", "known"))  # new with each writing of the file, or of use at a start only
MAX_READS = 5  # of a file that is being written
READ_PAUSE_S = 0.05  # between two of them

Environment = Mapping[str, str]


class ConfigGeneration(NamedTuple):
    """The configuration as far as it is in force. In `config` the operator file's policies are applied; `raw` is the
    platform file's object that it is from.
    """

    config: Config
    options: Operator
    raw: dict[str, Any]
    fingerprint: str = ""  # of what is in force, where a file of the configuration language says it


class LoadedConfig(NamedTuple):
    """A generation that may take effect, and the changed keys that don't yet."""

    generation: ConfigGeneration
    handover_keys: tuple[str, ...]  # count in a successor
    restart_keys: tuple[str, ...]  # count from the next start


def load_options(path: str | None) -> Operator:
    """The operator file's options, the defaults where there is no file; ConfigError if anything is wrong."""
    if path is None:
        return Operator()
    # Neither is imported where there is no operator file.
    if path.endswith(".toml"):
        from larkweir.config.operator import load

        return load(path)
    from larkweir.language.files import load as load_language

    return load_language(path)


def load_config(env: Environment, operator_path: str | None) -> ConfigGeneration:
    """The configuration at the start; ConfigError if anything is wrong."""
    raw = read_object(read_file(env))
    options = load_options(operator_path)
    config = apply_policies(decode_object(raw, env), options)
    return ConfigGeneration(config, options, raw, options.fingerprint)


def apply_policies(config: Config, options: Operator) -> Config:
    """The platform's file with the operator's policies over it; ConfigError, one line, where they contradict it."""
    if options.routes or options.pools:
        from larkweir.config.routing import checked  # not imported where there is no route

        checked(options, config)
    check_peering(config, options)
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


def check_peering(config: Config, options: Operator) -> None:
    """ConfigError, one line, where this process has no place among its peers, or a keeper has none."""
    if options.owners.on:
        from larkweir.config.peering import keeping  # not imported where it is off

        keeping(options, config)
    elif options.peers.on:
        from larkweir.config.peering import peering

        peering(options.peers, config)


def read_stable_file(env: Environment) -> str:
    """The platform file's text once two readings a moment apart agree: guards against one that is being written. A
    writer that renames a complete file into place is never waited for longer than that.
    """
    text = read_file(env)
    for _ in range(MAX_READS):
        time.sleep(READ_PAUSE_S)
        newer = read_file(env)
        if newer == text:
            break
        text = newer
    return text


def reload_config(current: ConfigGeneration, env: Environment, operator_path: str | None) -> LoadedConfig:
    """The files once more; ConfigError if anything in them is wrong, also in what can't count yet."""
    if current.options.lifecycle.reload == "discovery" and operator_path is None:
        config = decode_object(read_object(read_file(env)), env, again=True)
        config = replace(current.config, discovery=config.discovery)
        return LoadedConfig(current._replace(config=config), (), ())
    from larkweir.config.changes import short_of  # of no use before the first reload

    raw = read_object(read_stable_file(env))
    missing = short_of(current.raw, raw)
    if missing:
        raise ConfigError(f"{missing}: missing")
    config = decode_object(raw, env, again=True)
    loaded = load_options(operator_path)
    apply_policies(config, loaded)  # also what can't count yet is checked
    options, changes = _options_in_force(current, loaded)
    if loaded.lifecycle.reload == "discovery":
        generation = _with_discovery(current, env, config, options, loaded.fingerprint)
    else:
        generation, more = _with_settings(current, env, raw, options, loaded.fingerprint)
        changes += more
    check_peering(generation.config, options)  # the list counts now, and what rests on it from a handover
    return LoadedConfig(
        generation,
        tuple(key for key, change in changes if change is Change.HANDOVER),
        tuple(key for key, change in changes if change is Change.START and key not in UNREPORTED_KEYS),
    )


_Changes = list[tuple[str, Change]]


def _options_in_force(current: ConfigGeneration, loaded: Operator) -> tuple[Operator, _Changes]:
    """The loaded options as far as they can count now, and all that has changed in them."""
    options = keep_fixed_options(current.options, loaded)
    changes = [(key, change) for key, (_, _, change) in changed(current.options, loaded).items()]
    had_routes = bool(current.options.routes or current.options.pools)
    if current.options.edits.on or had_routes == bool(loaded.routes or loaded.pools):
        return options, changes
    # One kind of decisions does not become the other while requests depend on it.
    options = replace(options, routes=current.options.routes, pools=current.options.pools)
    changes = [
        (key, Change.HANDOVER if key.startswith(("route.", "pool.")) else change) for key, change in changes
    ]
    return options, changes


def _with_discovery(
    current: ConfigGeneration, env: Environment, config: Config, options: Operator, fingerprint: str
) -> ConfigGeneration:
    """Of the platform's file the discovery address alone counts. Policies are the operator file's: they count although
    the platform file's settings do not.
    """
    base = current.config
    if options.governs or current.options.governs:
        base = apply_policies(decode_object(current.raw, env, again=True), options)
        base = replace(base, settings=in_place(current.config.settings.classes, base.settings))
    return ConfigGeneration(replace(base, discovery=config.discovery), options, current.raw, fingerprint)


def _with_settings(
    current: ConfigGeneration, env: Environment, raw: dict[str, Any], options: Operator, fingerprint: str
) -> tuple[ConfigGeneration, _Changes]:
    """All of the platform's file counts that may change in service; the changes of the file."""
    from larkweir.config.changes import differences, keep_fixed

    changes = [(item.key, item.change) for item in differences(current.raw, raw)]
    raw = keep_fixed(current.raw, raw)
    config = apply_policies(decode_object(raw, env, again=True), options)
    settings = in_place(current.config.settings.classes, config.settings)
    problem = fixed_difference(current.config.settings, settings)
    if problem:
        raise ConfigError(f"settings: {problem} can't change in service; it counts from the next start")
    return ConfigGeneration(config, options, raw, fingerprint), changes

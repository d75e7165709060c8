"""What a change between two models comes to, in sentences that staff can act on, and as data."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from larkweir.config.keys import Change
from larkweir.config.options import NAMED, TABLES, Operator, changed
from larkweir.language.amounts import written
from larkweir.language.model import Key, keys_of

WHEN = {
    Change.LIVE: "counts with the next reload",
    Change.HANDOVER: "counts in a successor (SIGUSR2), else from the next start",
    Change.START: "counts from the next start",
}


@dataclass(frozen=True, slots=True)
class Sentence:
    key: str  # table.key, as the language writes it
    old: str
    new: str
    change: Change
    text: str

    def as_data(self) -> dict[str, str]:
        return {
            "key": self.key,
            "old": self.old,
            "new": self.new,
            "when": self.change.value,
            "text": self.text,
        }


def shown(key: Key, value: Any) -> str:
    """A value as the language writes it."""
    if value is None:
        return "as the platform says"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int | float):
        return written(float(value), key.unit)
    if isinstance(value, tuple):
        return "[" + ", ".join(f'"{item}"' for item in value) + "]"
    return f'"{value}"' if key.kind is str else str(value)


def _class(label: str, name: str, old: Any, new: Any, key: Key) -> str:
    who = "every class without its own word" if label == "*" else f"`{label}`"
    one, other = shown(key, old), shown(key, new)
    if name == "attempts" and new is not None:
        was = "as often as the platform says" if old is None else f"{old}"
        times = "once" if new == 1 else f"{new} times"
        return f"{who} may be tried {times} instead of {was}; requests under way keep theirs"
    if name == "worth" and old is not None and new is not None:
        way = "before" if new > old else "behind"
        return f"{who} is worth {other} instead of {one}: where not all can be served it goes further {way} others"
    if name == "repeats" and new is not None:
        meaning = {
            "never": "is sent again only where every earlier try has surely not run",
            "by_key": "is sent again only to upstreams that drop its repeats",
            "freely": "may be sent again freely",
        }[new]
        return f"{who} {meaning}, instead of {one}; requests under way keep what they came with"
    words = {"aim_ms": "is wanted within", "deadline_ms": "is given up after"}.get(name, f"has {key.written}")
    return f"{who} {words} {other} instead of {one}; requests under way keep theirs"


SENTENCES: dict[str, str] = {
    "retries.ratio": "each request earns {new} of a further attempt instead of {old}",
    "retries.burst": "up to {new} further attempts are saved up instead of {old}",
    "ejection.odds": "an upstream is left out for a run of failures that has odds under {new}, instead of {old}",
    "ejection.most": "at most {new} of the ready upstreams are left out at once, instead of {old}",
    "ejection.slow": "an answer counts as slow from {new} the usual time on, instead of {old}",
    "queue.patience": "a request waits for a place for up to {new} of its aim, instead of {old}",
    "queue.standing": "while others have been waiting all along it waits for up to {new} of its aim, instead of {old}",
    "cold.pace": "cold upstreams are given {new} of what would push them over, instead of {old}",
    "drain.grace_ms": "something new may go to a drained upstream for {new} after the word, instead of {old};"
    " drains told before keep their grace or a shorter one",
    "advice.most_ms": "who is refused is told to come back after {new} at the most, instead of {old}",
    "storms.on": "storms after an outage are told and damped: {new} instead of {old}",
    "log.format": "the log is written as {new} instead of {old}",
    "log.requests": "{new} of the requests are told in the log when they end, instead of {old}",
    "door.on": "requests are turned away at the door where this process is the limit: {new} instead of {old}",
    "budget.on": "attempts and time are budgeted across tiers: {new} instead of {old}",
    "lifecycle.reload": "a reload reads {new} again instead of {old}",
    "lifecycle.accept_ms": "after SIGTERM new connections are taken for {new} instead of {old}",
    "lifecycle.handover": "a successor takes the sockets over: {new} instead of {old}",
}


def sentences(old: Operator, new: Operator) -> list[Sentence]:
    """What changes in behaviour from one to the other, and when; empty where only the spelling differs."""
    found = []
    for path, (before, after, change) in changed(old, new).items():
        table, _, rest = path.partition(".")
        label, _, name = rest.rpartition(".")
        kind = TABLES.get(table) or NAMED[table][0]
        key = next(item for item in keys_of(kind).values() if item.name == name)
        one, other = shown(key, before), shown(key, after)
        written_path = f'{table} "{label}".{key.written}' if label else f"{table}.{key.written}"
        if table == "class":
            text = _class(label, name, before, after, key)
        elif table == "tenant":
            text = f"`{label}` has a share of {other} instead of {one}; what is beyond a share is turned away first"
        else:
            pattern = SENTENCES.get(f"{table}.{name}", f"{written_path} is {{new}} instead of {{old}}")
            text = pattern.format(new=other, old=one)
        found.append(Sentence(written_path, one, other, change, text))
    return found


def as_language(options: Operator) -> str:
    """The options as a file of the language: what differs from the defaults, each table once."""
    lines: list[str] = []
    plain = Operator()
    blocks: list[tuple[str, Any, Any]] = [
        (table, getattr(options, table), getattr(plain, table)) for table in TABLES
    ]
    for table, (kind, held) in NAMED.items():
        blocks += [
            (f'{table} "{_escaped(name)}"', row, kind()) for name, row in getattr(options, held).items()
        ]
    for head, row, default in blocks:
        keys = keys_of(type(row))
        said = [key for key in keys.values() if getattr(row, key.name) != getattr(default, key.name)]
        if said or " " in head:
            lines += ["", f"{head} {{"] if lines else [f"{head} {{"]
            lines += [f"    {key.written} = {_value(key, getattr(row, key.name))};" for key in said]
            lines.append("}")
    return "\n".join(lines) + "\n" if lines else ""


def _value(key: Key, value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(f'"{_escaped(item)}"' for item in value) + "]"
    if key.kind is str:
        return f'"{_escaped(value)}"'
    return shown(key, value)


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t")

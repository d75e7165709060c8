"""`state`: what a store holds, whether it is whole, and how to make it small (that only while it is free)."""

from __future__ import annotations

import json
import os
import sys
import time
from typing import Any

from larkweir.store.disk import Disk, Files, read_files
from larkweir.store.records import StoreError, read_header
from larkweir.store.recoverable_state import RecoverableState, recoverable_state
from larkweir.store.recovery import Recovered, recover

WELL, DAMAGED, BAD = 0, 1, 2


def read_store(folder: str) -> tuple[dict[str, bytes], bytes]:
    """The store's files, without its lock: reading changes nothing. And the site of the newest that tells one."""
    found = read_files(Files(folder))
    site = b""
    for name in sorted(
        found, key=lambda item: int(item.split(".")[0]) if item.split(".")[0].isdigit() else -1
    ):
        try:
            _, site, _ = read_header(found[name])
        except StoreError:
            continue
    return found, site


def _facts(found: dict[str, bytes], recovered: Recovered) -> dict[str, Any]:
    state = recovered.state
    return {
        "files": {name: len(data) for name, data in sorted(found.items())},
        "generation": recovered.generation,
        "log records": recovered.records,
        "listed": len(state.listed),
        "drains": len(state.drains),
        "open or late": len(state.open),
        "learned s ago": round((time.time() * 1000.0 - state.learned_ms) / 1000.0)
        if state.learned_ms
        else None,
        "discovery": state.source,
        "faults": list(recovered.faults),
    }


def _exported(found: RecoverableState) -> dict[str, Any]:
    """The fields by the names that `state export` prints."""
    return {
        "held": found.listing,
        "source": found.source,
        "drains": found.drains,
        "ids": found.request_ids,
        "learned": found.learned,
        "doubts": found.warnings,
        "rows": found.evidence,
        "churn": found.churn,
        "clock_doubt": found.is_clock_uncertain,
    }


def state(action: str, folder: str) -> int:
    """Carry out one of show, verify, export, compact; 0 is well, 1 damaged, 2 where it can't be done."""
    try:
        if action == "compact":
            return _compact(folder)
        found, site = read_store(folder)
    except OSError as problem:
        print(f"{folder}: {problem.strerror or problem}", file=sys.stderr)
        return BAD
    if not found:
        print(f"{folder}: no store is here", file=sys.stderr)
        return BAD
    recovered = recover(found, site)
    if action == "export":
        told = recoverable_state(recovered.state, time.time() * 1000.0, 0.0)
        print(json.dumps(_exported(told), indent=2))
    elif action == "show":
        for key, value in _facts(found, recovered).items():
            print(f"{key}: {json.dumps(value)}")
    else:
        for fault in recovered.faults:
            print(f"{folder}: {fault}")
    return DAMAGED if recovered.faults else WELL


def _compact(folder: str) -> int:
    """A new generation from what is there, with the lock."""
    if not os.path.isdir(folder):
        print(f"{folder}: no store is here", file=sys.stderr)
        return BAD
    _, site = read_store(folder)
    disk = Disk(Files(folder), site)
    recovered = disk.open()
    try:
        recovered.state.prune(time.time() * 1000.0)
        disk.begin_generation(None, recovered.state)
    finally:
        disk.close()
    return WELL

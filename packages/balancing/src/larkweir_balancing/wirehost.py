"""Adapter that hosts many balancer instances for the simulator, by its wire format on standard input and output."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from larkweir_balancing.errors import SettingsError, WireError
from larkweir_balancing.policy import Balancer
from larkweir_balancing.wire import (
    HEADER,
    Decoder,
    Destroy,
    Hello,
    encode_action,
    encode_crash,
)
from larkweir_balancing.wire import encode_reply as frame_reply
from larkweir_balancing.wire_settings import decode_settings


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; a batch is decoded completely before its reply is written."""
    decoder = Decoder()
    balancers: dict[int, Balancer] = {}
    while True:
        header = source.read(HEADER.size)
        if not header:
            return
        if len(header) < HEADER.size:
            raise WireError("input ends inside a batch header")
        clock, length, count = HEADER.unpack(header)
        if length < HEADER.size:
            raise WireError(f"a batch of {length} bytes is shorter than its header")
        body = source.read(length - HEADER.size)
        if len(body) < length - HEADER.size:
            raise WireError("input ends inside a batch")
        replies: list[bytes] = []
        for inst, event in decoder.batch(body, count):
            try:
                if isinstance(event, Hello):
                    balancers[inst] = Balancer(decode_settings(event.settings_json), event.seed)
                elif isinstance(event, Destroy):
                    balancers.pop(inst, None)
                elif inst in balancers:
                    replies.extend(
                        encode_action(inst, action) for action in balancers[inst].handle(clock, event)
                    )
                else:
                    raise WireError(f"event for instance {inst}, which has not started")
            except WireError:
                raise
            except SettingsError as problem:
                replies.append(encode_crash(inst, f"settings refused: {problem}"))
            except Exception as problem:
                traceback.print_exc(file=sys.stderr)
                replies.append(encode_crash(inst, f"{type(problem).__name__}: {problem}"))
        sink.write(frame_reply(replies))
        sink.flush()


def main() -> int:
    """Run until the end of input; a malformed frame ends with a plain message and status 1."""
    gc.disable()  # instances live long and have few cycles; GC pauses would count as decision cost
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as problem:
        print(f"wirehost: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

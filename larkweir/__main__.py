"""`python -m larkweir`."""

from __future__ import annotations

import signal
import sys

# Until there is a handler: the default of these would end the process, and a service manager may send them
# while it still comes up.
for _number in (
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGPWR,
):
    signal.signal(_number, signal.SIG_IGN)

from larkweir.cli.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

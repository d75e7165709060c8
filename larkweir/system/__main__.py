"""`python -m larkweir.system`: one program for all roles; the subcommand selects the role."""

from __future__ import annotations

import signal
import sys

# The default actions of these signals would end a process that has not yet installed its handlers.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGPIPE, signal.SIG_IGN)

import larkweir.cluster.process_start  # noqa: E402, F401
from larkweir.system.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())

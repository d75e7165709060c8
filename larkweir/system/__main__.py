"""`python -m larkweir.system`: one program, its role as a subcommand."""

from __future__ import annotations

import signal
import sys

# Until there are handlers, the default of these would end a process that is still coming up.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGPIPE, signal.SIG_IGN)

import larkweir.cluster.process_start  # noqa: E402, F401
from larkweir.system.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())

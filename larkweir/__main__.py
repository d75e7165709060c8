"""`python -m larkweir`."""

from __future__ import annotations

import sys

from larkweir.cli.main import main

if __name__ == "__main__":
    sys.exit(main())

"""The root of larkweir's exceptions. Each module defines its own beside the code that raises them."""

from __future__ import annotations


class LarkweirError(Exception):
    """A fault that larkweir found and names: the message is one line, for an operator."""

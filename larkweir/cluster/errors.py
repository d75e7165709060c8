"""The base class of larkweir's exceptions. Each module defines its own exceptions next to the code that raises them."""

from __future__ import annotations


class LarkweirError(Exception):
    """An error that larkweir detected itself. Its message is a single line for operators."""

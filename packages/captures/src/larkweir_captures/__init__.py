"""Captures that agree over hops, bounded in any window, and kept after the fact."""

"""The entry instance: everything between callers and back ends."""

from __future__ import annotations

from magnoliapitch.entry.adapters import Adapters
from magnoliapitch.entry.node import EntryNode


__all__ = ["Adapters", "EntryNode"]

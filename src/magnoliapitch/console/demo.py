"""The ``demo`` command."""

from __future__ import annotations

import sys

from magnoliapitch.standin.demo import run_demo


def demo() -> None:
    """Run both users' workloads against in-process stand-ins."""
    sys.exit(0 if run_demo() else 1)

"""Runs an instance from a checkout, without installing the package."""

from __future__ import annotations

import sys

from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from magnoliapitch.console.daemon import main


main()

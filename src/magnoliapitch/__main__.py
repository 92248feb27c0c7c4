"""Entry point of ``python -m magnoliapitch``."""

from __future__ import annotations

from magnoliapitch.console.application import main


main()

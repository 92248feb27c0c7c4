"""Exit codes of every command."""

from __future__ import annotations

import os

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command tells the program that called it."""

    DONE = 0
    FAILED = 1
    USAGE = os.EX_USAGE
    INVALID_FILE = os.EX_DATAERR
    UNREACHABLE = os.EX_UNAVAILABLE
    GAVE_UP = os.EX_SOFTWARE
    CANNOT_START = os.EX_OSERR
    MAY_HAVE_RUN = os.EX_TEMPFAIL

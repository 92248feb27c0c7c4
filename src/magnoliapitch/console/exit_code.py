"""Exit codes of every command."""

from __future__ import annotations

import os

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    DONE: the command succeeded. FAILED: it failed, or the server reported a
    failure. USAGE: the command line is wrong. INVALID_FILE: an input file
    cannot be read or is not valid. UNREACHABLE: the server cannot be
    reached. GAVE_UP: a part of the instance failed more often than the
    restart limit allows. CANNOT_START: the instance cannot start.
    MAY_HAVE_RUN: the outcome is unknown and the request may have run.
    """

    DONE = 0
    FAILED = 1
    USAGE = os.EX_USAGE
    INVALID_FILE = os.EX_DATAERR
    UNREACHABLE = os.EX_UNAVAILABLE
    GAVE_UP = os.EX_SOFTWARE
    CANNOT_START = os.EX_OSERR
    MAY_HAVE_RUN = os.EX_TEMPFAIL

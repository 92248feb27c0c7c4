"""Functions that apply record entries to the replicated state.

Importing the modules registers the handlers.
"""

from __future__ import annotations

from magnoliapitch.journal.handler import catalogue
from magnoliapitch.journal.handler import job
from magnoliapitch.journal.handler import member
from magnoliapitch.journal.handler import request
from magnoliapitch.journal.handler import snapshot
from magnoliapitch.journal.handler import unit


__all__ = ["catalogue", "job", "member", "request", "snapshot", "unit"]

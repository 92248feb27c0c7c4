"""Decides which queue a caller may use, and for which workspace.

Nothing here calls the network: the configuration is handed in, and the wait
for a newer one ends when another thread records that it was checked.
"""

from __future__ import annotations

from magnoliapitch.access.caller import UNRESTRICTED
from magnoliapitch.access.caller import Caller
from magnoliapitch.access.freshness import ConfigurationFreshness
from magnoliapitch.access.gate import AccessGate
from magnoliapitch.access.gate import Grant
from magnoliapitch.access.rejection import forbidden_failure
from magnoliapitch.access.table import AccessTable


__all__ = [
    "UNRESTRICTED",
    "AccessGate",
    "AccessTable",
    "Caller",
    "ConfigurationFreshness",
    "Grant",
    "forbidden_failure",
]

"""In-memory stand-ins for the platform, workers and backend servers.

Tests, benchmarks and the commands ``dev`` and ``demo`` use them.
"""

from __future__ import annotations

from magnoliapitch.standin.backend import StandinBackends
from magnoliapitch.standin.instance import StandinInstanceList
from magnoliapitch.standin.log import StandinLog
from magnoliapitch.standin.worker import StandinWorkers


__all__ = [
    "StandinBackends",
    "StandinInstanceList",
    "StandinLog",
    "StandinWorkers",
]

"""Adapters to the users' platform.

Paths, fields and names of the platform's protocols are translated here, and
only here, into the project's own types.
"""

from __future__ import annotations

from magnoliapitch.platform.advisor import PlatformAdvisor
from magnoliapitch.platform.directory import PlatformDirectory
from magnoliapitch.platform.job_application import job_application
from magnoliapitch.platform.store import PlatformStore
from magnoliapitch.platform.workers import PlatformWorkers


__all__ = [
    "PlatformAdvisor",
    "PlatformDirectory",
    "PlatformStore",
    "PlatformWorkers",
    "job_application",
]

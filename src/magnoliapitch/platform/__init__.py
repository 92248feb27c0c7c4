"""Translation between the product and the users' platform.

Everything that the platform names in its own way is decoded here, once.
"""

from __future__ import annotations

from magnoliapitch.platform.advisor import PlatformAdvisor
from magnoliapitch.platform.directory import PlatformDirectory
from magnoliapitch.platform.job_application import front_application
from magnoliapitch.platform.store import PlatformStore
from magnoliapitch.platform.workers import PlatformWorkers


__all__ = [
    "PlatformAdvisor",
    "PlatformDirectory",
    "PlatformStore",
    "PlatformWorkers",
    "front_application",
]

"""The jobs and their progress, stored in keyed streams."""

from __future__ import annotations

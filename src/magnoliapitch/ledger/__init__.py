"""Stored jobs, their progress and states, and the election of the leader.

Everything is kept in streams of keyed records in a shared store.
"""

from __future__ import annotations

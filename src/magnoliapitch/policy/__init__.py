"""Configuration of scheduling policies.

It is separate from the policies so that the settings can be loaded without
importing the policies and the libraries that these need.
"""

from __future__ import annotations

from magnoliapitch.policy.exceptions import UnknownProfileError
from magnoliapitch.policy.options import PACKING_FIRST
from magnoliapitch.policy.options import WAITING_FIRST
from magnoliapitch.policy.options import PolicyOptions
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.policy.options import options_of


__all__ = [
    "PACKING_FIRST",
    "WAITING_FIRST",
    "PolicyOptions",
    "PolicyWeights",
    "UnknownProfileError",
    "options_of",
]

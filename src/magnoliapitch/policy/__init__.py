"""Options of scheduling policies, as settings hold them.

Settings load these without the policies and the libraries behind them.
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

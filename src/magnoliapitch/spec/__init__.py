"""Small models of the protocols, for exhaustive model checking."""

from __future__ import annotations

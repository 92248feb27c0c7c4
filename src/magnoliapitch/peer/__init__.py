"""Cap'n Proto RPC between entry instances."""

from __future__ import annotations

from magnoliapitch.peer.node import PeerHandler
from magnoliapitch.peer.node import PeerNode


__all__ = ["PeerHandler", "PeerNode"]

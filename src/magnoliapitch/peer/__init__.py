"""Cap'n Proto RPC between entry instances."""

from __future__ import annotations

from magnoliapitch.peer.link import PeerHandler
from magnoliapitch.peer.link import PeerLink
from magnoliapitch.peer.node import PeerNode


__all__ = ["PeerHandler", "PeerLink", "PeerNode"]

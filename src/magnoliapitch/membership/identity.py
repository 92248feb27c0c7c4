"""Identity of one run of an entry instance."""

from __future__ import annotations

import uuid

from typing import NamedTuple


class Identity(NamedTuple):
    """Names one run of an entry instance.

    :param incarnation: unique to this run; a restart gets another.
    :param peer_address: ``IP:PORT`` of the peer listener.
    """

    instance_id: str
    incarnation: str
    zone: str
    peer_address: str

    @classmethod
    def create(
        cls, instance_id: str, zone: str, peer_address: str
    ) -> Identity:
        """Return the identity of a new run."""
        return cls(instance_id, uuid.uuid4().hex, zone, peer_address)

"""Identity of one run of an entry instance."""

from __future__ import annotations

import uuid

from typing import NamedTuple


class Identity(NamedTuple):
    """Identifies one run of an entry instance.

    :param instance_id: name of the instance, the same after a restart.
    :param incarnation: id of this run; each restart creates a new one.
    :param zone: availability zone.
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

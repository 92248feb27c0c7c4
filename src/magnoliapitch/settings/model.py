"""Schema of the settings file."""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple

from pydantic import Field


Port = Annotated[int, Field(ge=0, le=65_535)]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
Threads = Annotated[int, Field(ge=1, le=4_096)]


class Settings(NamedTuple):
    """Settings of one entry instance.

    :param instance_id: unique name of the instance.
    :param zone: availability zone.
    :param address: IP number to listen on and to give to peers.
    :param caller_port: port of the callers' HTTP listener.
    :param admin_port: port of the operators' HTTP listener.
    :param peer_port: port of the peer RPC listener.
    :param log_url: address of the platform's log.
    :param instance_list_url: address of the platform's list of instances.
    :param policy: name of the scheduling policy.
    :param caller_threads: callers served at once.
    :param admin_threads: operators' requests served at once.
    :param lease_ttl_ms: validity of a task lease.
    :param log_appends_per_s: appends of all instances together.
    :param peer_addresses: ``IP:PORT`` of peers to ask when starting
        without the log.
    """

    instance_id: str
    zone: str
    log_url: str
    instance_list_url: str
    address: str = "127.0.0.1"
    caller_port: Port = 8080
    admin_port: Port = 8081
    peer_port: Port = 8082
    policy: str = "fifo"
    caller_threads: Threads = 64
    admin_threads: Threads = 4
    lease_ttl_ms: Milliseconds = 15_000
    log_appends_per_s: Annotated[int, Field(ge=1, le=100_000)] = 200
    peer_addresses: tuple[str, ...] = ()

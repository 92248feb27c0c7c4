"""Schema of an entry instance's settings: one named tuple per section."""

from __future__ import annotations

from typing import Annotated
from typing import NamedTuple

from pydantic import AfterValidator
from pydantic import Field

from magnoliapitch.event.registry import EventLevel
from magnoliapitch.http.limits import HttpLimits
from magnoliapitch.policy.options import WAITING_FIRST
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.settings.check import check_ip_address
from magnoliapitch.settings.check import check_peer_address
from magnoliapitch.settings.check import check_platform_url


Port = Annotated[int, Field(ge=0, le=65_535, strict=True)]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000, strict=True)]
Threads = Annotated[int, Field(ge=1, le=4_096, strict=True)]
Count = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]
IpAddress = Annotated[str, AfterValidator(check_ip_address)]
PeerAddress = Annotated[str, AfterValidator(check_peer_address)]
PlatformUrl = Annotated[str, AfterValidator(check_platform_url)]
InstanceName = Annotated[
    str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]


class PlatformSettings(NamedTuple):
    """Addresses and limits of the platform's services.

    :param log_url: URL of the platform's log.
    :param instance_list_url: URL of the platform's list of instances.
    :param log_appends_per_s: most appends per second that the log accepts
        from all instances together.
    """

    log_url: PlatformUrl
    instance_list_url: PlatformUrl
    log_appends_per_s: Count = 200


class ListenerSettings(NamedTuple):
    """Ports and threads of an instance's listeners.

    :param caller_port: port of the callers' HTTP listener.
    :param admin_port: port of the operators' HTTP listener.
    :param peer_port: port of the peer RPC listener.
    :param caller_threads: callers' requests that are served at once.
    :param admin_threads: operators' requests that are served at once.
    """

    caller_port: Port = 8080
    admin_port: Port = 8081
    peer_port: Port = 8082
    caller_threads: Threads = 256
    admin_threads: Threads = 4


class TimingSettings(NamedTuple):
    """Intervals and timeouts.

    :param lease_ttl_ms: time after which a task's lease expires unless it is
        renewed.
    :param drain_timeout_ms: how long a stopping instance waits at most for
        requests in flight.
    """

    lease_ttl_ms: Milliseconds = 15_000
    drain_timeout_ms: Milliseconds = 30_000


class LimitSettings(NamedTuple):
    """Limits on hung and failing children of the supervisor.

    :param restarts: restarts of one child allowed within the window; the
        process gives up beyond that.
    :param restart_window_ms: length of the window in which restarts are
        counted.
    :param hung_after_ms: time since a loop began its last step, above which it
        counts as hung.
    """

    restarts: Count = 10
    restart_window_ms: Milliseconds = 60_000
    hung_after_ms: Milliseconds = 30_000


class Settings(NamedTuple):
    """Settings of one entry instance.

    :param instance_id: unique name of the instance.
    :param zone: availability zone of the instance.
    :param address: IP address to listen on and to announce to peers.
    :param policy: name of the scheduling policy.
    :param profile: name of a predefined set of weights of the policy.
    :param weights: weights as numbers, which are used instead of the profile.
    :param log_level: lowest level of the events that are logged.
    :param http: limits of the callers' HTTP listener.
    :param peer_addresses: ``IP:PORT`` of peers to ask while the log and the
        list of instances are unavailable.
    """

    instance_id: InstanceName
    zone: InstanceName
    platform: PlatformSettings
    address: IpAddress = "127.0.0.1"
    policy: str = "weighted"
    profile: str = WAITING_FIRST
    weights: PolicyWeights | None = None
    log_level: EventLevel = EventLevel.INFO
    listeners: ListenerSettings = ListenerSettings()
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()
    http: HttpLimits = HttpLimits()
    peer_addresses: tuple[PeerAddress, ...] = ()

"""Clients of the systems that a leader calls."""

from __future__ import annotations

from typing import NamedTuple

from magnoliapitch.advice.channels import AdvisorChannelPool
from magnoliapitch.control.delegation.service import AgentClient
from magnoliapitch.ledger.members import Members
from magnoliapitch.workload.client import Directory
from magnoliapitch.workload.client import WorkerClient


class Clients(NamedTuple):
    """Clients of the systems that a leader calls.

    :param advisor_channels: channels for advisor calls through this instance
        and its peers.
    :param members: lists the other instances.
    :param directory: lists the workers.
    :param agents: calls other instances that call workers for this one.
    """

    workers: WorkerClient
    advisor_channels: AdvisorChannelPool
    members: Members
    directory: Directory
    agents: AgentClient

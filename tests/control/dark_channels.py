"""Calls to the advisor through real channels, some of which are dark.

A call through a peer that is dark fails after the time that connecting may
take. The advisor decides about the others as in the simulation.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.advice import channels
from magnoliapitch.advice.channels import AdvisorChannelPool
from magnoliapitch.control.events import PermitsAnswered
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.run import Permit
from tests.control.simulated_effects import NETWORK_DELAY_MS
from tests.control.simulated_effects import SimulatedEffects


if TYPE_CHECKING:
    from collections.abc import Sequence

    import pytest

    from magnoliapitch.advice.channel import AdvisorChannel
    from magnoliapitch.http.client import HttpClient
    from magnoliapitch.planner.plan import IdleCalls
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.workload.job import StepKey
    from tests.control.simulation import Simulation


CONNECT_TIMEOUT_MS = 500
OWN = "own"


class SimulatedAdvisor:
    """Advisor behind one instance, which answers at once.

    The time of a call passes before it, see :class:`DarkChannelEffects`.

    :param name: ``own``, or the address of the relaying peer.
    """

    simulation: Simulation
    dark_addresses: frozenset[str] = frozenset()

    def __init__(self, name: str, client: HttpClient | None = None) -> None:
        del client
        self._name = name

    def permits(
        self, step: StepKey, worker_ids: Sequence[str], timeout_ms: int
    ) -> Result[tuple[Permit, ...], Failure]:
        """Return the permits, or the failure to connect to a dark peer."""
        del timeout_ms
        if self._name in self.dark_addresses:
            return Err(not_run(FailureCode.UNAVAILABLE, "cannot connect"))
        simulation = self.simulation
        from_ms = simulation.now_ms
        until_ms = from_ms + simulation.valid_ms(step)
        permitted = simulation.permitted_worker_ids(step)
        ticket = f"from {from_ms} until {until_ms}"
        return Ok(
            tuple(
                Permit(worker_id, ticket)
                for worker_id in worker_ids
                if worker_id in permitted
            )
        )

    def probe(self, timeout_ms: int) -> Result[None, Failure]:
        """Return a failure if the instance is dark."""
        del timeout_ms
        if self._name in self.dark_addresses:
            return Err(not_run(FailureCode.UNAVAILABLE, "cannot connect"))
        return Ok(None)


class _SimulationClock:
    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def now_ms(self) -> int:
        return self._simulation.now_ms


class DarkChannelEffects(SimulatedEffects):
    """Calls the advisor through a pool of channels.

    Peers that are dark stay in the list of instances.
    """

    peer_addresses: tuple[str, ...] = ()

    def __init__(self, simulation: Simulation, epoch: int) -> None:
        super().__init__(simulation, epoch)
        SimulatedAdvisor.simulation = simulation
        self._pool = AdvisorChannelPool(
            SimulatedAdvisor(OWN),
            None,  # type: ignore[arg-type]
            _SimulationClock(simulation),  # type: ignore[arg-type]
        )
        self._pool.set_peers(self.peer_addresses)

    def idle_advisor_calls(self) -> IdleCalls:
        for channel in self._pool.due_probes():
            self._simulation.schedule(
                self._call_ms(channel, 0), partial(self._pool.probe, channel)
            )
        return self._pool.idle_calls()

    def request_permits(
        self, request: PlannedPermitRequest, timeout_ms: int
    ) -> bool:
        channel = self._pool.reserve(request)
        if channel is None:
            return False
        simulation = self._simulation
        sent_ms = simulation.now_ms

        def finish() -> None:
            outcome = self._pool.call(channel, request, timeout_ms)
            issued_ms = min(
                sent_ms + int(request.expected_call_ms), simulation.now_ms
            )
            if self._is_current():
                simulation.controller.handle_permits(
                    PermitsAnswered(request, outcome, issued_ms),
                    simulation.now_ms,
                )

        simulation.schedule(
            self._call_ms(channel, request.expected_call_ms), finish
        )
        return True

    def _call_ms(self, channel: AdvisorChannel, work_ms: float) -> float:
        """Return how long a call takes; one that is dark fails instead.

        :param work_ms: duration of the call without its way.
        """
        is_dark = channel.name in SimulatedAdvisor.dark_addresses
        return NETWORK_DELAY_MS + (CONNECT_TIMEOUT_MS if is_dark else work_ms)


def use_channels(
    monkeypatch: pytest.MonkeyPatch, peer_count: int, dark_count: int
) -> type[DarkChannelEffects]:
    """Return effects with some peers, of which the first ones are dark."""
    addresses = tuple(
        f"10.1.0.{number}:80" for number in range(1, peer_count + 1)
    )
    monkeypatch.setattr(channels, "PeerAdvisor", SimulatedAdvisor)
    monkeypatch.setattr(
        SimulatedAdvisor, "dark_addresses", frozenset(addresses[:dark_count])
    )
    monkeypatch.setattr(DarkChannelEffects, "peer_addresses", addresses)
    return DarkChannelEffects


__all__ = ["DarkChannelEffects", "use_channels"]

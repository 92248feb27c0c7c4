"""Fencing tokens of one leadership, by worker."""

from __future__ import annotations

from magnoliapitch.ledger.records import TOKENS_PER_EPOCH
from magnoliapitch.workload.worker import Incarnation


class WorkerTokens:
    """Raises the token of a worker whenever another incarnation is listed.

    A worker that has restarted knows no token and carries out orders that
    were meant for its former incarnation. It refuses them once a renewal has
    brought the raised token.

    :param epoch: lowest token of the leadership.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._token_by_name: dict[str, int] = {}
        self._worker_id_by_name: dict[str, str] = {}

    def record_listed(self, worker_id: str) -> None:
        """Record which incarnation of a worker is called from now on."""
        name = Incarnation.from_worker_id(worker_id).name
        former_id = self._worker_id_by_name.get(name, worker_id)
        self._worker_id_by_name[name] = worker_id
        if former_id != worker_id:
            self._token_by_name[name] = next_token(self.token(worker_id))

    def token(self, worker_id: str) -> int:
        """Return the token of all calls to a worker."""
        name = Incarnation.from_worker_id(worker_id).name
        return self._token_by_name.get(name, self._epoch)


def next_token(token: int) -> int:
    """Return the token for the next incarnation of a worker.

    The last token of an epoch is kept, since the following one may belong to
    another leader.
    """
    is_last = (token + 1) % TOKENS_PER_EPOCH == 0
    return token if is_last else token + 1


__all__ = ["WorkerTokens", "next_token"]

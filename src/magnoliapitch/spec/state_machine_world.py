"""States, guards and bounds of the model in ``state_machine.py``."""

from __future__ import annotations

from typing import NamedTuple


OPERATOR = "operator"
WRITER = "writer"
INSTANCES = (0, 1)


class Guards(NamedTuple):
    """Checks of the protocol.

    Tests switch off one each and expect the model checker to find a
    violation.

    :param skips_duplicates: the state machine ignores a batch whose sequence
        number is not higher than the last.
    :param sends_one_batch_at_a_time: the writer forms a batch only after the
        previous one was confirmed.
    :param checks_version: the state machine accepts a change only if it names
        the version in force as the one that it replaces.
    :param checks_snapshot_coverage: a snapshot is loaded only if every record
        after it is still in the log.
    :param waits_for_peer_offset: an instance that restarted while the log is
        unreachable serves only once it has reached the highest offset that
        its peer knows of.
    :param keeps_newer_state: an instance replaces its state only by a newer
        one, from a snapshot or from its peer.
    """

    skips_duplicates: bool = True
    sends_one_batch_at_a_time: bool = True
    checks_version: bool = True
    checks_snapshot_coverage: bool = True
    waits_for_peer_offset: bool = True
    keeps_newer_state: bool = True


class Bounds(NamedTuple):
    """Limits of the explored state space.

    :param max_records: records in the log.
    :param max_batches: batches that the writer forms.
    :param max_restarts: restarts of both instances together.
    :param max_snapshots: snapshots in the log.
    :param max_log_outages: times at which the log becomes unreachable.
    """

    max_records: int = 4
    max_batches: int = 2
    max_restarts: int = 1
    max_snapshots: int = 1
    max_log_outages: int = 1


class Record(NamedTuple):
    """A record of the log.

    :param writer: ``WRITER`` or ``OPERATOR``.
    :param seq: sequence number of the writer's batch; 0 for other records.
    :param expected_version: version that the change is meant to replace.
    :param snapshot: state that the record carries instead of a change.
    """

    writer: str
    seq: int
    expected_version: int
    snapshot: ReplicatedState | None = None


class ReplicatedState(NamedTuple):
    """Result of applying the first records of the log.

    :param offset: number of records that were applied.
    :param seq: sequence number of the writer's last batch.
    :param replaced_versions: versions that accepted changes replaced, in
        order.
    :param counted_seqs: sequence numbers of the batches that were applied,
        in order.
    """

    offset: int = 0
    seq: int = 0
    replaced_versions: tuple[int, ...] = ()
    counted_seqs: tuple[int, ...] = ()

    @property
    def version(self) -> int:
        """Version in force, which is the number of accepted changes."""
        return len(self.replaced_versions)


class Instance(NamedTuple):
    """What an instance keeps in memory.

    :param state: state that it has built from the log or taken from its
        peer.
    :param is_serving: whether it answers reads from its state.
    :param highest_known_offset: highest offset that it has reached or that
        its peer has reported.
    """

    state: ReplicatedState = ReplicatedState()
    is_serving: bool = False
    highest_known_offset: int = 0


class World(NamedTuple):
    """State of the whole model.

    :param log: every record ever appended, including the removed ones.
    :param oldest_offset: offset of the oldest record that is still in the
        log.
    :param in_flight: batches that were sent and not confirmed.
    :param formed_count: number of batches formed so far.
    :param is_log_unreachable: whether neither instance can reach the log.
    :param told: highest offset that each instance has reported to the other
        while serving.
    :param restart_count: number of restarts so far.
    :param log_outage_count: number of times the log became unreachable.
    """

    log: tuple[Record, ...] = ()
    oldest_offset: int = 0
    in_flight: tuple[Record, ...] = ()
    formed_count: int = 0
    is_log_unreachable: bool = False
    instances: tuple[Instance, ...] = (Instance(), Instance())
    told: tuple[int, ...] = (0, 0)
    restart_count: int = 0
    log_outage_count: int = 0

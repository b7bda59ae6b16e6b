"""Storage of a replica group's state in its replicated group of `lease`. No I/O.

Records are split into pieces like those of the quota ledger. The replicated group needs `max_state_bytes`
of MAX_STATE_BYTES. Raises protobuf's DecodeError, and StateMachineError.
"""

from collections.abc import Callable

from lichenquay.migration.state_machine import StateMachine
from lichenquay.quota.ledger_records import fold_with

# Sessions, unacknowledged handovers, tombstones, and the records after the snapshot.
MAX_STATE_BYTES = 120_000


def make_fold(replica_group: str) -> Callable[[bytes, list[bytes]], bytes]:
    """Returns the `fold` function of that replica group."""

    def apply_records(state: bytes, records: list[bytes]) -> bytes:
        return StateMachine.load(replica_group, state, records).state()

    def fold(base: bytes, pieces: list[bytes]) -> bytes:
        return fold_with(base, pieces, apply_records)

    return fold

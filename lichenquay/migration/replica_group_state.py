"""How the state of a replica group is stored in its replicated group. No I/O.

Records are stored in pieces like those of the quota's ledger. The group needs a `max_state_bytes` of
MAX_STATE_BYTES. Errors: protobuf's DecodeError, and StateMachineError.
"""

from collections.abc import Callable

from lichenquay.migration.state_machine import StateMachine
from lichenquay.quota.ledger_records import fold_with

MAX_STATE_BYTES = (
    120_000  # sessions, handovers that are not acknowledged, tombstones, and the records after them
)


def fold_of(replica_group: str) -> Callable[[bytes, list[bytes]], bytes]:
    """The `fold` of that replica group."""

    def apply_records(state: bytes, records: list[bytes]) -> bytes:
        return StateMachine.load(replica_group, state, records).state()

    def fold(base: bytes, pieces: list[bytes]) -> bytes:
        return fold_with(base, pieces, apply_records)

    return fold

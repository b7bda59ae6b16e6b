"""A replica group: how its state lies in the group's base and records, and the group as the coordinator needs
it. No I/O.

Records are cut into pieces as those of the quota's ledger. A group of sessions needs `most_state` of
MOST_STATE. Errors: protobuf's DecodeError and StateMachineError."""

from lichenquay.migration.state_machine import StateMachine
from lichenquay.quota import ledger_records

MOST_STATE = 120_000  # a state of 40,000 bytes, hand-overs not yet told, stones, and the records after them


def fold_of(replica_group):
    """The `fold` of that replica group."""

    def fold(base, parts):
        return ledger_records.fold_with(
            base, parts, lambda state, records: StateMachine.load(replica_group, state, records).state()
        )

    return fold


Seat = ledger_records.PiecewiseGroup

"""A replica group: how its state lies in the group's base and records, and the group as the coordinator needs
it. No I/O.

Records are cut into pieces as those of the quota's ledger. A group of sessions needs `max_state_bytes` of
MOST_STATE. Errors: protobuf's DecodeError and StateMachineError."""

from lichenquay.migration.state_machine import StateMachine
from lichenquay.quota import ledger_records as kept
from lichenquay.quota.quota_pb2 import Kept

MOST_STATE = 120_000  # a state of 40,000 bytes, hand-overs not yet told, stones, and the records after them


def fold_of(replica_group):
    """The `fold` of that replica group."""

    def fold(base, parts):
        old = Kept.FromString(base)
        records, held = kept.whole([*old.parts, *parts])
        state = StateMachine.load(replica_group, old.state, records).state() if records else old.state
        return Kept(state=state, parts=held).SerializeToString()

    return fold


Seat = kept.Seat

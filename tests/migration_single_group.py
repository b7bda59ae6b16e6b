"""A replica group of one process that commits at once, and helpers for calls that it answers at once."""

from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.replica_group_state import make_fold
from lichenquay.quota.ledger_records import PiecewiseGroup

MAX_RECORD_BYTES = 800
RECORDS_BEFORE_FOLD = 20
RECORDS_FOLDED = 15


class SingleGroup:
    """A stand-in for `lease.group.LeaseGroup`: stores pieces of records, and folds them now and then."""

    def __init__(self, replica_group):
        """Starts held, with every write committed."""
        self.replica_group = replica_group
        self.generation = 1
        self.is_held = True
        self.result = True  # of each write: True, False, or None (not known)
        self.base = b""
        self.records = []

    def holds(self, now_ms):
        """Returns `is_held`, which tests set."""
        return self.is_held

    @property
    def state(self):
        """The base, and the records after it."""
        return self.base, list(self.records)

    def append(self, now_ms, record, done):
        """Reports `result` at once; commits the record if it is True."""
        assert len(record) <= MAX_RECORD_BYTES
        if self.result:
            self.records.append(record)
        if len(self.records) > RECORDS_BEFORE_FOLD:
            self.base = make_fold(self.replica_group)(self.base, self.records[:RECORDS_FOLDED])
            self.records = self.records[RECORDS_FOLDED:]
        done(now_ms, self.result)


def coordinator_of(replica_group="f0"):
    """Returns a coordinator that leads; its SingleGroup is `coordinator.group.group`."""
    return Coordinator(replica_group, PiecewiseGroup(SingleGroup(replica_group)))


def call(method, *arguments):
    """Calls a method that takes (now_ms, ..., done), and returns its answer."""
    answers = []
    method(0.0, *arguments, lambda now_ms, answer: answers.append(answer))
    assert len(answers) == 1
    return answers[0]


def open_session(coordinator, tenant="t", name="s"):
    """Opens a session and returns its id."""
    return call(coordinator.open_session, tenant, name).session_id

"""Publishes the endpoint list: what discovery announces becomes entries under `engine/`. No I/O.

Each voter follows discovery; the one that holds the publisher's lease proposes the differences between what
is announced and what is published. A new publisher therefore continues where the last one stopped, and one
that lost its lease proposes nothing.
"""

from collections import Counter
from collections.abc import Sequence
from random import Random

from lichenquay.admission import domain
from lichenquay.config.distributed_values import CHECKS_BY_PREFIX
from lichenquay.config.endpoint_list import (
    COMPLETE,
    COMPLETE_KEY,
    ENGINE_PREFIX,
    encode_endpoint,
    endpoint_key,
)
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import size_of
from lichenquay.distribution.publisher import Publisher
from lichenquay.distribution.validation import find_entry_error
from lichenquay.endpoint_record import EndpointRecord

LEASE_CHECK_INTERVAL_MS = 250.0
RETRY_DELAY_MS = 1000.0  # After a change that was not accepted.
MAX_PENDING_CHANGES = 64  # A quarter of the publisher's limit; the rest is left to operators.
REQUEST_NUMBER_BITS = 63


class EndpointImporter:
    """Proposes the changes that bring the published endpoint list to the announced one."""

    def __init__(self, publisher: Publisher, rng: Random, now_ms: float, log):
        """Starts without an announcement: nothing is proposed until discovery has answered.

        publisher: this voter's. log: a structlog logger; it gets the first invalid record and the first
        change that was not accepted.
        """
        self.publisher = publisher
        self.rng = rng
        self.log = log
        self.outbox = []
        self.counts = Counter()
        self.due_ms = now_ms
        self._announced_values: dict[str, bytes] = {}  # By key.
        self._has_whole_list = False
        self._key_by_uid: dict[str, str] = {}
        # Keys that may differ from what is published or proposed, in the order in which they changed.
        self._changed_keys: dict[str, bool] = {}
        self._lease_generation = 0  # 0 while it is not held.
        self._pending_changes = 0
        self._is_compared = False  # Whether everything published was compared under this lease.
        self._retry_ms = now_ms

    # Announcements of discovery.

    def on_endpoints(self, now_ms: float, is_whole: bool, records: Sequence[EndpointRecord]) -> None:
        """Records an announcement: the whole list, or the records that changed. now_ms: milliseconds."""
        if is_whole:
            self._remove_all_except({record.uid for record in records})
        for record in records:
            self._record_endpoint(record)
        self._has_whole_list = self._has_whole_list or is_whole
        self.due_ms = now_ms

    def _remove_all_except(self, uids):
        missing = [uid for uid in self._key_by_uid if uid not in uids]
        for uid in missing:
            self._remove(uid)

    def _record_endpoint(self, record):
        key = endpoint_key(record)
        if self._key_by_uid.get(record.uid, key) != key:
            # The engine has moved to another zone; it is published under one key at a time.
            self._remove(record.uid)
        if record.state == domain.EndpointState.REMOVED:
            self._remove(record.uid)
            return
        value = encode_endpoint(record)
        error = find_entry_error(pb.Entry(key=key, value=value), CHECKS_BY_PREFIX)
        if error is not None:
            self._count_invalid(error)
            return
        self._key_by_uid[record.uid] = key
        if self._announced_values.get(key) != value:
            self._announced_values[key] = value
            self._changed_keys[key] = True

    def _count_invalid(self, error):
        if not self.counts["invalid"]:
            self.log.warning("engines", reason=error)
        self.counts["invalid"] += 1

    def _remove(self, uid):
        key = self._key_by_uid.pop(uid, None)
        if key is not None:
            del self._announced_values[key]
            self._changed_keys[key] = True

    # Calls by the runtime.

    def on_message(self, now_ms: float, sender: tuple[str, int], message) -> None:
        """Ignores a message: no process sends any to the importer."""

    def tick(self, now_ms: float) -> None:
        """Proposes the differences while the lease is held. now_ms: milliseconds."""
        self.due_ms = now_ms + LEASE_CHECK_INTERVAL_MS
        self._update_lease_generation(now_ms)
        if not self._lease_generation:
            return
        if self._has_whole_list and not self._is_compared:
            self._compare_all()
        self._propose_changes(now_ms)
        if self._is_compared and not self._changed_keys and not self._pending_changes:
            self._propose_completeness_marker(now_ms)

    def _update_lease_generation(self, now_ms):
        group = self.publisher.group
        lease_generation = group.generation if group.holds(now_ms) else 0
        if lease_generation != self._lease_generation:
            self._lease_generation = lease_generation
            self._pending_changes = 0
            self._is_compared = False

    def _compare_all(self):
        """Marks all keys for comparison, including those that earlier publishers published."""
        published = self.publisher.speculative_state.entries
        unannounced = [
            key for key in published if key.startswith(ENGINE_PREFIX) and key not in self._announced_values
        ]
        self._changed_keys = dict.fromkeys([*unannounced, *self._announced_values], True)
        self._is_compared = True

    def _propose_changes(self, now_ms):
        while self._may_propose(now_ms):
            entries = self._take_next_entries()
            if not entries:
                return
            self._propose(now_ms, entries)

    def _may_propose(self, now_ms):
        if not self._has_whole_list or now_ms < self._retry_ms:
            return False
        return bool(self._changed_keys) and self._pending_changes < MAX_PENDING_CHANGES

    def _propose_completeness_marker(self, now_ms):
        """Proposes the marker of a complete list unless it is published.

        Gateways wait for this marker; without it, they would take the first published engines for all.
        """
        is_published = COMPLETE_KEY in self.publisher.speculative_state.entries
        if not is_published and now_ms >= self._retry_ms:
            self._propose(now_ms, [pb.Entry(key=COMPLETE_KEY, value=COMPLETE)])

    def _take_next_entries(self):
        """Takes the next change: as many entries as fit, in the order in which they changed."""
        entries = []
        compared_keys = []
        size_bytes = 0
        for key in self._changed_keys:
            entry = self._entry_to_propose(key)
            if entry is not None:
                size_bytes += size_of(entry)
            if size_bytes > self.publisher.settings.most_change_bytes:
                break
            compared_keys.append(key)
            if entry is not None:
                entries.append(entry)
        for key in compared_keys:
            del self._changed_keys[key]
        return entries

    def _entry_to_propose(self, key):
        """Returns the entry that gives a key its announced value, or None if that is published."""
        published = self.publisher.speculative_state.entries.get(key)
        announced_value = self._announced_values.get(key)
        if announced_value is None:
            return pb.Entry(key=key, deleted=True) if published is not None else None
        if published is not None and published.value == announced_value:
            return None
        return pb.Entry(key=key, value=announced_value)

    def _propose(self, now_ms, entries):
        self._pending_changes += 1
        lease_generation = self._lease_generation

        def on_outcome(at_ms, proposed):
            self._on_outcome(at_ms, entries, lease_generation, proposed)

        request = self.rng.getrandbits(REQUEST_NUMBER_BITS) + 1
        self.publisher.propose(now_ms, entries, request, on_outcome)

    def _on_outcome(self, now_ms, entries, lease_generation, proposed):
        self.counts[pb.Proposed.Outcome.Name(proposed.outcome).lower()] += 1
        if lease_generation != self._lease_generation:
            return  # Under the next lease everything is compared again.
        self._pending_changes -= 1
        if proposed.outcome == pb.Proposed.ACCEPTED:
            self.due_ms = min(self.due_ms, now_ms)
            return
        if self.counts["refused"] + self.counts["unknown"] == 1:
            self.log.warning("engines", reason=proposed.reason)
        self._changed_keys |= {entry.key: True for entry in entries if entry.key != COMPLETE_KEY}
        self._retry_ms = now_ms + RETRY_DELAY_MS

    def lines(self) -> list[str]:
        """Returns counters for SIGUSR1, one per line."""
        return [
            f"engines announced {len(self._announced_values)} to be published {len(self._changed_keys)}",
            *(f"engine changes {outcome}: {count}" for outcome, count in sorted(self.counts.items())),
        ]

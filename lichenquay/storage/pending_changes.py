"""Changes that were accepted and are not on disk yet, and the space that they leave. No I/O."""

from collections.abc import Mapping
from typing import NamedTuple

from lichenquay.storage import record_format
from lichenquay.storage.errors import CapacityExceededError
from lichenquay.storage.record_format import Changes


class PendingChange(NamedTuple):
    """One record to be written."""

    number: int
    changes: Changes
    payload: bytes


class PendingChanges:
    """Counts sizes in bytes: of the pending records, and of the state as it will be after them."""

    def __init__(self, path: str, state: Mapping[str, bytes], capacity_bytes: int):
        """`path`: for messages. `state`: as stored, changed by its owner. `capacity_bytes`: of each size."""
        self._path = path
        self._state = state
        self._capacity_bytes = capacity_bytes
        self._records = []
        self._section_sizes = {}  # of changed sections
        self.size_bytes = 0
        self._state_bytes = 0

    def __bool__(self):
        """Whether anything is pending."""
        return bool(self._records)

    def __len__(self):
        """How many records are pending."""
        return len(self._records)

    def __iter__(self):
        """The pending records, in order."""
        return iter(self._records)

    def payloads(self) -> list[tuple[int, bytes]]:
        """(number, payload) of each record."""
        return [(record.number, record.payload) for record in self._records]

    def add(self, number: int, changes: Changes) -> None:
        """Accepts a change as the record `number`. CapacityExceededError; InvalidChangeError for a key."""
        payload = record_format.encode_changes(changes)
        record_bytes = record_format.FRAME_BYTES + len(payload)
        room = self._capacity_bytes - self.size_bytes
        if record_bytes > room:
            raise CapacityExceededError(
                f"folder {self._path}: {record_bytes} bytes at once, there is room for {room}"
            )
        sizes = {
            key: 0 if value is None else record_format.section_size(key, value)
            for key, value in changes.items()
        }
        sizes_before = sum(self._section_size(key) for key in sizes)
        state_bytes = self._state_bytes - sizes_before + sum(sizes.values())
        # Under a bound that was lowered the state may still shrink.
        if state_bytes > max(self._state_bytes, self._capacity_bytes):
            raise CapacityExceededError(
                f"folder {self._path}: a state of {state_bytes} bytes, the bound is {self._capacity_bytes}"
            )
        self._records.append(PendingChange(number, dict(changes), payload))
        self.size_bytes += record_bytes
        self._section_sizes.update(sizes)
        self._state_bytes = state_bytes

    def _section_size(self, key):
        if key in self._section_sizes:
            return self._section_sizes[key]
        return record_format.section_size(key, self._state[key]) if key in self._state else 0

    def clear(self) -> None:
        """Forgets the records; they are in the state now."""
        self._records = []
        self._section_sizes = {}
        self.size_bytes = 0

    def drop(self) -> None:
        """Forgets the records; they are not in the state."""
        if self._records:
            self.clear()
            self.measure_state()

    def measure_state(self) -> None:
        """Counts the state as it is stored."""
        self._state_bytes = record_format.state_size(self._state)

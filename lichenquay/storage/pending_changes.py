"""Accepted changes that are not on disk yet, and the capacity that they use. No I/O."""

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
    """The pending records, and the sizes in bytes of these records and of the state after them."""

    def __init__(self, path: str, state: Mapping[str, bytes], capacity_bytes: int):
        """Starts empty.

        `path`: for error messages. `state`: the stored state, which its owner updates. `capacity_bytes`:
        limit of each of the two sizes.
        """
        self._path = path
        self._state = state
        self._capacity_bytes = capacity_bytes
        self._records = []
        self._section_sizes = {}  # of changed sections
        self.size_bytes = 0
        self._state_bytes = 0

    def __bool__(self):
        """Returns whether anything is pending."""
        return bool(self._records)

    def __len__(self):
        """Returns the number of pending records."""
        return len(self._records)

    def __iter__(self):
        """Iterates over the pending records, in order."""
        return iter(self._records)

    def payloads(self) -> list[tuple[int, bytes]]:
        """Returns (number, payload) of each record."""
        return [(record.number, record.payload) for record in self._records]

    def add(self, number: int, changes: Changes) -> None:
        """Adds a change as the record `number`.

        Raises CapacityExceededError, or InvalidChangeError for an invalid key.
        """
        payload = record_format.encode_changes(changes)
        record_bytes = record_format.FRAME_BYTES + len(payload)
        free_bytes = self._capacity_bytes - self.size_bytes
        if record_bytes > free_bytes:
            raise CapacityExceededError(
                f"folder {self._path}: record of {record_bytes} bytes exceeds the free {free_bytes} bytes "
                "of the batch"
            )
        sizes = {
            key: 0 if value is None else record_format.section_size(key, value)
            for key, value in changes.items()
        }
        sizes_before = sum(self._section_size(key) for key in sizes)
        state_bytes = self._state_bytes - sizes_before + sum(sizes.values())
        # If the capacity was lowered below the size of the state, the state may still shrink.
        if state_bytes > max(self._state_bytes, self._capacity_bytes):
            raise CapacityExceededError(
                f"folder {self._path}: state of {state_bytes} bytes exceeds the capacity of "
                f"{self._capacity_bytes} bytes"
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
        """Clears the records, which are now in the state."""
        self._records = []
        self._section_sizes = {}
        self.size_bytes = 0

    def drop(self) -> None:
        """Drops the records, which are not in the state."""
        if self._records:
            self.clear()
            self.measure_state()

    def measure_state(self) -> None:
        """Recomputes the size of the stored state."""
        self._state_bytes = record_format.state_size(self._state)

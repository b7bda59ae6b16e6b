"""The incarnation of a process: a number that increases with every start."""

from struct import Struct, error
from typing import NamedTuple

from lichenquay.storage.errors import CapacityExceededError, NotStoredError, UnusableStoreError
from lichenquay.storage.store import DurableStore

INCARNATION_SECTION = "incarnation"
MAX_INCARNATION = 2**63 - 1  # what a protobuf int64 holds
_NUMBER = Struct(">Q")


class Incarnation(NamedTuple):
    """The incarnation of one start, and whether it is stored durably."""

    number: int
    is_stored: bool


def incarnation_change(number: int) -> dict[str, bytes]:
    """Returns the change that stores an incarnation."""
    return {INCARNATION_SECTION: _NUMBER.pack(number)}


def next_incarnation(store: DurableStore, unix_ms: float, now_ms: float = 0.0) -> Incarnation:
    """Returns a new incarnation: higher than all earlier ones, at least `unix_ms`, and already stored.

    If the disk fails, is_stored is False and the number comes from the clock and from what was read: a clock
    that is set back before the next start may give the same or a lower number again. Raises
    UnusableStoreError if there is no higher number.
    """
    try:
        (previous,) = _NUMBER.unpack(store.state.get(INCARNATION_SECTION, bytes(_NUMBER.size)))
    except error:
        previous = 0
    number = max(previous + 1, store.incarnation + 1, int(unix_ms))
    if number > MAX_INCARNATION:
        raise UnusableStoreError(
            f"folder {store.path}: incarnation {number} exceeds the maximum {MAX_INCARNATION}"
        )
    store.incarnation = number
    try:
        store.append(incarnation_change(number))
        store.flush(now_ms)
    except (NotStoredError, CapacityExceededError):
        return Incarnation(number, False)
    return Incarnation(number, True)

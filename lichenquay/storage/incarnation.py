"""A number that only rises from one start of a process to the next."""

from struct import Struct, error
from typing import NamedTuple

from lichenquay.storage.errors import CapacityExceededError, NotStoredError, UnusableStoreError
from lichenquay.storage.store import DurableStore

INCARNATION_SECTION = "incarnation"
MAX_INCARNATION = 2**63 - 1  # what a protobuf int64 holds
_NUMBER = Struct(">Q")


class Incarnation(NamedTuple):
    """The number of a start, and whether the store has it."""

    number: int
    is_stored: bool


def incarnation_change(number: int) -> dict[str, bytes]:
    """The change of a store that keeps an incarnation."""
    return {INCARNATION_SECTION: _NUMBER.pack(number)}


def next_incarnation(store: DurableStore, unix_ms: float, now_ms: float = 0.0) -> Incarnation:
    """Higher than any that was stored or given before, never lower than `unix_ms`; stored before it is
    returned.

    Where the disk fails, is_stored is False and the number is from the clock, and from what was read: a
    clock set back before the next start may give one as low again. UnusableStoreError: there is no higher
    number.
    """
    try:
        (before,) = _NUMBER.unpack(store.state.get(INCARNATION_SECTION, bytes(_NUMBER.size)))
    except error:
        before = 0
    number = max(before + 1, store.incarnation + 1, int(unix_ms))
    if number > MAX_INCARNATION:
        raise UnusableStoreError(f"folder {store.path}: its incarnation {before} leaves no higher one")
    store.incarnation = number
    try:
        store.append(incarnation_change(number))
        store.flush(now_ms)
    except (NotStoredError, CapacityExceededError):
        return Incarnation(number, False)
    return Incarnation(number, True)

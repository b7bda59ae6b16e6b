"""A number that only rises from one start of a front to the next."""

from struct import Struct, error

from lichenquay.storage.recovery import UnusableStoreError
from lichenquay.storage.store import NotStored, TooMuch

KEY = "incarnation"
_NUMBER = Struct(">Q")
MOST = 2**63 - 1  # what a protobuf int64 holds


def section(number):
    """The change of a folder that keeps an incarnation."""
    return {KEY: _NUMBER.pack(number)}


def next_incarnation(folder, unix_ms, now_ms=0.0):
    """(number, kept). Higher than any kept or given before, never lower than `unix_ms`; stored before it is returned.

    kept False: the disk failed, and the number is from the clock (and from what was read, if it was): a clock set
    back before the next start may give one as low again."""
    try:
        (before,) = _NUMBER.unpack(folder.state.get(KEY, bytes(8)))
    except error:
        before = 0
    number = max(before + 1, folder.incarnation + 1, int(unix_ms))
    if number > MOST:
        raise UnusableStoreError(f"folder {folder.path}: its incarnation {before} leaves no higher one")
    folder.incarnation = number
    try:
        folder.append(section(number))
        folder.flush(now_ms)
    except (NotStored, TooMuch):
        return number, False
    return number, True

"""The publisher's records (pb.Change), and their fold into a pb.State as base of the replicated log.

A record's version is its index in the log, over all generations. Each voter folds by itself, so all of this
is deterministic; a record that cannot be read counts as a change without entries on all voters.
"""

from collections.abc import Iterable, Sequence

from google.protobuf.message import DecodeError

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore

MAX_REMEMBERED_REQUESTS = 4096  # Of the last changes; a repeated proposal of them is not made twice.
MAX_UNFOLDED_RECORDS = 1024  # So that a new publisher can serve deltas from there on.


def make_record(entries: Iterable[pb.Entry], request: int) -> bytes:
    """Return a change as a record; the version of its entries is its index, and not in it."""
    unversioned = [pb.Entry(key=entry.key, value=entry.value, deleted=entry.deleted) for entry in entries]
    return pb.Change(entries=unversioned, request=request).SerializeToString()


def read_record(record: bytes, version: int) -> pb.Change:
    """Return the change of a record, with its version at each entry."""
    try:
        change = pb.Change.FromString(record)
    except DecodeError:
        change = pb.Change()
    for entry in change.entries:
        entry.version = version
    return change


def fold(base: bytes, records: Iterable[bytes]) -> bytes:
    """Return the serialized state after the records that follow a serialized state."""
    state = pb.State.FromString(base)
    store = KeyStore.from_state(state)
    requests = list(state.requests)
    for version, record in enumerate(records, state.version + 1):
        change = read_record(record, version)
        store.apply(version, change.entries)
        requests.append(change.request)
    return store.to_state(requests[-MAX_REMEMBERED_REQUESTS:]).SerializeToString()


class RequestIndex:
    """Which of the last changes was made for which request."""

    def __init__(self, version: int = 0, requests: Sequence[int] = ()):
        """Start with the requests of the changes up to `version`, one each, oldest first."""
        first = version - len(requests) + 1
        self._versions = {request: first + index for index, request in enumerate(requests)}

    def add(self, request: int, version: int) -> None:
        """Add a change that is pending or committed."""
        self._versions[request] = version
        if len(self._versions) > MAX_REMEMBERED_REQUESTS:
            del self._versions[next(iter(self._versions))]

    def version_of(self, request: int) -> int | None:
        """Return the version that was made for a request, None if it is not among the last."""
        return self._versions.get(request)

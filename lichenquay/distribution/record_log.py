"""The publisher's records (pb.Change), and their compaction into a pb.State, the base of the replicated log.

A record's version is its index in the log, counted over all generations. Each voter compacts its own log, so
everything here is deterministic: a record that cannot be parsed is a change without entries on every voter.
"""

from collections.abc import Iterable, Sequence

from google.protobuf.message import DecodeError

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore

MAX_REMEMBERED_REQUESTS = 4096  # Requests of the last changes, which are deduplicated.
MAX_UNFOLDED_RECORDS = 1024  # Records kept after the base; a new publisher can serve deltas from the base on.


def make_record(entries: Iterable[pb.Entry], request: int) -> bytes:
    """Returns a change as a record. It holds no versions, as that of its entries is the record's index."""
    unversioned = [pb.Entry(key=entry.key, value=entry.value, deleted=entry.deleted) for entry in entries]
    return pb.Change(entries=unversioned, request=request).SerializeToString()


def read_record(record: bytes, version: int) -> pb.Change:
    """Returns the change that a record holds, with `version` set in each entry."""
    try:
        change = pb.Change.FromString(record)
    except DecodeError:
        change = pb.Change()
    for entry in change.entries:
        entry.version = version
    return change


def fold(base: bytes, records: Iterable[bytes]) -> bytes:
    """Returns the serialized state after applying the records that follow the serialized state `base`."""
    state = pb.State.FromString(base)
    store = KeyStore.from_state(state)
    requests = list(state.requests)
    for version, record in enumerate(records, state.version + 1):
        change = read_record(record, version)
        store.apply(version, change.entries)
        requests.append(change.request)
    return store.to_state(requests[-MAX_REMEMBERED_REQUESTS:]).SerializeToString()


class RequestIndex:
    """Maps the request numbers of the last changes to their versions."""

    def __init__(self, version: int = 0, requests: Sequence[int] = ()):
        """Starts with the requests of the changes up to `version`, one per change, oldest first."""
        first = version - len(requests) + 1
        self._versions = {request: first + index for index, request in enumerate(requests)}

    def add(self, request: int, version: int) -> None:
        """Adds a change that is pending or committed."""
        self._versions[request] = version
        if len(self._versions) > MAX_REMEMBERED_REQUESTS:
            del self._versions[next(iter(self._versions))]

    def version_of(self, request: int) -> int | None:
        """Returns the version of a request's change, None if it is not among the last."""
        return self._versions.get(request)

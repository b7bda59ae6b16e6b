"""The publisher's records: pb.Change, and their fold into a pb.State as base of the replicated log. No I/O.

A record's version is its index in the log, over all generations. Each voter folds, so all of this is
deterministic; a record that can't be read counts as a change without entries, for the same in all.
"""

from google.protobuf.message import DecodeError

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import Store

MOST_REQUESTS = 4096  # Of the last changes, whose proposal may be repeated without being made twice.
MOST_RECORDS = 1024  # Not folded, so that a new publisher can still serve deltas from there on.


def record_of(entries, request):
    """A change as a record; its entries' versions are its index, and not in it."""
    kept = [pb.Entry(key=e.key, value=e.value, deleted=e.deleted) for e in entries]
    return pb.Change(entries=kept, request=request).SerializeToString()


def change_of(record, version):
    """The pb.Change of a record with its version at each entry."""
    try:
        change = pb.Change.FromString(record)
    except DecodeError:
        change = pb.Change()
    for entry in change.entries:
        entry.version = version
    return change


def fold(base, records):
    """The group's `fold`: the state after the records."""
    state = pb.State.FromString(base)
    store, requests = Store.of_state(state), list(state.requests)
    for version, record in enumerate(records, state.version + 1):
        change = change_of(record, version)
        store.apply(version, change.entries)
        requests.append(change.request)
    return store.state(requests[-MOST_REQUESTS:]).SerializeToString()


class Requests:
    """Which of the last changes was made for which request."""

    def __init__(self, version=0, requests=()):
        """`requests` of the changes up to `version`, one each, oldest first."""
        first = version - len(requests) + 1
        self._versions = {request: first + at for at, request in enumerate(requests)}

    def add(self, request, version):
        """A change under way or made."""
        self._versions[request] = version
        if len(self._versions) > MOST_REQUESTS:
            del self._versions[next(iter(self._versions))]

    def version_of(self, request):
        """None: not among them."""
        return self._versions.get(request)

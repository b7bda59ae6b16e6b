"""What a voter remembers of its latest promise, append request and write."""

from dataclasses import dataclass
from typing import NamedTuple

from lichenquay.lease.lease_pb2 import Promise
from lichenquay.lease.log import ReplicatedLog
from lichenquay.lease.messages import AcquireRequest, ProcessId


class AttemptedPromise(NamedTuple):
    """The latest promise that was sent to the disk, whether or not it was stored."""

    generation: int
    process: ProcessId


class AppendReference(NamedTuple):
    """Identifies the append request that a reply answers."""

    leader: str
    generation: int
    number: int
    echo_token: int


@dataclass(frozen=True)
class PendingVoterWrite:
    """A write in flight to the disk; `requester` and `request`: the acquire request to grant afterwards."""

    promise: Promise
    log: ReplicatedLog
    requester: ProcessId | None = None
    request: AcquireRequest | None = None

"""The sections in which a voter keeps its promise and its log on disk. No I/O."""

from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.lease_pb2 import Promise
from lichenquay.lease.lease_pb2 import State as WireState
from lichenquay.lease.log import LogPosition, ReplicatedLog

# Names of sections: a contract with folders of running versions.
PROMISE_SECTION = "promise"
STATE_SECTION = "state"
BASE_SECTION = "base"


class VoterState(NamedTuple):
    """What a voter has on disk."""

    promise: Promise
    log: ReplicatedLog


def record_section(index: int) -> str:
    """The name of the section of one record."""
    return f"record/{index}"


def changes_between(
    previous: ReplicatedLog, log: ReplicatedLog, is_previous_on_disk: bool = True
) -> dict[str, bytes | None]:
    """The sections to write together (None: to delete) to come from the log `previous` to `log`.

    `is_previous_on_disk` False: an earlier write failed, so all of `log` is written anew.
    """
    changes = {
        record_section(index): None
        for index in range(previous.base_index + 1, previous.index + 1)
        if not log.base_index < index <= log.index
    }
    if not is_previous_on_disk or not _have_same_base(previous, log):
        changes[BASE_SECTION] = log.base
    common_index = _last_common_index(previous, log) if is_previous_on_disk else log.base_index
    for index, record in enumerate(log.records_after(common_index), common_index + 1):
        changes[record_section(index)] = record
    changes[STATE_SECTION] = log.wire_header().SerializeToString()
    return changes


def _have_same_base(first, second):
    return (first.base_index, first.base_digest, first.base) == (
        second.base_index,
        second.base_digest,
        second.base,
    )


def _last_common_index(previous, log):
    """The last index up to which both have the same records; the base of `log` where they part before it."""
    if previous.digest_at(log.base_index) != log.base_digest:
        return log.base_index
    shared = range(log.base_index, min(previous.index, log.index) + 1)
    return max(index for index in shared if previous.digest_at(index) == log.digest_at(index))


def load(sections: dict[str, bytes]) -> VoterState | None:
    """The state that a voter left in its sections; None where no voter can have left them so."""
    try:
        promise = Promise.FromString(sections.get(PROMISE_SECTION, b""))
        if STATE_SECTION in sections:
            header = WireState.FromString(sections[STATE_SECTION])
        else:
            header = WireState(position=LogPosition().to_wire())
    except DecodeError:
        return None
    last_index = header.position.index
    # The bound keeps a damaged header from asking for an endless range of records.
    if not 0 <= last_index - header.base_index <= len(sections):
        return None
    records = [sections.get(record_section(i)) for i in range(header.base_index + 1, last_index + 1)]
    if None in records:
        return None
    log = ReplicatedLog.from_parts(header, sections.get(BASE_SECTION, b""), records)
    return None if log is None else VoterState(promise, log)

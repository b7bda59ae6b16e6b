"""The sections that hold a voter's promise and log on disk. No I/O."""

from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.lease_pb2 import Promise
from lichenquay.lease.lease_pb2 import State as WireState
from lichenquay.lease.log import LogPosition, ReplicatedLog

# Section names are part of the stored format: folders written by deployed versions contain them.
PROMISE_SECTION = "promise"
STATE_SECTION = "state"
BASE_SECTION = "base"


class VoterState(NamedTuple):
    """The promise and the log that a voter has on disk."""

    promise: Promise
    log: ReplicatedLog


def record_section(index: int) -> str:
    """Returns the name of the section of one record."""
    return f"record/{index}"


def changes_between(
    previous: ReplicatedLog, log: ReplicatedLog, is_previous_on_disk: bool = True
) -> dict[str, bytes | None]:
    """Returns the sections to write atomically (None: to delete) to replace the log `previous` with `log`.

    `is_previous_on_disk`: False if an earlier write failed; all of `log` is then rewritten.
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
    """Returns the last index up to which both logs agree, or the base index of `log` if there is none."""
    if previous.digest_at(log.base_index) != log.base_digest:
        return log.base_index
    shared = range(log.base_index, min(previous.index, log.index) + 1)
    return max(index for index in shared if previous.digest_at(index) == log.digest_at(index))


def load_voter_state(sections: dict[str, bytes]) -> VoterState | None:
    """Returns the state stored in a voter's sections.

    None if they are inconsistent or cannot be parsed, or if one is missing: each write of a voter leaves a
    promise and a header there, and a base if records were folded.
    """
    if sections and not (PROMISE_SECTION in sections and STATE_SECTION in sections):
        return None
    try:
        promise = Promise.FromString(sections.get(PROMISE_SECTION, b""))
        if STATE_SECTION in sections:
            header = WireState.FromString(sections[STATE_SECTION])
        else:
            header = WireState(position=LogPosition().to_wire())
    except DecodeError:
        return None
    if header.base_index and BASE_SECTION not in sections:
        return None
    last_index = header.position.index
    # The bound keeps a corrupt header from requesting an unbounded range of records.
    if not 0 <= last_index - header.base_index <= len(sections):
        return None
    records = [sections.get(record_section(i)) for i in range(header.base_index + 1, last_index + 1)]
    if None in records:
        return None
    log = ReplicatedLog.from_parts(header, sections.get(BASE_SECTION, b""), records)
    return None if log is None else VoterState(promise, log)

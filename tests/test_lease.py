"""A lease group: basic operation, limits and invalid input."""

from random import Random

import pytest
from lease_audit import (
    FAST_SETTINGS,
    append_record,
    fold,
    holder_of,
    make_world,
    numbers_of,
    stored_position,
)
from lease_world import DiskMode, apply_changes

from lichenquay.lease.durable_state import changes_between, load_voter_state
from lichenquay.lease.errors import InvalidGroupError, RecordSizeError
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Message, Promise
from lichenquay.lease.log import LogPosition, ReplicatedLog

LEASE_MS = FAST_SETTINGS.lease_ms


def world_with_holder(seed=1, voters="abc", **more):
    """Returns a world in which all processes run and one holds the lease."""
    world, audit = make_world(voters, seed, **more)
    for name in world.processes:
        world.start(name)
    assert world.run(3000, lambda: holder_of(world))
    return world, audit


def append_records(world, audit, number, padding=0):
    """Appends records at the holder, 30 ms apart."""
    for _ in range(number):
        for name in world.processes:
            append_record(world, audit, name, padding)
        world.run(world.now_ms + 30)


def release(world, name):
    """Releases the lease of a process."""
    world.call(name, lambda group, local_ms: group.release(local_ms))


@pytest.mark.parametrize("voters", ["a", "ab", "abc", "abcde"])
def test_records_of_the_single_holder_are_committed_once_and_in_order(voters):
    """The other processes know the holder and have no state."""
    world, audit = world_with_holder(voters=voters)
    append_records(world, audit, 30)
    assert audit.committed == list(range(1, 31))
    assert len(audit.held_generations) == 1
    group = world.processes[holder_of(world)].group
    base, records = group.state
    assert numbers_of(base, records) == audit.committed
    assert group.holder == (group.name, group.generation)
    assert len(records) <= FAST_SETTINGS.max_records
    others = [process.group for process in world.processes.values() if process.group is not group]
    for other in others:
        assert other.holder == (group.name, group.generation)
        assert other.state is None
        assert other.generation == 0


def test_another_process_takes_over_from_a_killed_holder_after_its_lease_expires():
    """It does so within three leases; once the first one has restarted, all disks have the same log."""
    world, audit = world_with_holder()
    append_records(world, audit, 5)
    first = holder_of(world)
    killed_ms = world.now_ms
    world.kill(first)
    earliest_ms = killed_ms + LEASE_MS / 1.05 - FAST_SETTINGS.heartbeat_ms / 0.95 - 10
    assert not world.run(earliest_ms, lambda: holder_of(world))
    assert world.run(killed_ms + 3 * LEASE_MS, lambda: holder_of(world))
    append_records(world, audit, 5)
    assert len(audit.committed) == 10
    world.start(first)
    world.run(world.now_ms + FAST_SETTINGS.expiry_wait_ms + 1000)
    positions = {stored_position(process.sections) for process in world.processes.values()}
    assert positions == {(audit.held_generations[-1], 10)}


def test_a_released_lease_is_acquired_at_once_after_the_last_record():
    """The process holds until its record is committed, and then stops being a candidate."""
    world, audit = world_with_holder()
    first = holder_of(world)
    append_record(world, audit, first)
    release(world, first)
    assert holder_of(world) == first  # the record is pending
    begin_ms = world.now_ms
    assert world.run(begin_ms + 5000, lambda: holder_of(world) not in (None, first))
    assert audit.committed == [1]
    assert world.now_ms - begin_ms < 2 * FAST_SETTINGS.backoff_ms
    assert not world.processes[first].group.is_candidate


def test_a_voter_that_lost_its_folder_abstains_until_its_log_is_restored():
    """It stores nothing for the length of a lease, then has the complete log within two more."""
    world, audit = world_with_holder()
    append_records(world, audit, 40, padding=500)
    lost = next(name for name in "abc" if name != holder_of(world))
    world.kill(lost)
    world.start(lost, has_folder=False)
    voter = world.processes[lost].group.voter
    world.run(world.now_ms + LEASE_MS)
    assert voter.is_recovering
    assert not world.processes[lost].sections
    assert world.run(world.now_ms + 2 * LEASE_MS, lambda: not voter.is_recovering)
    assert stored_position(world.processes[lost].sections) == (audit.held_generations[-1], 40)


def test_a_group_with_all_folders_lost_is_bootstrapped_only_by_all_its_voters():
    """Two of three voters do not suffice."""
    world, audit = make_world("abc", 3, is_new_disk=False)
    for name in "ab":
        world.start(name)
    assert not world.run(10_000, lambda: holder_of(world))
    world.start("c")
    assert world.run(20_000, lambda: holder_of(world))
    append_records(world, audit, 3)
    assert len(audit.committed) == 3


def test_nobody_holds_while_two_of_three_folders_are_lost():
    """A new holder could lack committed records."""
    world, audit = world_with_holder()
    append_records(world, audit, 3)
    for name in "abc":
        world.kill(name)
    for name, has_folder in {"a": True, "b": False, "c": False}.items():
        world.start(name, has_folder=has_folder)
    assert not world.run(world.now_ms + 20_000, lambda: holder_of(world))


def test_a_process_that_is_not_a_voter_can_hold():
    """It stores nothing on its disk."""
    world, audit = world_with_holder(others="x")
    for name in "abc":
        world.call(name, lambda group, local_ms: group.set_candidate(local_ms, False))
    first = holder_of(world)
    if first != "x":
        append_records(world, audit, 20, padding=700)
        release(world, first)
        assert world.run(world.now_ms + 5000, lambda: holder_of(world) == "x")
    append_records(world, audit, 5)
    assert world.processes["x"].sections == {}
    assert audit.committed[-1] == audit.last_number


def test_a_holder_paused_past_its_lease_no_longer_holds():
    """Its pending record gets the result None, as it may or may not be committed."""
    world, audit = world_with_holder()
    first = holder_of(world)
    append_record(world, audit, first)
    world.pause(first, 5 * LEASE_MS)
    world.run(world.now_ms + 4.9 * LEASE_MS)
    assert holder_of(world) not in (None, first)
    world.run(world.now_ms + LEASE_MS)
    assert audit.results[1] == [None]
    assert len(audit.held_generations) >= 2


def test_nothing_is_committed_until_full_disks_have_space_again():
    """The holder renews its lease meanwhile."""
    world, audit = world_with_holder()
    for name in "abc":
        world.processes[name].disk = DiskMode.FULL
    append_records(world, audit, 10)
    assert audit.committed == []
    assert holder_of(world)
    for name in "abc":
        world.processes[name].disk = DiskMode.WELL
    world.run(world.now_ms + 1000)
    assert len(audit.committed) == 10


def test_limits_of_record_size_state_size_and_pending_records():
    """Records over a limit are rejected, and the disk has less than twice the maximum state."""
    world, _ = world_with_holder()
    first = world.processes[holder_of(world)]
    local_ms = first.local(world.now_ms)
    with pytest.raises(RecordSizeError, match="record of 801 bytes; expected 1 to 800 bytes"):
        first.group.append(local_ms, bytes(801), print)
    small_results = []
    for _ in range(FAST_SETTINGS.max_pending_records + 5):
        first.group.append(local_ms, b"12345678", lambda now_ms, result: small_results.append(result))
    assert small_results == [False] * 5
    large_results = []
    for _ in range(400):
        world.call(
            first.name,
            lambda group, local_ms: group.append(
                local_ms, bytes(800), lambda now_ms, result: large_results.append(result)
            ),
        )
        world.run(world.now_ms + 20)
    assert False in large_results
    stored_bytes = sum(len(value) for value in first.sections.values())
    assert stored_bytes < 2 * FAST_SETTINGS.max_state_bytes


def test_duplicate_voter_names_are_rejected():
    """The error names the group and the voters."""
    with pytest.raises(
        InvalidGroupError, match=r"group g: voters must be one or more unique names, got \['a', 'a'\]"
    ):
        LeaseGroup("g", "a", 1, ["a", "a"], Random(1), FAST_SETTINGS, 0.0, {})


def test_no_message_is_over_1100_bytes():
    """This holds with large records, a fetch of the log and lost messages."""
    world, audit = make_world("abc", 5, others="x", loss=0.1)
    sizes = []
    world.send_checks.append(lambda process, to, message: sizes.append(len(message.SerializeToString())))
    for name in world.processes:
        world.start(name)
    world.run(3000)
    append_records(world, audit, 60, padding=792)
    world.kill(holder_of(world))
    world.run(world.now_ms + 10_000)
    assert 900 < max(sizes) <= 1100


def test_foreign_and_empty_messages_are_counted_and_dropped():
    """One message is of another group, one has no body."""
    group = LeaseGroup("g", "a", 1, "abc", Random(1), FAST_SETTINGS, 0.0, {}, is_new_disk=True)
    group.on_message(1.0, ("b", 1), Message(group="h", claim={"generation": 1}))
    group.on_message(1.0, ("b", 1), Message(group="g"))
    assert group.foreign_messages == 2
    assert not group.outbox
    assert not group.store_requests


def test_stored_sections_are_loaded_completely_or_not_at_all():
    """A corrupt section, except the base, makes all sections unusable; so does any that is missing.

    A voter's first write has its promise.
    """
    log = ReplicatedLog()
    sections = {"promise": Promise(generation=1, name="a", incarnation=1).SerializeToString()}
    for number in range(30):
        longer = log.copy()
        longer.append(bytes([number]))
        if len(longer.records) > 8:
            longer.fold(fold, 4)
        apply_changes(sections, changes_between(log, longer))
        log = longer
        assert load_voter_state(sections).log.position == log.position
        assert len(sections) == 3 + len(log.records) or log.base == b""
    for key in sections:
        assert load_voter_state({other: sections[other] for other in sections if other != key}) is None
        if key != "base":
            assert load_voter_state({**sections, key: b"\xff" + sections[key]}) is None
    assert LogPosition.from_wire(log.position.to_wire()) == log.position

"""One owner at a time: what a group does in the plain cases, its bounds, and what it refuses."""

from random import Random

import pytest
from lease_audit import QUICK, fold, holder, position_of, split, world_of, write

from lichenquay.lease.durable_state import changes_between, load
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.log import LogPosition, ReplicatedLog


def begun(seed=1, voters="abc", **more):
    world, audit = world_of(voters, seed, **more)
    for name in world.all:
        world.start(name)
    assert world.run(3000, lambda: holder(world))
    return world, audit


def writes(world, audit, many, pad=0):
    for _ in range(many):
        for name in world.all:
            write(world, audit, name, pad)
        world.run(world.now + 30)


@pytest.mark.parametrize("voters", ["a", "ab", "abc", "abcde"])
def test_one_holds_and_its_records_are_made_once_and_in_order(voters):
    world, audit = begun(voters=voters)
    writes(world, audit, 30)
    assert audit.made == list(range(1, 31)) and len(audit.held) == 1
    part = world.all[holder(world)].part
    base, records = part.state
    assert [int.from_bytes(r, "big") for r in [*split(base), *records]] == audit.made
    assert part.holder == (part.name, part.generation) and len(records) <= QUICK.max_records
    others = [p.part for p in world.all.values() if p.part is not part]
    assert all(
        o.holder == (part.name, part.generation) and o.state is None and o.generation == 0 for o in others
    )


def test_another_takes_over_when_the_holder_dies_and_not_before_its_lease_is_over():
    world, audit = begun()
    writes(world, audit, 5)
    first, died = holder(world), world.now
    world.kill(first)
    assert not world.run(died + QUICK.lease_ms / 1.05 - QUICK.heartbeat_ms / 0.95 - 10, lambda: holder(world))
    assert world.run(died + 3 * QUICK.lease_ms, lambda: holder(world))
    writes(world, audit, 5)
    assert len(audit.made) == 10
    world.start(first)
    world.run(world.now + QUICK.expiry_wait_ms + 1000)
    assert {position_of(p.kept) for p in world.all.values()} == {(audit.held[-1], 10)}


def test_given_up_in_order_it_is_taken_at_once_after_the_last_record():
    world, audit = begun()
    first = holder(world)
    write(world, audit, first)
    world.call(first, lambda part, ms: part.release(ms))
    assert holder(world) == first  # the record is under way
    begin = world.now
    assert world.run(begin + 5000, lambda: holder(world) not in (None, first))
    assert audit.made == [1] and world.now - begin < 2 * QUICK.backoff_ms
    assert not world.all[first].part.is_candidate


def test_a_voter_without_its_folder_abstains_until_it_has_the_state_again():
    world, audit = begun()
    writes(world, audit, 40, pad=500)
    lost = next(n for n in "abc" if n != holder(world))
    world.kill(lost)
    world.start(lost, folder=False)
    voter = world.all[lost].part.voter
    world.run(world.now + QUICK.lease_ms)
    assert voter.is_recovering and not world.all[lost].kept
    assert world.run(world.now + 2 * QUICK.lease_ms, lambda: not voter.is_recovering)
    assert position_of(world.all[lost].kept) == (audit.held[-1], 40)


def test_a_group_whose_folders_are_all_new_is_founded_by_all_its_voters_alone():
    world, audit = world_of("abc", 3, fresh=False)
    for name in "ab":
        world.start(name)
    assert not world.run(10_000, lambda: holder(world))
    world.start("c")
    assert world.run(20_000, lambda: holder(world))
    writes(world, audit, 3)
    assert len(audit.made) == 3


def test_two_of_three_folders_lost_is_a_standstill_that_loses_nothing():
    world, audit = begun()
    writes(world, audit, 3)
    for name in "abc":
        world.kill(name)
    for name, folder in zip("abc", (True, False, False)):
        world.start(name, folder=folder)
    assert not world.run(world.now + 20_000, lambda: holder(world))


def test_a_process_that_is_no_voter_can_hold():
    world, audit = begun(more="x")
    for name in "abc":
        world.call(name, lambda part, ms: part.set_candidate(ms, False))
    first = holder(world)
    if first != "x":
        writes(world, audit, 20, pad=700)
        world.call(first, lambda part, ms: part.release(ms))
        assert world.run(world.now + 5000, lambda: holder(world) == "x")
    writes(world, audit, 5)
    assert world.all["x"].kept == {} and audit.made[-1] == audit.next


def test_a_holder_paused_past_its_lease_does_not_hold_and_says_so():
    world, audit = begun()
    first = holder(world)
    write(world, audit, first)
    world.pause(first, 5 * QUICK.lease_ms)
    world.run(world.now + 4.9 * QUICK.lease_ms)
    assert holder(world) not in (None, first)
    world.run(world.now + QUICK.lease_ms)
    assert audit.answers[1] == [None] and len(audit.held) >= 2


def test_a_full_disk_grants_nothing_and_heals():
    world, audit = begun()
    for name in "abc":
        world.all[name].disk = "full"
    writes(world, audit, 10)
    assert audit.made == [] and holder(world)  # it renews, and makes no record
    for name in "abc":
        world.all[name].disk = "well"
    world.run(world.now + 1000)
    assert len(audit.made) == 10


def test_bounds_of_records_state_and_what_is_under_way():
    world, audit = begun()
    first = world.all[holder(world)]
    ms = first.local(world.now)
    with pytest.raises(ValueError, match="a record of 801 bytes; from 1 to 800 fit"):
        first.part.append(ms, bytes(801), print)
    got = []
    for _ in range(QUICK.max_pending_records + 5):
        first.part.append(ms, b"12345678", lambda now, ok: got.append(ok))
    assert got == [False] * 5
    big = []
    for _ in range(400):
        world.call(first.name, lambda part, ms: part.append(ms, bytes(800), lambda now, ok: big.append(ok)))
        world.run(world.now + 20)
    assert False in big and sum(len(b) for b in first.kept.values()) < 2 * QUICK.max_state_bytes
    with pytest.raises(ValueError, match="group g: voters need names of their own"):
        LeaseGroup("g", "a", 1, ["a", "a"], Random(1), QUICK, 0.0, {})


def test_no_message_is_over_1100_bytes():
    world, audit = world_of("abc", 5, more="x", loss=0.1)
    sizes = []
    world.heeds.append(lambda p, to, message: sizes.append(len(message.SerializeToString())))
    for name in world.all:
        world.start(name)
    world.run(3000)
    writes(world, audit, 60, pad=792)
    world.kill(holder(world))
    world.run(world.now + 10_000)
    assert 900 < max(sizes) <= 1100


def test_foreign_and_empty_messages_are_counted_and_dropped():
    group = LeaseGroup("g", "a", 1, "abc", Random(1), QUICK, 0.0, {}, is_new_disk=True)
    group.heard(1.0, ("b", 1), Message(group="h", claim={"generation": 1}))
    group.heard(1.0, ("b", 1), Message(group="g"))
    assert group.foreign_messages == 2 and not group.outbox and not group.store_requests


def test_what_is_kept_comes_back_whole_or_not_at_all():
    log, kept = ReplicatedLog(), {}
    for number in range(30):
        new = log.copy()
        new.append(bytes([number]))
        if len(new.records) > 8:
            new.fold(fold, 4)
        for key, value in changes_between(log, new).items():
            kept.pop(key, None) if value is None else kept.__setitem__(key, value)
        log = new
        assert load(kept).log.position == log.position
        assert len(kept) == 2 + len(log.records) or log.base == b""
    for key in kept:
        if key != "base":
            assert load({**kept, key: b"\xff" + kept[key]}) is None
    assert LogPosition.from_wire(log.position.to_wire()) == log.position

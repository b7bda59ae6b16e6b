"""Voters whose stored state is damaged: refused at the start, and restored by a holder only."""

from functools import partial

import pytest
from lease_audit import FAST_SETTINGS, append_record, holder_of, make_world

from lichenquay.lease.group import LeaseGroup

DAMAGED = b"\xffdamaged"
LONG_MS = 20 * FAST_SETTINGS.lease_ms


def find_state_error(base, records):
    """Names the damage of a base that was damaged by `damage`."""
    return "a byte that no fold writes" if base.startswith(DAMAGED) else None


def world_with_records():
    """Returns a world of three voters whose logs have a folded base, and its audit."""
    world, audit = make_world("abc", group_class=partial(LeaseGroup, find_state_error=find_state_error))
    for name in "abc":
        world.start(name)
    world.run(5_000, lambda: holder_of(world))
    for _ in range(3 * FAST_SETTINGS.max_records):
        append_record(world, audit, holder_of(world))
        world.run(world.now_ms + 50)
    assert all(process.sections["base"] for process in world.processes.values())
    return world, audit


def damage(process, how):
    """Damages what a stopped process has stored: the audit no longer expects its promise and log there."""
    process.lost_folders += 1
    if how == "base":
        process.sections["base"] = DAMAGED + process.sections["base"]
    else:
        del process.sections[how]


@pytest.mark.parametrize("how", ["base", "promise", "state"])
def test_a_voter_with_a_damaged_state_is_restored_by_the_holder(how):
    """Guards against a voter that votes, or a holder that goes on, with a state cut short."""
    world, audit = world_with_records()
    name = next(name for name in "abc" if name != holder_of(world))
    world.kill(name)
    damage(world.processes[name], how)
    world.start(name)
    group = world.processes[name].group
    assert group.damage and group.voter.is_recovering
    assert world.run(world.now_ms + LONG_MS, lambda: not group.voter.is_recovering)
    assert group.damage is None and group.voter.log.index >= len(audit.committed)
    assert not group.voter.log.base.startswith(DAMAGED)
    world.kill(holder_of(world))
    committed = len(audit.committed)

    def is_record_committed():
        if holder_of(world):
            append_record(world, audit, holder_of(world))
        return len(audit.committed) > committed

    while not is_record_committed() and world.now_ms < 10 * LONG_MS:
        world.run(world.now_ms + 50)
    assert len(audit.committed) > committed


def test_voters_that_are_all_damaged_do_not_begin_anew():
    """Guards against a bootstrap with an empty log, which would replace what the folders still hold."""
    world, _ = world_with_records()
    for name in "abc":
        world.kill(name)
        damage(world.processes[name], "base")
    before = {name: dict(world.processes[name].sections) for name in "abc"}
    for name in "abc":
        world.start(name)
    assert not world.run(world.now_ms + LONG_MS, lambda: holder_of(world))
    assert {name: world.processes[name].sections for name in "abc"} == before


def test_two_lost_folders_beside_a_damaged_one_do_not_begin_anew():
    """The damaged one does not count as a third that has lost everything."""
    world, _ = world_with_records()
    for name in "abc":
        world.kill(name)
    damage(world.processes["c"], "base")
    before = dict(world.processes["c"].sections)
    for name in "abc":
        world.start(name, has_folder=name == "c")
    assert not world.run(world.now_ms + LONG_MS, lambda: holder_of(world))
    assert world.processes["c"].sections == before

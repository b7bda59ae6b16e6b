"""A lease group under faults: seeded schedules, all interleavings of a small group, mutated messages.

Further tests check that these methods detect injected faults. The runs are short by default; LEASE_RUNS
(schedules), LEASE_STATES (of each exploration) and LEASE_MUTANTS=all make them longer.
"""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from invariants import InvariantError
from lease_broken import BROKEN
from lease_explore import Explorer
from lease_explore_state import Budget
from lease_faults import MAX_RECOVERY_MS, run_schedule, shape_of, slow_shape_of
from lease_mutation import run_mutants

SCHEDULES = int(os.environ.get("LEASE_RUNS", 12))
MAX_STATES = int(os.environ.get("LEASE_STATES", 9_000))
MUTANT_STEP = 1 if os.environ.get("LEASE_MUTANTS") == "all" else 40
IS_LONG_RUN = "LEASE_RUNS" in os.environ or "LEASE_STATES" in os.environ

# (initial holder, budget, whether the short form visits all states)
SMALL_GROUPS = [
    ("", Budget(acquisitions=("a", "b"), has_slow_disks=True), False),
    ("a", Budget(acquisitions=("b",), crashes=2), True),
    ("a", Budget(acquisitions=("b", "c"), appends=1, releases=1), False),
    ("a", Budget(acquisitions=("b",), steps=2, disk_failures=1), False),
    ("a", Budget(acquisitions=("b",), steps=4, step=0.45, cut_links=(("a", "b"),)), False),
    ("a", Budget(acquisitions=("b", "c"), appends=1, crashes=2, steps=2, duplicates=1), False),
    ("", Budget(acquisitions=("a", "b")), True),
    ("", Budget(acquisitions=("a",), appends=1, has_slow_disks=True), True),
]

# Explorations, or single traces, that detect faults which schedules detect too rarely.
EXPLORED = {
    "no wait after the voter's own start": SMALL_GROUPS[1],
    "the lease measured from the reply": (
        "a",
        Budget(acquisitions=("b",), steps=4, step=0.45, cut_links=(("a", "b"),)),
        True,
    ),
}
TRACES = {
    "no fencing by generation": (
        "a",
        Budget(acquisitions=("c",), steps=4, step=0.45),
        (
            "time",
            "c receives append_request from a",
            "a receives append_reply from c",
            "time",
            "time",
            "c acquires",
            "b receives acquire_request from c",
            "c receives acquire_grant from b",
            "b receives append_request from a",
            "a receives append_reply from b",
            "time",
            "b receives append_request from c",
            "c receives append_reply from b",
        ),
    )
}
# Seeds of schedules that detect a fault, tried first.
SEEDS = {
    "an outdated offer installed": (2,),
    "a record committed by one voter": (9,),
    "a release announced before the last record is committed": (25,),
    "a reply to an old append request taken for one to the latest": (100,),
    "the log of the first grant adopted": (1,),
    "a voter that lost its folder votes": (16,),
}
# Likewise, of schedules with transfers that are longer than a lease, which detect these faults more often.
SLOW_SEEDS = {"the lease held before a majority has the log": (26, 53, 56, *range(25))}


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_schedules_of_faults_keep_all_invariants_and_recover(seed):
    """A record is committed within MAX_RECOVERY_MS after the last fault."""
    audit, recovery_ms = run_schedule(seed, **shape_of(seed))
    assert audit.committed
    assert recovery_ms <= MAX_RECOVERY_MS


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_schedules_with_transfers_longer_than_a_lease_keep_all_invariants(seed):
    """Guards against records lost, or two holders, by an acquisition that outlasts a lease.

    Voters lose their folders while a transfer goes on.
    """
    audit, recovery_ms = run_schedule(seed, **slow_shape_of(seed))
    assert audit.committed
    assert recovery_ms <= MAX_RECOVERY_MS


@settings(max_examples=8 if not IS_LONG_RUN else 500, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((1, 2, 3, 5)), st.integers(0, 2), st.integers(0, 30))
def test_random_schedules_keep_all_invariants(seed, voters, others, faults):
    """The numbers of voters, other processes and faults vary."""
    run_schedule(seed, voters, others if voters > 1 else 0, last_ms=8_000, faults=faults)


@pytest.mark.parametrize("begin, budget, is_complete", SMALL_GROUPS)
def test_all_interleavings_of_a_small_group_keep_all_invariants(begin, budget, is_complete, capsys):
    """Visits all states, or as many as the short form allows."""
    explorer = Explorer(budget, begin=begin)
    states = explorer.explore(MAX_STATES)
    with capsys.disabled():
        extent = "all" if explorer.is_complete else "limit reached"
        print(f"\nlease: {states} states, {extent}: {begin or 'nobody'} holds, {budget}")
    assert explorer.is_complete or not is_complete and states >= MAX_STATES


def test_no_mutation_of_one_message_breaks_an_invariant(capsys):
    """None leads to two holders, a lost record or a group without progress."""
    run = run_mutants(1, lambda number: number % MUTANT_STEP == 0)
    with capsys.disabled():
        print(f"\nlease: {run.messages} messages, {run.mutants} mutants, {len(run.violations)} violations")
    assert run.messages > 100
    assert run.mutants > 8000 // MUTANT_STEP
    assert run.violations == []


@pytest.mark.parametrize("rule", BROKEN)
def test_injected_faults_are_detected(rule, capsys):
    """A schedule, an exploration or a single trace detects each of them."""
    with BROKEN[rule]():
        found = detection_of(rule)
    with capsys.disabled():
        print(f"\nlease: {rule}: {found}")
    assert found


def test_traces_that_detect_a_fault_keep_all_invariants_without_it():
    """The correct code can follow them."""
    for begin, budget, names in TRACES.values():
        explorer = Explorer(budget, begin=begin)
        explorer.follow(names)
        assert explorer.moves_made[:8] == list(names[:8])


def detection_of(rule):
    """Returns the error by which a fault was detected and its schedule or moves; None if it was not."""
    if rule in TRACES:
        begin, budget, names = TRACES[rule]
        try:
            Explorer(budget, begin=begin).follow(names)
        except InvariantError as error:
            return f"{error} by: {', '.join(names)}"
    if rule in EXPLORED:
        begin, budget, _ = EXPLORED[rule]
        try:
            Explorer(budget, begin=begin).explore(30_000)
        except InvariantError as error:
            return f"{error} by: {', '.join(error.trace)}"
    shapes = [(seed, slow_shape_of(seed)) for seed in SLOW_SEEDS.get(rule, ())]
    shapes += [(seed, shape_of(seed)) for seed in [*SEEDS.get(rule, ()), *range(25)]]
    for seed, shape in shapes:
        try:
            run_schedule(seed, **shape)
        except AssertionError as error:
            return f"schedule {seed}: {str(error)[:100]}"
    return None

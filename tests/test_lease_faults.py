"""One owner at a time, by faults: seeded schedules, all interleavings of a small group, one message changed at a
time; and that these find rules broken on purpose. Short here; longer by OWNER_RUNS (schedules), OWNER_STATES (of each
exploration), OWNER_MUTANTS=all."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lease_audit import InvariantError
from lease_broken import BROKEN
from lease_explore import Budget, Explorer
from lease_faults import REST_MS, kinds, schedule
from lease_mutation import run

RUNS = int(os.environ.get("OWNER_RUNS", 12))
STATES = int(os.environ.get("OWNER_STATES", 9_000))
EVERY = 1 if os.environ.get("OWNER_MUTANTS") == "all" else 40
LONG = "OWNER_RUNS" in os.environ or "OWNER_STATES" in os.environ

# (who holds at first, budget, whether the short form gets through all of it)
SMALL = [
    ("", Budget(claims=("a", "b"), slow_disks=True), False),
    ("a", Budget(claims=("b",), crashes=2), True),
    ("a", Budget(claims=("b", "c"), writes=1, leaves=1), False),
    ("a", Budget(claims=("b",), steps=2, fails=1), False),
    ("a", Budget(claims=("b",), steps=4, step=0.45, cut=(("a", "b"),)), False),
    ("a", Budget(claims=("b", "c"), writes=1, crashes=2, steps=2, doubles=1), False),
    ("", Budget(claims=("a", "b")), True),
    ("", Budget(claims=("a",), writes=1, slow_disks=True), True),
]

# What finds a rule that schedules find too rarely: an exploration, or one way through it.
EXPLORED = {
    "no wait after the voter's own start": SMALL[1],
    "lease counted from the answer": (
        "a",
        Budget(claims=("b",), steps=4, step=0.45, cut=(("a", "b"),)),
        True,
    ),
}
WAYS = {
    "no fence by generation": (
        "a",
        Budget(claims=("c",), steps=4, step=0.45),
        (
            "time",
            "c hears round of a",
            "a hears ack of c",
            "time",
            "time",
            "c claims",
            "b hears claim of c",
            "c hears grant of b",
            "b hears round of a",
            "a hears ack of b",
            "time",
            "b hears round of c",
            "c hears ack of b",
        ),
    )
}
# Seeds of schedules that find a rule, tried first.
SEEDS = {
    "an old offer taken": (2,),
    "record made at one voter": (9,),
    "the end said before the last record is made": (25,),
    "an old round's answer counted for the latest": (26,),
    "state of the first grant": (1,),
    "a voter without its folder votes": (16,),
    "acts before a majority keeps the state": (46,),
}


@pytest.mark.parametrize("seed", range(RUNS))
def test_schedules_of_faults_keep_all_invariants_and_come_to_rest(seed):
    audit, rest_ms = schedule(seed, **kinds(seed))
    assert audit.made and rest_ms <= REST_MS


@settings(max_examples=8 if not LONG else 500, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((1, 2, 3, 5)), st.integers(0, 2), st.integers(0, 30))
def test_any_schedule(seed, voters, more, faults):
    schedule(seed, voters, more if voters > 1 else 0, last_ms=8_000, faults=faults)


@pytest.mark.parametrize("begin, budget, whole", SMALL)
def test_all_interleavings_of_a_small_group(begin, budget, whole, capsys):
    explorer = Explorer(budget, begin=begin)
    states = explorer.explore(STATES)
    with capsys.disabled():
        print(
            f"\nowner: {states} states, {'all' if explorer.whole else 'cut'}: {begin or 'nobody'} holds, {budget}"
        )
    assert explorer.whole or not whole and states >= STATES


def test_one_message_changed_at_a_time(capsys):
    messages, mutants, faults = run(1, lambda no: no % EVERY == 0)
    with capsys.disabled():
        print(f"\nowner: {messages} messages, {mutants} mutants, {len(faults)} violations")
    assert messages > 100 and mutants > 8000 // EVERY and faults == []


@pytest.mark.parametrize("rule", BROKEN)
def test_rules_broken_on_purpose_are_found(rule, capsys):
    with BROKEN[rule]():
        found = found_by(rule)
    with capsys.disabled():
        print(f"\nowner: {rule}: {found}")
    assert found


def test_the_ways_that_find_a_broken_rule_do_no_harm_to_the_right_one():
    for begin, budget, names in WAYS.values():
        explorer = Explorer(budget, begin=begin)
        explorer.follow(names)
        assert explorer.done[:8] == list(names[:8])


def found_by(rule):
    """What found it: a schedule's seed or an exploration's steps, and what it saw."""
    if rule in WAYS:
        begin, budget, names = WAYS[rule]
        try:
            Explorer(budget, begin=begin).follow(names)
        except InvariantError as fault:
            return f"{fault} by: {', '.join(names)}"
    if rule in EXPLORED:
        begin, budget, _ = EXPLORED[rule]
        try:
            Explorer(budget, begin=begin).explore(30_000)
        except InvariantError as fault:
            return f"{fault} by: {', '.join(fault.way)}"
    for seed in [*SEEDS.get(rule, ()), *range(25)]:
        try:
            schedule(seed, **kinds(seed))
        except AssertionError as fault:
            return f"schedule {seed}: {str(fault)[:100]}"
    return None

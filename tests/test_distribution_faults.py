"""Distribution under seeded schedules of faults, and that these find rules broken on purpose.

Short here; longer by DISTRIBUTION_RUNS (schedules).
"""

import os

import pytest
from distribution_broken import BROKEN
from distribution_faults import schedule
from distribution_rule_checks import RULE_CHECKS

pytestmark = pytest.mark.together

RUNS = int(os.environ.get("DISTRIBUTION_RUNS", 12))
# Seeds of schedules that find a rule; tried first.
SEEDS = {
    "no generation check": (1,),
    "digest ignored, gap not seen": (1,),
    "a snapshot in force before all its pages are there": (9,),
    "deletions left out of deltas": (1,),
    "the first of each key in a merged delta": (2,),
    "a proposal checked without those under way": (9,),
}


@pytest.mark.parametrize("seed", range(RUNS))
def test_schedules_of_faults_keep_all_invariants_and_come_to_rest(seed):
    """Audited at each message; all accepted changes in force everywhere at the end."""
    world = schedule(seed)
    assert world.audit.newest > 20 and world.audit.checked > 200


@pytest.mark.parametrize("rule", sorted(set(BROKEN) - set(RULE_CHECKS)))
def test_rules_broken_on_purpose_are_found(rule, capsys):
    """By a schedule's seed."""
    found = None
    for seed in [*SEEDS.get(rule, ()), *range(12)]:
        try:
            with BROKEN[rule]():
                schedule(seed)
        except AssertionError as fault:
            found = f"schedule {seed}: {str(fault)[:90]}"
            break
    with capsys.disabled():
        print(f"\ndistribution: {rule}: {found}")
    assert found

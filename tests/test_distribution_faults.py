"""Distribution under seeded schedules of faults, and the mutants that these schedules have to detect.

DISTRIBUTION_RUNS sets the number of schedules.
"""

import os

import pytest
from distribution_broken import MUTANTS
from distribution_faults import run_fault_schedule
from distribution_rule_checks import RULE_CHECKS

pytestmark = pytest.mark.together

RUNS = int(os.environ.get("DISTRIBUTION_RUNS", 12))
# Seeds of schedules that are known to detect a mutant; tried first.
SEEDS = {
    "no generation check": (1,),
    "digest and version gap not checked": (1,),
    "incomplete snapshot applied": (9,),
    "deletions missing from deltas": (1,),
    "merged delta holds the first entry of each key": (2,),
    "proposal checked without the pending ones": (9,),
}


@pytest.mark.parametrize("seed", range(RUNS))
def test_invariants_hold_and_the_system_settles_after_faults(seed):
    """Audited at each message; at the end all accepted changes are in force everywhere."""
    world = run_fault_schedule(seed)
    assert world.audit.newest > 20 and world.audit.check_count > 200


@pytest.mark.parametrize("mutant", sorted(set(MUTANTS) - set(RULE_CHECKS)))
def test_fault_schedules_detect_each_mutant(mutant, capsys):
    """An audit or an expectation fails under at least one seed."""
    found = None
    for seed in [*SEEDS.get(mutant, ()), *range(12)]:
        try:
            with MUTANTS[mutant]():
                run_fault_schedule(seed)
        except AssertionError as failure:
            found = f"schedule {seed}: {str(failure)[:90]}"
            break
    with capsys.disabled():
        print(f"\ndistribution: {mutant}: {found}")
    assert found

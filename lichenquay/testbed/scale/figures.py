"""A run's figures as they are written to JSON."""

import os
from collections import Counter
from dataclasses import asdict

from lichenquay.testbed.scale.engine_sweep import FRONTS, EngineKept
from lichenquay.testbed.scale.engines import ENTRIES_OF_CHANGE
from lichenquay.testbed.scale.fit import Fit
from lichenquay.testbed.scale.latency import config_figures, heal_s, start_s
from lichenquay.testbed.scale.record import Life
from lichenquay.testbed.scale.roles import COST_DIGITS, Role
from lichenquay.testbed.scale.runner import Kept
from lichenquay.testbed.scale.slopes import Outcome
from lichenquay.testbed.scale.virtual_run import VirtualKept

HOLLOW_LACKS = ("membership (at most 1,024 names)", "account client", "clients' connections")
HOLLOW_LACKS_ALL = (*HOLLOW_LACKS, "controller")


def figures_of(kept: Kept) -> dict:
    """All figures; `config` is of every change that was proposed while sizes were measured and scenarios
    played.
    """
    return {
        "fronts_hollow": kept.plan.held_out,
        "fronts_real": len(kept.real_fronts),
        "real_fronts": [asdict(front) for front in kept.real_fronts],
        "processes": kept.processes,
        "memory_share": round(kept.memory_share, 4),
        "load_average": load_average(),
        "engines": kept.plan.shape.engines,
        "zones": len(kept.plan.shape.zones),
        "seed": kept.plan.shape.seed,
        "queries_per_s": kept.plan.shape.queries_per_s,
        "queries": queries_of(kept.lives),
        "hollow_fronts_lack": list(HOLLOW_LACKS if kept.plan.shape.queries_per_s else HOLLOW_LACKS_ALL),
        **roles_of(kept),
        "sizes": sizes_of(kept),
        "slopes": slopes_of(kept.fits, kept.plan.sizes),
        **predictions_of(kept.outcomes),
        **outcome_of(kept),
    }


def virtual_figures_of(kept: VirtualKept) -> dict:
    """All figures of a run in virtual time."""
    return {
        "fronts_virtual": kept.plan.shape.fronts,
        "engines": kept.plan.shape.engines,
        "zones": len(kept.plan.shape.zones),
        "seed": kept.plan.shape.seed,
        "virtual_s": round(kept.virtual_s, 1),
        "cpu_s": round(kept.cpu_s, 1),
        "sent_messages_per_s": kept.messages_per_s,
        "sent_body_bytes_per_s": kept.bytes_per_s,
        **outcome_of(kept),
    }


def outcome_of(kept: Kept | VirtualKept) -> dict:
    """What became of the changes, in real time and in virtual time alike."""
    out_of_reach = [one for played in kept.played for one in played.out_of_reach]
    made = [proposal for proposal in kept.proposals if proposal.accepted_ms is not None]
    trickle = made[loading_changes(kept) :]
    findings = kept.findings
    return {
        "config": {
            **asdict(config_figures(trickle, kept.lives, out_of_reach)),
            "never_in_force": findings.never_in_force,
            "out_of_order": findings.out_of_order,
            "two_versions_after_rest": findings.two_versions_after_rest,
        },
        "scenarios": {played.scenario.name: scenario_of(played, kept) for played in kept.played},
        "zone_start_s": zone_start_s(kept),
        "region_heal_s": region_heal_s(kept),
        "notes": kept.notes,
        "broken_rules": findings.broken_rules,
    }


def queries_of(lives: list[Life]) -> dict[str, int]:
    """Queries of all hollow fronts' controllers, by what became of them."""
    total = Counter()
    for life in lives:
        total.update({what: number for what, number in life.counts.items() if what.startswith("queries")})
    return dict(total)


def loading_changes(kept: Kept | VirtualKept) -> int:
    """The changes that listed the engines: they come first, and no front is up yet."""
    return -(-kept.plan.shape.engines // ENTRIES_OF_CHANGE)


def roles_of(kept: Kept) -> dict:
    """Of one member of each role, at the held-out size: the mean over the windows."""
    roles = {}
    for role in Role:
        costs = [sample.costs[role].of_one() for sample in kept.held_out if role in sample.costs]
        if costs:
            roles[role.value] = {
                name: round(sum(getattr(cost, name) for cost in costs) / len(costs), digits)
                for name, digits in COST_DIGITS.items()
            }
    return {"roles": roles}


def sizes_of(kept: Kept) -> list[dict]:
    """Every window at every size."""
    return [
        {
            "fronts": sample.fronts,
            **{role.value: asdict(cost.of_one()) for role, cost in sample.costs.items()},
        }
        for sample in [*kept.samples, *kept.held_out]
    ]


def slopes_of(fits: dict[str, Fit], sizes) -> dict:
    """What one more front (or engine) costs, and the sizes that were fitted."""
    return {
        name: {
            "value": one.slope,
            "low": one.low,
            "high": one.high,
            "intercept": one.intercept,
            "sizes": list(sizes),
        }
        for name, one in fits.items()
    }


def predictions_of(outcomes: dict[str, Outcome]) -> dict:
    """Predictions and outcomes at the held-out size, side by side."""
    return {
        "predicted": {
            name: {"value": one.value, "low": one.low, "high": one.high} for name, one in outcomes.items()
        },
        "measured": {name: one.measured for name, one in outcomes.items()},
        "prediction_holds": {name: one.holds for name, one in outcomes.items()},
    }


def engine_figures_of(kept: EngineKept) -> dict:
    """All figures of a sweep over the number of engines."""
    findings = kept.findings
    return {
        "fronts_hollow": FRONTS,
        "fronts_real": 0,
        "processes": kept.processes,
        "memory_share": round(kept.memory_share, 4),
        "load_average": load_average(),
        "held_out": kept.samples[-1].engines,
        "engine_sizes": [{"engines": one.engines, **one.metrics} for one in kept.samples],
        "slopes": slopes_of(kept.fits, [one.engines for one in kept.samples[:-1]]),
        **predictions_of(kept.outcomes),
        "never_in_force": findings.never_in_force,
        "out_of_order": findings.out_of_order,
        "two_versions_after_rest": findings.two_versions_after_rest,
        "notes": kept.notes,
        "broken_rules": findings.broken_rules,
    }


def load_average() -> list[float]:
    """Of the machine, over 1, 5 and 15 minutes."""
    return [round(load, 1) for load in os.getloadavg()]


def scenario_of(played, kept: Kept | VirtualKept) -> dict:
    """Of the changes that were proposed during a scenario."""
    during = [
        proposal
        for proposal in kept.proposals
        if proposal.accepted_ms is not None and played.begun_ms <= proposal.proposed_ms < played.ended_ms
    ]
    return {
        **asdict(config_figures(during, kept.lives, played.out_of_reach)),
        "seconds": played.scenario.seconds,
        "compressed": played.scenario.compressed,
        "done": played.done,
        "settled": played.settled,
        "heal_s": heal_of(played, kept),
        "start_s": start_of(played, kept),
    }


def heal_of(played, kept: Kept | VirtualKept) -> float | None:
    """Seconds from the heal until all fronts that were out of reach had the newest version of that moment."""
    if played.healed_ms is None:
        return None
    names = frozenset().union(*(one.names for one in played.out_of_reach))
    return heal_s(kept.lives, names, played.healed_ms, played.healed_version)


def start_of(played, kept: Kept | VirtualKept) -> float | None:
    """Seconds from the last start of fronts until all of them had the newest version of that moment."""
    if played.restarted_ms is None:
        return None
    return start_s(kept.lives, played.restarted, played.restarted_ms, played.restarted_version)


def zone_start_s(kept: Kept | VirtualKept) -> float | None:
    """Of the scenario of that name."""
    return next((start_of(p, kept) for p in kept.played if p.scenario.name == "zone start"), None)


def region_heal_s(kept: Kept | VirtualKept) -> float | None:
    """Of the scenario of that name."""
    return next((heal_of(p, kept) for p in kept.played if p.scenario.name == "region cut"), None)

"""Converts a run's results to the figures that are written as JSON."""

import os
from collections import Counter
from dataclasses import asdict

from lichenquay.testbed.scale.engine_sweep import GATEWAYS, EngineSweepResult
from lichenquay.testbed.scale.engines import ENTRIES_PER_CHANGE
from lichenquay.testbed.scale.fit import Fit
from lichenquay.testbed.scale.latency import config_figures, recovery_seconds, startup_seconds
from lichenquay.testbed.scale.record import GatewayLifetime
from lichenquay.testbed.scale.roles import COST_DIGITS, Role
from lichenquay.testbed.scale.runner import ScaleRunResult
from lichenquay.testbed.scale.slopes import PredictionOutcome
from lichenquay.testbed.scale.virtual_run import VirtualRunResult

NOT_SIMULATED = ("membership (at most 1,024 names)", "account client", "clients' connections")
NOT_SIMULATED_WITHOUT_QUERIES = (*NOT_SIMULATED, "controller")


def figures_of(result: ScaleRunResult) -> dict:
    """Returns all figures of a run; `config` covers every change proposed while sizes were measured and
    scenarios ran.
    """
    return {
        "fronts_hollow": result.plan.held_out,
        "fronts_real": len(result.real_fronts),
        "real_fronts": [asdict(gateway) for gateway in result.real_fronts],
        "processes": result.processes,
        "memory_share": round(result.memory_share, 4),
        "load_average": load_average(),
        "engines": result.plan.shape.engines,
        "zones": len(result.plan.shape.zones),
        "seed": result.plan.shape.seed,
        "queries_per_s": result.plan.shape.queries_per_s,
        "queries": queries_of(result.lifetimes),
        "hollow_fronts_lack": list(
            NOT_SIMULATED if result.plan.shape.queries_per_s else NOT_SIMULATED_WITHOUT_QUERIES
        ),
        **roles_of(result),
        "sizes": sizes_of(result),
        "slopes": slopes_of(result.fits, result.plan.sizes),
        **predictions_of(result.outcomes),
        **outcome_of(result),
    }


def virtual_figures_of(result: VirtualRunResult) -> dict:
    """Returns all figures of a run in virtual time."""
    return {
        "fronts_virtual": result.plan.shape.fronts,
        "engines": result.plan.shape.engines,
        "zones": len(result.plan.shape.zones),
        "seed": result.plan.shape.seed,
        "virtual_s": round(result.virtual_s, 1),
        "cpu_s": round(result.cpu_s, 1),
        "sent_messages_per_s": result.messages_per_s,
        "sent_body_bytes_per_s": result.bytes_per_s,
        **outcome_of(result),
    }


def outcome_of(result: ScaleRunResult | VirtualRunResult) -> dict:
    """Returns the outcome of the changes, in the same form for real and virtual time."""
    unreachable_periods = [
        period
        for scenario_result in result.scenario_results
        for period in scenario_result.unreachable_periods
    ]
    accepted = [proposal for proposal in result.proposals if proposal.accepted_ms is not None]
    background = accepted[loading_changes(result) :]
    findings = result.findings
    return {
        "config": {
            **asdict(config_figures(background, result.lifetimes, unreachable_periods)),
            "never_in_force": findings.never_in_force,
            "out_of_order": findings.out_of_order,
            "two_versions_after_rest": findings.two_versions_after_rest,
        },
        "scenarios": {
            scenario_result.scenario.name: scenario_of(scenario_result, result)
            for scenario_result in result.scenario_results
        },
        "zone_start_s": zone_startup_seconds(result),
        "region_heal_s": region_recovery_seconds(result),
        "notes": result.notes,
        "broken_rules": findings.broken_rules,
    }


def queries_of(lifetimes: list[GatewayLifetime]) -> dict[str, int]:
    """Returns the queries of all lightweight gateways' controllers, counted by their outcome."""
    total = Counter()
    for lifetime in lifetimes:
        total.update(
            {counter: number for counter, number in lifetime.counts.items() if counter.startswith("queries")}
        )
    return dict(total)


def loading_changes(result: ScaleRunResult | VirtualRunResult) -> int:
    """Returns the number of changes that list the engines; they come first, before any gateway runs."""
    return -(-result.plan.shape.engines // ENTRIES_PER_CHANGE)


def roles_of(result: ScaleRunResult) -> dict:
    """Returns the cost of one member of each role at the held-out size, as the mean over the windows."""
    roles = {}
    for role in Role:
        costs = [sample.costs[role].of_one() for sample in result.held_out if role in sample.costs]
        if costs:
            roles[role.value] = {
                name: round(sum(getattr(cost, name) for cost in costs) / len(costs), digits)
                for name, digits in COST_DIGITS.items()
            }
    return {"roles": roles}


def sizes_of(result: ScaleRunResult) -> list[dict]:
    """Returns the costs in every window at every size."""
    return [
        {
            "fronts": sample.fronts,
            **{role.value: asdict(cost.of_one()) for role, cost in sample.costs.items()},
        }
        for sample in [*result.samples, *result.held_out]
    ]


def slopes_of(fits: dict[str, Fit], sizes) -> dict:
    """Returns what one more gateway (or engine) costs, and the sizes that were fitted."""
    return {
        name: {
            "value": fitted.slope,
            "low": fitted.low,
            "high": fitted.high,
            "intercept": fitted.intercept,
            "sizes": list(sizes),
        }
        for name, fitted in fits.items()
    }


def predictions_of(outcomes: dict[str, PredictionOutcome]) -> dict:
    """Returns predictions and outcomes at the held-out size."""
    return {
        "predicted": {
            name: {"value": outcome.value, "low": outcome.low, "high": outcome.high}
            for name, outcome in outcomes.items()
        },
        "measured": {name: outcome.measured for name, outcome in outcomes.items()},
        "prediction_holds": {name: outcome.holds for name, outcome in outcomes.items()},
    }


def engine_figures_of(result: EngineSweepResult) -> dict:
    """Returns all figures of a sweep over the number of engines."""
    findings = result.findings
    return {
        "fronts_hollow": GATEWAYS,
        "fronts_real": 0,
        "processes": result.processes,
        "memory_share": round(result.memory_share, 4),
        "load_average": load_average(),
        "held_out": result.samples[-1].engines,
        "engine_sizes": [{"engines": sample.engines, **sample.metrics} for sample in result.samples],
        "slopes": slopes_of(result.fits, [sample.engines for sample in result.samples[:-1]]),
        **predictions_of(result.outcomes),
        "never_in_force": findings.never_in_force,
        "out_of_order": findings.out_of_order,
        "two_versions_after_rest": findings.two_versions_after_rest,
        "notes": result.notes,
        "broken_rules": findings.broken_rules,
    }


def load_average() -> list[float]:
    """Returns the machine's load average over 1, 5 and 15 minutes."""
    return [round(load, 1) for load in os.getloadavg()]


def scenario_of(scenario_result, result: ScaleRunResult | VirtualRunResult) -> dict:
    """Returns the figures of the changes that were proposed during a scenario."""
    during = [
        proposal
        for proposal in result.proposals
        if proposal.accepted_ms is not None
        and scenario_result.started_at_ms <= proposal.proposed_ms < scenario_result.ended_ms
    ]
    return {
        **asdict(config_figures(during, result.lifetimes, scenario_result.unreachable_periods)),
        "seconds": scenario_result.scenario.seconds,
        "compressed": scenario_result.scenario.time_compression,
        "done": scenario_result.done,
        "settled": scenario_result.settled,
        "heal_s": recovery_seconds_of(scenario_result, result),
        "start_s": startup_seconds_of(scenario_result, result),
    }


def recovery_seconds_of(scenario_result, result: ScaleRunResult | VirtualRunResult) -> float | None:
    """Returns the seconds from the end of the impairment until all gateways that were unreachable had the
    newest version of that moment.
    """
    if scenario_result.recovered_ms is None:
        return None
    names = frozenset().union(*(period.names for period in scenario_result.unreachable_periods))
    return recovery_seconds(
        result.lifetimes, names, scenario_result.recovered_ms, scenario_result.version_at_recovery
    )


def startup_seconds_of(scenario_result, result: ScaleRunResult | VirtualRunResult) -> float | None:
    """Returns the seconds from the last restart of gateways until all of them had the newest version of that
    moment.
    """
    if scenario_result.restarted_ms is None:
        return None
    return startup_seconds(
        result.lifetimes,
        scenario_result.restarted,
        scenario_result.restarted_ms,
        scenario_result.version_at_restart,
    )


def zone_startup_seconds(result: ScaleRunResult | VirtualRunResult) -> float | None:
    """Returns the startup time in the scenario "zone start"."""
    return next(
        (
            startup_seconds_of(scenario_result, result)
            for scenario_result in result.scenario_results
            if scenario_result.scenario.name == "zone start"
        ),
        None,
    )


def region_recovery_seconds(result: ScaleRunResult | VirtualRunResult) -> float | None:
    """Returns the recovery time in the scenario "region cut"."""
    return next(
        (
            recovery_seconds_of(scenario_result, result)
            for scenario_result in result.scenario_results
            if scenario_result.scenario.name == "region cut"
        ),
        None,
    )

"""Executes a scale run: measures sizes, predicts the held-out one, runs scenarios, and audits the records."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lichenquay.testbed.scale.audit import Findings, audit
from lichenquay.testbed.scale.plans import Plan
from lichenquay.testbed.scale.real_gateways import RealGateway, RealGateways
from lichenquay.testbed.scale.roles import costs_between
from lichenquay.testbed.scale.scenario_runner import ScenarioResult
from lichenquay.testbed.scale.slopes import (
    PredictionOutcome,
    SizeSample,
    fits_of,
    outcomes_of,
    predictions_of,
)
from lichenquay.testbed.scale.world_driver import WorldDriver

MIN_LOAD_S = 2.0  # Minimum duration of the load on real gateways.
START_S = 6.0  # Approximate start time of the processes, for the progress bar.


@dataclass
class ScaleRunResult:
    """Holds the results of a run, from which its figures are computed."""

    plan: Plan
    samples: list[SizeSample] = field(default_factory=list)
    held_out: list[SizeSample] = field(default_factory=list)
    fits: dict = field(default_factory=dict)
    outcomes: dict[str, PredictionOutcome] = field(default_factory=dict)
    scenario_results: list[ScenarioResult] = field(default_factory=list)
    proposals: list = field(default_factory=list)
    lifetimes: list = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    real_fronts: list[RealGateway] = field(default_factory=list)
    processes: int = 0
    memory_share: float = 0.0
    notes: list[str] = field(default_factory=list)


class Runner:
    """Executes one run. `progress` receives the completed share, 0 to 1."""

    def __init__(self, plan: Plan, folder: Path, progress: Callable[[float], None] = lambda share: None):
        """`folder`: for the files of the processes."""
        self.plan, self.progress, self.folder = plan, progress, Path(folder)
        self.driver = WorldDriver(plan.shape, folder, plan.settle_timeout_s)
        self.result = ScaleRunResult(plan)
        self.done_s = 0.0

    def run(self) -> ScaleRunResult:
        """Executes the run. Raises WorldStartError where a process does not start."""
        with self.driver:
            self.driver.list_engines(0, self.plan.shape.engines)
            self._advance(START_S)
            self.baseline = self.driver.read_usage()
            self._measure_sizes()
            self._run_scenarios_beside_real_gateways()
            self._finish()
        return self.result

    def _run_scenarios_beside_real_gateways(self):
        """Runs the scenarios, with the plan's real gateways under load meanwhile, if it has any."""
        if not self.plan.real_fronts:
            self._run_scenarios()
            return
        driver = self.driver
        seconds = max(MIN_LOAD_S, sum(scenario.seconds for scenario in self.plan.scenarios))
        with RealGateways(
            self.plan.real_fronts, driver.world.spec, self.folder / "real", seconds
        ) as real_gateways:
            self.result.processes += real_gateways.processes
            real_gateways.load()
            self._run_scenarios()
            driver.settle()
            self.result.real_fronts = real_gateways.end()
        newest_version = driver.proposer.newest_version()
        for gateway in self.result.real_fronts:
            if gateway.in_force != newest_version:
                gateway.broken_rules.append(
                    f"{gateway.name}: version {gateway.in_force} in force after the settling time, "
                    f"{newest_version} is the newest"
                )

    def _measure_sizes(self):
        for size in self.plan.sizes:
            self.result.samples += self._measure(size)
        self.result.fits = fits_of(self.result.samples)
        predictions = predictions_of(self.result.fits, self.plan.held_out)
        self.result.held_out = self._measure(self.plan.held_out)
        self.result.outcomes = outcomes_of(predictions, self.result.held_out)

    def _measure(self, size) -> list[SizeSample]:
        if not self.driver.grow_to(size):
            self.result.notes.append(f"at {size} gateways, not all had the newest version when measured")
        time.sleep(self.plan.settle_s)
        samples = [self._window(size) for _ in range(self.plan.windows)]
        self._advance(self.plan.settle_s + self.plan.windows * self.plan.window_s + 1.0)
        return samples

    def _window(self, size) -> SizeSample:
        before, after = self.driver.measure_window(self.plan.window_s, self.plan.changes_per_s)
        return SizeSample(size, costs_between(before, after, self.baseline, self.plan.shape))

    def _run_scenarios(self):
        for scenario in self.plan.scenarios:
            done_s = self.done_s
            scenario_result = self.driver.run_scenario(
                scenario, lambda at_s, done_s=done_s: self._report_progress(done_s + at_s)
            )
            if not scenario_result.settled:
                self.result.notes.append(
                    f"after {scenario.name}, not all gateways had the newest version in time"
                )
            self.result.scenario_results.append(scenario_result)
            self._advance(scenario.seconds + 1.0)

    def _finish(self):
        result, driver = self.result, self.driver
        if not driver.settle():
            result.notes.append(
                f"after {self.plan.settle_timeout_s:g} s, not all gateways had the newest version"
            )
        driver.read_usage()
        result.processes += len(driver.world.children()) + 1
        result.memory_share = driver.memory_share
        result.lifetimes = driver.end()
        result.proposals = driver.proposer.proposals
        result.findings = audit(result.proposals, result.lifetimes, len(driver.world.running))
        result.findings.broken_rules += [
            line for gateway in result.real_fronts for line in gateway.broken_rules
        ]
        self.progress(1.0)

    def _advance(self, seconds):
        self.done_s += seconds
        self._report_progress(self.done_s)

    def _report_progress(self, done_s):
        self.progress(min(1.0, done_s / self.plan.seconds))

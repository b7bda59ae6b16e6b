"""Measures what the number of engines costs a gateway, a relay and a publisher: sizes are fitted, the largest
is held out.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.audit import Findings, audit
from lichenquay.testbed.scale.fit import Fit, FitError, Model, fit
from lichenquay.testbed.scale.latency import startup_seconds
from lichenquay.testbed.scale.roles import Role, costs_between
from lichenquay.testbed.scale.slopes import PredictionOutcome
from lichenquay.testbed.scale.world_driver import WorldDriver

SIZES = (100, 1_000, 3_000, 10_000)
HELD_OUT = 25_000
GATEWAYS = 24
WINDOW_S = 5.0
RESTART_PAUSE_S = 0.5
START_WAIT_S = 3.0
SETTLE_TIMEOUT_S = 90.0


@dataclass
class EngineSample:
    """Holds the measurements at one number of engines. `metrics`: of one member of each role; times are
    seconds.
    """

    engines: int
    metrics: dict[str, float]
    restarted_ms: float
    version: int


@dataclass
class EngineSweepResult:
    """Holds the results of a sweep. The last sample is of the held-out size."""

    samples: list[EngineSample] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)
    outcomes: dict[str, PredictionOutcome] = field(default_factory=dict)
    findings: Findings = field(default_factory=Findings)
    processes: int = 0
    memory_share: float = 0.0
    notes: list[str] = field(default_factory=list)


class EngineSweep:
    """Runs one sweep. `progress` receives the completed share, 0 to 1."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        progress: Callable[[float], None] = lambda share: None,
        sizes: tuple[int, ...] = SIZES,
        held_out: int = HELD_OUT,
    ):
        """Prepares the sweep without starting a process."""
        self.shape = s.Shape(fronts=GATEWAYS, engines=held_out, hosts=1, least_zones=1, seed=seed)
        self.driver = WorldDriver(self.shape, folder, SETTLE_TIMEOUT_S)
        self.progress, self.sizes, self.held_out = progress, sizes, held_out
        self.result = EngineSweepResult()

    def run(self) -> EngineSweepResult:
        """Runs the sweep.

        Raises WorldStartError where a process does not start or engines can't be listed.
        """
        with self.driver:
            self.baseline = self.driver.read_usage()
            self.driver.grow_to(GATEWAYS)
            listed = 0
            for number, size in enumerate((*self.sizes, self.held_out)):
                self.result.samples.append(self._measure(listed, size))
                listed = size
                self.progress((number + 1) / (len(self.sizes) + 1))
            self._finish()
        self._fit()
        return self.result

    def _measure(self, listed, size) -> EngineSample:
        listing_s = self.driver.list_engines(listed, size - listed)
        started_at_s = time.monotonic()
        if not self.driver.settle():
            self.result.notes.append(
                f"{size} engines were not in force everywhere after {SETTLE_TIMEOUT_S:g} s"
            )
        settling_s = time.monotonic() - started_at_s
        before, after = self.driver.measure_window(WINDOW_S, 0.0)
        costs = costs_between(before, after, self.baseline, self.shape)
        metrics = {"listing_s": listing_s, "behind_after_listing_s": settling_s}
        for role in (Role.GATEWAY, Role.RELAY, Role.PUBLISHER):
            if role in costs:
                metrics[f"{role.value}_kb"] = costs[role].of_one().kb
                metrics[f"{role.value}_cpu_share_at_rest"] = costs[role].of_one().cpu_share
        names = tuple(self.shape.gateway_names())
        restart = s.FaultEvent(0.0, s.FaultKind.RESTART_GATEWAYS, names, RESTART_PAUSE_S)
        scenario_result = self.driver.run_scenario(s.Scenario("restart", START_WAIT_S, 0.0, [restart]))
        return EngineSample(size, metrics, scenario_result.restarted_ms, scenario_result.version_at_restart)

    def _finish(self):
        result, driver = self.result, self.driver
        driver.read_usage()
        result.processes, result.memory_share = len(driver.world.children()) + 1, driver.memory_share
        lifetimes = driver.end()
        result.findings = audit(driver.proposer.proposals, lifetimes, len(driver.world.running))
        names = frozenset(self.shape.gateway_names())
        for sample in result.samples:
            seconds = startup_seconds(lifetimes, names, sample.restarted_ms, sample.version)
            if seconds is not None:
                sample.metrics["start_of_all_s"] = seconds

    def _fit(self):
        fitted, held_out = self.result.samples[:-1], self.result.samples[-1]
        for name in fitted[0].metrics:
            points = [(sample.engines, sample.metrics[name]) for sample in fitted if name in sample.metrics]
            try:
                metric_fit = fit([x for x, _ in points], [y for _, y in points], Model.LINEAR)
            except FitError:  # Too few sizes for a fit of this metric.
                continue
            predicted = metric_fit.predict(held_out.engines)
            self.result.fits[name] = metric_fit
            self.result.outcomes[name] = PredictionOutcome(
                predicted.value, predicted.low, predicted.high, held_out.metrics.get(name)
            )

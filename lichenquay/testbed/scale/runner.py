"""A scale run from its start to its end: sizes measured, the held-out one predicted, scenarios played, all
audited.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lichenquay.testbed.scale.audit import Findings, audit
from lichenquay.testbed.scale.plans import Plan
from lichenquay.testbed.scale.real_gateways import RealFront, RealFronts
from lichenquay.testbed.scale.roles import costs_between
from lichenquay.testbed.scale.scenario_runner import Played
from lichenquay.testbed.scale.slopes import Outcome, SizeSample, fits_of, outcomes_of, predictions_of
from lichenquay.testbed.scale.world_driver import Session

MIN_LOAD_S = 2.0  # Of the load on real fronts.
START_S = 6.0  # About how long the processes take to start, for the progress bar.


@dataclass
class Kept:
    """All that a run kept, for its figures."""

    plan: Plan
    samples: list[SizeSample] = field(default_factory=list)
    held_out: list[SizeSample] = field(default_factory=list)
    fits: dict = field(default_factory=dict)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    played: list[Played] = field(default_factory=list)
    proposals: list = field(default_factory=list)
    lives: list = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    real_fronts: list[RealFront] = field(default_factory=list)
    processes: int = 0
    memory_share: float = 0.0
    notes: list[str] = field(default_factory=list)


class Runner:
    """One run. `progress` is told the share that is done."""

    def __init__(self, plan: Plan, folder: Path, progress: Callable[[float], None] = lambda share: None):
        """`folder`: for what the processes keep."""
        self.plan, self.progress, self.folder = plan, progress, Path(folder)
        self.session = Session(plan.shape, folder, plan.rest_s)
        self.kept = Kept(plan)
        self.done_s = 0.0

    def run(self) -> Kept:
        """Runs all of it. Raises CannotStart where a process does not."""
        with self.session:
            self.session.list_engines(0, self.plan.shape.engines)
            self._advance(START_S)
            self.base = self.session.read()
            self._measure_sizes()
            self._play_amid_real_fronts()
            self._end()
        return self.kept

    def _play_amid_real_fronts(self):
        """Real fronts run and are under load while scenarios are played, where the plan has any."""
        if not self.plan.real_fronts:
            self._play_scenarios()
            return
        session = self.session
        seconds = max(MIN_LOAD_S, sum(scenario.seconds for scenario in self.plan.scenarios))
        with RealFronts(self.plan.real_fronts, session.world.spec, self.folder / "real", seconds) as real:
            self.kept.processes += real.processes
            real.load()
            self._play_scenarios()
            session.settle()
            self.kept.real_fronts = real.end()
        newest = session.proposer.newest()
        for front in self.kept.real_fronts:
            if front.in_force != newest:
                line = f"{front.name}: version {front.in_force} in force after rest, {newest} is the newest"
                front.broken_rules.append(line)

    def _measure_sizes(self):
        for size in self.plan.sizes:
            self.kept.samples += self._measure(size)
        self.kept.fits = fits_of(self.kept.samples)
        predictions = predictions_of(self.kept.fits, self.plan.held_out)
        self.kept.held_out = self._measure(self.plan.held_out)
        self.kept.outcomes = outcomes_of(predictions, self.kept.held_out)

    def _measure(self, size) -> list[SizeSample]:
        if not self.session.grow_to(size):
            self.kept.notes.append(f"at {size} fronts not all had the newest version when it was measured")
        time.sleep(self.plan.settle_s)
        samples = [self._window(size) for _ in range(self.plan.windows)]
        self._advance(self.plan.settle_s + self.plan.windows * self.plan.window_s + 1.0)
        return samples

    def _window(self, size) -> SizeSample:
        before, after = self.session.window(self.plan.window_s, self.plan.changes_per_s)
        return SizeSample(size, costs_between(before, after, self.base, self.plan.shape))

    def _play_scenarios(self):
        for scenario in self.plan.scenarios:
            done_s = self.done_s
            played = self.session.play(scenario, lambda at_s, done_s=done_s: self._show(done_s + at_s))
            if not played.settled:
                self.kept.notes.append(f"after {scenario.name} not all had the newest version in time")
            self.kept.played.append(played)
            self._advance(scenario.seconds + 1.0)

    def _end(self):
        kept, session = self.kept, self.session
        if not session.settle():
            kept.notes.append(f"after {self.plan.rest_s:g} s of rest not all had the newest version")
        session.read()
        kept.processes += len(session.world.children()) + 1
        kept.memory_share = session.memory_share
        kept.lives = session.end()
        kept.proposals = session.proposer.proposals
        kept.findings = audit(kept.proposals, kept.lives, len(session.world.running))
        kept.findings.broken_rules += [line for front in kept.real_fronts for line in front.broken_rules]
        self.progress(1.0)

    def _advance(self, seconds):
        self.done_s += seconds
        self._show(self.done_s)

    def _show(self, done_s):
        self.progress(min(1.0, done_s / self.plan.seconds))

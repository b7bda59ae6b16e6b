"""What the number of engines costs a front, a relay and a publisher: sizes fitted, the largest one held
out.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.audit import Findings, audit
from lichenquay.testbed.scale.fit import Fit, FitError, Model, fit
from lichenquay.testbed.scale.latency import start_s
from lichenquay.testbed.scale.roles import Role, costs_between
from lichenquay.testbed.scale.slopes import Outcome
from lichenquay.testbed.scale.world_driver import Session

SIZES = (100, 1_000, 3_000, 10_000)
HELD_OUT = 25_000
FRONTS = 24
WINDOW_S = 5.0
DOWN_S = 0.5
START_WAIT_S = 3.0
REST_S = 90.0


@dataclass
class EngineSample:
    """At one number of engines. `metrics`: of one member of each role; times are seconds."""

    engines: int
    metrics: dict[str, float]
    restarted_ms: float
    version: int


@dataclass
class EngineKept:
    """All that a sweep kept. The last sample is of the size that was held out."""

    samples: list[EngineSample] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    findings: Findings = field(default_factory=Findings)
    processes: int = 0
    memory_share: float = 0.0
    notes: list[str] = field(default_factory=list)


class EngineSweep:
    """One run. `progress` is told the share that is done."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        progress: Callable[[float], None] = lambda share: None,
        sizes: tuple[int, ...] = SIZES,
        held_out: int = HELD_OUT,
    ):
        """Nothing runs yet."""
        self.shape = s.Shape(fronts=FRONTS, engines=held_out, hosts=1, least_zones=1, seed=seed)
        self.session = Session(self.shape, folder, REST_S)
        self.progress, self.sizes, self.held_out = progress, sizes, held_out
        self.kept = EngineKept()

    def run(self) -> EngineKept:
        """Runs all of it. Raises CannotStart where a process does not, or engines can't be listed."""
        with self.session:
            self.base = self.session.read()
            self.session.grow_to(FRONTS)
            listed = 0
            for number, size in enumerate((*self.sizes, self.held_out)):
                self.kept.samples.append(self._measure(listed, size))
                listed = size
                self.progress((number + 1) / (len(self.sizes) + 1))
            self._end()
        self._fit()
        return self.kept

    def _measure(self, listed, size) -> EngineSample:
        listing_s = self.session.list_engines(listed, size - listed)
        begun_s = time.monotonic()
        if not self.session.settle():
            self.kept.notes.append(f"{size} engines were not in force everywhere after {REST_S:g} s")
        behind_s = time.monotonic() - begun_s
        before, after = self.session.window(WINDOW_S, 0.0)
        costs = costs_between(before, after, self.base, self.shape)
        metrics = {"listing_s": listing_s, "behind_after_listing_s": behind_s}
        for role in (Role.FRONT, Role.RELAY, Role.PUBLISHER):
            if role in costs:
                metrics[f"{role.value}_kb"] = costs[role].of_one().kb
                metrics[f"{role.value}_cpu_share_at_rest"] = costs[role].of_one().cpu_share
        names = tuple(self.shape.front_names())
        restart = s.Event(0.0, s.Act.RESTART_FRONTS, names, DOWN_S)
        played = self.session.play(s.Scenario("restart", START_WAIT_S, 0.0, [restart]))
        return EngineSample(size, metrics, played.restarted_ms, played.restarted_version)

    def _end(self):
        kept, session = self.kept, self.session
        session.read()
        kept.processes, kept.memory_share = len(session.world.children()) + 1, session.memory_share
        lives = session.end()
        kept.findings = audit(session.proposer.proposals, lives, len(session.world.running))
        names = frozenset(self.shape.front_names())
        for sample in kept.samples:
            seconds = start_s(lives, names, sample.restarted_ms, sample.version)
            if seconds is not None:
                sample.metrics["start_of_all_s"] = seconds

    def _fit(self):
        fitted, held_out = self.kept.samples[:-1], self.kept.samples[-1]
        for name in fitted[0].metrics:
            points = [(sample.engines, sample.metrics[name]) for sample in fitted if name in sample.metrics]
            try:
                one = fit([x for x, _ in points], [y for _, y in points], Model.LINEAR)
            except FitError:  # Too few sizes: nothing is said of this metric.
                continue
            predicted = one.predict(held_out.engines)
            self.kept.fits[name] = one
            self.kept.outcomes[name] = Outcome(
                predicted.value, predicted.low, predicted.high, held_out.metrics.get(name)
            )

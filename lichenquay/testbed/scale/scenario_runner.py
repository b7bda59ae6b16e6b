"""Runs a scenario's faults in an environment: processes of this machine in real time, or virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lichenquay.testbed.scale.latency import UnreachablePeriod
from lichenquay.testbed.scale.scenario import FaultEvent, FaultKind, Scenario, Shape, Target, gateways_in_zone

SLOW_DISK_MS = 300.0  # Additional time of each fsync.


class ScenarioEnvironment(Protocol):
    """The interface of the world that a scenario runs in. Every fault ends by itself after its duration."""

    shape: Shape
    now_ms: float  # By the clock that the gateways' records use.

    def run(self, seconds: float, progress: Callable[[float], None]) -> None:
        """Runs for `seconds`, and on until all scheduled calls are done."""

    def call_later(self, seconds: float, call: Callable, *arguments) -> None:
        """Schedules a call after `seconds`, while the environment runs."""

    def set_rate(self, per_s: float) -> None:
        """Sets the rate of changes a second that the client proposes."""

    def newest_version(self) -> int:
        """Returns the highest accepted version."""

    def leader(self) -> str:
        """Returns the leading publisher, as far as it is known."""

    def kill(self, name: str, seconds: float) -> None:
        """Kills a control process, and starts it again after `seconds`."""

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a control process for `seconds`."""

    def fail_disk(self, name: str, seconds: float, full: bool, delay_ms: float) -> None:
        """Makes a publisher's disk full or slow for `seconds`."""

    def pause_reading(self, names: list[str], seconds: float) -> None:
        """Makes gateways stop reading their sockets for `seconds`."""

    def impair(self, rules: list) -> None:
        """Replaces the network's impairment rules."""

    def running_among(self, names) -> list[str]:
        """Returns those of the gateways that run."""

    def start_gateways(self, names: list[str]) -> None:
        """Starts gateways, all at once."""

    def stop_gateways(self, names: list[str]) -> None:
        """Ends gateways without notifying anyone."""


@dataclass
class ScenarioResult:
    """Holds what a scenario did, and when. Versions are the highest accepted ones at that time."""

    scenario: Scenario
    started_at_ms: float
    ended_ms: float = 0.0
    done: list[str] = field(default_factory=list)  # One line for each fault.
    unreachable_periods: list[UnreachablePeriod] = field(default_factory=list)
    recovered_ms: float | None = None
    version_at_recovery: int = 0
    restarted: frozenset[str] = frozenset()  # The gateways of the last restart.
    restarted_ms: float | None = None
    version_at_restart: int = 0
    settled: bool = False  # Whether all gateways had the newest version in force at the end.


def no_progress(seconds: float) -> None:
    """Ignores the progress."""


@dataclass
class ScenarioRunner:
    """Runs scenarios one at a time."""

    environment: ScenarioEnvironment

    def run(self, scenario: Scenario, progress: Callable[[float], None] = no_progress) -> ScenarioResult:
        """Runs a scenario to its end, and leaves everything running."""
        self.result = ScenarioResult(scenario, self.environment.now_ms)
        for event in scenario.events:
            self.environment.call_later(event.at_s, self._start_event, event)
        self.environment.set_rate(scenario.changes_per_s)
        self.environment.run(scenario.seconds, progress)
        self.environment.set_rate(0.0)
        self.result.ended_ms = self.environment.now_ms
        return self.result

    def _start_event(self, event: FaultEvent):
        match event.kind:
            case FaultKind.KILL | FaultKind.PAUSE | FaultKind.DISK_FULL | FaultKind.DISK_SLOW:
                for name in self._names_of(event.targets):
                    self._record(event, name)
                    self._disrupt(event, name)
            case FaultKind.RESTART_GATEWAYS:
                self._restart_gateways(event)
            case FaultKind.SLOW_READER:
                self._slow_reader(event)
            case FaultKind.IMPAIR_NETWORK:
                self._impair_network(event)

    def _record(self, event, affected):
        self.result.done.append(f"{event.kind.value}: {affected} for {event.duration_s:g} s")

    def _disrupt(self, event, name):
        match event.kind:
            case FaultKind.KILL:
                self.environment.kill(name, event.duration_s)
            case FaultKind.PAUSE:
                self.environment.pause(name, event.duration_s)
            case FaultKind.DISK_FULL:
                self.environment.fail_disk(name, event.duration_s, True, 0.0)
            case FaultKind.DISK_SLOW:
                self.environment.fail_disk(name, event.duration_s, False, SLOW_DISK_MS)

    def _names_of(self, targets) -> list[str]:
        """Returns the targets' names, with LEADER and FOLLOWER resolved at the time of the fault."""
        leader = self.environment.leader()
        names = []
        for target in targets:
            if target == Target.LEADER:
                names.append(leader)
            elif target == Target.FOLLOWER:
                voters = self.environment.shape.publisher_names()
                names.append(next(name for name in voters if name not in (leader, *names)))
            else:
                names.append(target)
        return names

    def _restart_gateways(self, event):
        names = self.environment.running_among(event.targets)
        self._record(event, f"{len(names)} fronts")
        self.environment.stop_gateways(names)
        self.environment.call_later(event.duration_s, self._start_restarted_gateways, names)

    def _start_restarted_gateways(self, names):
        self.result.restarted = frozenset(names)
        self.result.restarted_ms = self.environment.now_ms
        self.result.version_at_restart = self.environment.newest_version()
        self.environment.start_gateways(names)

    def _slow_reader(self, event):
        names = self.environment.running_among(event.targets)
        self._record(event, ", ".join(names))
        self.environment.pause_reading(names, event.duration_s)
        self.environment.call_later(event.duration_s, self._record_recovery, names, self.environment.now_ms)

    def _impair_network(self, event):
        self._record(event, f"{len(event.rules)} rules")
        self.environment.impair(list(event.rules))
        self.environment.call_later(event.duration_s, self._end_impairment, self.environment.now_ms)

    def _end_impairment(self, from_ms):
        self.environment.impair([])
        zones = self.result.scenario.partitioned_zones
        if zones:
            names = [name for zone in zones for name in gateways_in_zone(self.environment.shape, zone)]
            self._record_recovery(names, from_ms)

    def _record_recovery(self, names, from_ms):
        now_ms = self.environment.now_ms
        self.result.recovered_ms, self.result.version_at_recovery = now_ms, self.environment.newest_version()
        self.result.unreachable_periods.append(UnreachablePeriod(frozenset(names), from_ms, now_ms))

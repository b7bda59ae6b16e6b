"""Drives a world of processes and its client, as every run in real time does."""

import time
from collections.abc import Callable
from pathlib import Path

from lichenquay.testbed.scale import engines, measure, record
from lichenquay.testbed.scale.process_environment import ProcessEnvironment
from lichenquay.testbed.scale.proposer import Proposer
from lichenquay.testbed.scale.roles import Reading
from lichenquay.testbed.scale.scenario import Scenario, Shape
from lichenquay.testbed.scale.scenario_runner import ScenarioResult, ScenarioRunner, no_progress
from lichenquay.testbed.scale.world import ScaleWorld
from lichenquay.testbed.world import WorldStartError

LEADER_TIMEOUT_S = 30.0  # Until a publisher must lead.
LISTING_TIMEOUT_S = 180.0  # Until the engines must be listed.
POLL_INTERVAL_S = 0.1
START_BATCH = 200  # Gateways started at once while a world grows; whole zones start in a scenario.
BATCH_INTERVAL_S = 0.25


class WorldDriver:
    """Runs the world and its client as a context. Every wait is bounded."""

    def __init__(self, shape: Shape, folder: Path, settle_timeout_s: float):
        """Prepares the world without starting it. `settle_timeout_s`: the time in which all gateways must
        have one version in force.
        """
        self.shape, self.settle_timeout_s = shape, settle_timeout_s
        self.world = ScaleWorld(shape, Path(folder))
        self.memory_share = 0.0  # The highest reading, as a share of the machine's memory.

    def __enter__(self):
        """Starts the processes and the client. Raises WorldStartError where one does not start."""
        self.world.__enter__()
        try:
            self.proposer = Proposer(self.world.spec, engines.BackgroundChanges(self.shape))
            self.proposer.start()
            self.wait_for(lambda: self.world.leader() is not None, LEADER_TIMEOUT_S, "no publisher leads")
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exception):
        """Ends the client and every process."""
        if hasattr(self, "proposer"):
            self.proposer.close()
        self.world.__exit__(*exception)

    def list_engines(self, first: int, count: int) -> float:
        """Proposes engines, waits until all are accepted, and returns the seconds that this took."""
        started_at_s = time.monotonic()
        for entries in engines.engine_changes(first, count, self.shape):
            self.proposer.propose(entries)
        self.wait_for(self.proposer.is_idle, LISTING_TIMEOUT_S, f"{count} engines could not be listed")
        self.proposer.propose(engines.list_complete_change())  # From here on gateways apply the engines.
        return time.monotonic() - started_at_s

    def grow_to(self, gateways: int) -> bool:
        """Starts gateways until `gateways` run; returns False where some lack the newest version in time."""
        names = self.shape.gateway_names()[len(self.world.running) : gateways]
        for first in range(0, len(names), START_BATCH):
            self.world.start_gateways(names[first : first + START_BATCH])
            time.sleep(BATCH_INTERVAL_S)
        return self.settle()

    def measure_window(self, seconds: float, changes_per_s: float) -> tuple[Reading, Reading]:
        """Returns readings before and after some time. Each window has the same number of changes, so that
        windows are comparable.
        """
        self.proposer.set_rate(changes_per_s)
        before = self.read_usage()
        time.sleep(seconds)
        after = self.read_usage()
        self.proposer.set_rate(0.0)
        return before, after

    def run_scenario(
        self, scenario: Scenario, progress: Callable[[float], None] = no_progress
    ) -> ScenarioResult:
        """Runs a scenario, and waits until every process it ended runs again and has the newest version."""
        result = ScenarioRunner(ProcessEnvironment(self.world, self.proposer)).run(scenario, progress)
        for child in self.world.children():
            child.wait_ready()
        self.world.poll_ready()
        result.settled = self.settle()
        return result

    def settle(self) -> bool:
        """Waits until every change has its outcome and is in force at every gateway; returns False on a
        timeout.
        """
        until = time.monotonic() + self.settle_timeout_s
        while time.monotonic() < until:
            self.world.poll_ready()
            if self.proposer.is_idle() and self.world.settled(self.proposer.newest_version()):
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def read_usage(self) -> Reading:
        """Returns the counters of every process now."""
        reading = Reading(time.monotonic(), self.world.usage())
        kb = sum(process.usage.kb for process in reading.usage)
        self.memory_share = max(self.memory_share, kb / measure.memory_total_kb())
        return reading

    def end(self) -> list[record.GatewayLifetime]:
        """Ends the gateways' processes gracefully, and returns the records of all gateways."""
        self.world.end_hosts()
        return [lifetime for path in self.world.record_paths() for lifetime in record.read(path)]

    def wait_for(self, condition, seconds: float, failure: str):
        """Waits for `condition()`. Raises WorldStartError with the text `failure` on a timeout."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise WorldStartError(f"{failure} within {seconds:g} s")
            time.sleep(POLL_INTERVAL_S)

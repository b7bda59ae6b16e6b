"""A world of processes with its client: what every run in real time does with them."""

import time
from collections.abc import Callable
from pathlib import Path

from lichenquay.testbed.scale import engines, measure, record
from lichenquay.testbed.scale.player import ScenarioResult, ScenarioRunner, no_progress
from lichenquay.testbed.scale.proposer import Proposer
from lichenquay.testbed.scale.real_stage import ProcessEnvironment
from lichenquay.testbed.scale.roles import Reading
from lichenquay.testbed.scale.scenario import Scenario, Shape
from lichenquay.testbed.scale.world import World
from lichenquay.testbed.world import CannotStart

LEADER_S = 30.0  # In which a publisher must lead.
LOAD_S = 180.0  # In which the engines must be listed.
POLL_S = 0.1
START_BATCH = 200  # Fronts that are started at once while a world grows; a zone's start is a scenario.
BATCH_S = 0.25


class WorldDriver:
    """A context. Every wait has an end."""

    def __init__(self, shape: Shape, folder: Path, settle_timeout_s: float):
        """`rest_s`: in which all fronts must come to hold one version. Nothing runs yet."""
        self.shape, self.settle_timeout_s = shape, settle_timeout_s
        self.world = World(shape, Path(folder))
        self.memory_share = 0.0  # Of the machine, the highest that was read.

    def __enter__(self):
        """Starts the processes and the client. Raises CannotStart where one does not."""
        self.world.__enter__()
        try:
            self.proposer = Proposer(self.world.spec, engines.BackgroundChanges(self.shape))
            self.proposer.start()
            self.wait_for(lambda: self.world.leader() is not None, LEADER_S, "no publisher leads")
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
        """Proposes engines, and waits until all are accepted; the seconds that it took."""
        started_at_s = time.monotonic()
        for entries in engines.engine_changes(first, count, self.shape):
            self.proposer.propose(entries)
        self.wait_for(self.proposer.is_idle, LOAD_S, f"{count} engines could not be listed")
        self.proposer.propose(engines.list_complete_change())  # Fronts take engines from here on.
        return time.monotonic() - started_at_s

    def grow_to(self, gateways: int) -> bool:
        """Starts fronts until so many run; False: not all came to hold the newest version in time."""
        names = self.shape.gateway_names()[len(self.world.running) : gateways]
        for first in range(0, len(names), START_BATCH):
            self.world.start_gateways(names[first : first + START_BATCH])
            time.sleep(BATCH_S)
        return self.settle()

    def window(self, seconds: float, changes_per_s: float) -> tuple[Reading, Reading]:
        """Readings before and after some time. Each window has the same number of changes, to be compared."""
        self.proposer.set_rate(changes_per_s)
        before = self.read()
        time.sleep(seconds)
        after = self.read()
        self.proposer.set_rate(0.0)
        return before, after

    def run_scenario(
        self, scenario: Scenario, progress: Callable[[float], None] = no_progress
    ) -> ScenarioResult:
        """Plays a scenario, and waits until all that it ended runs and holds the newest version."""
        result = ScenarioRunner(ProcessEnvironment(self.world, self.proposer)).run(scenario, progress)
        for child in self.world.children():
            child.wait_ready()
        self.world.poll_ready()
        result.settled = self.settle()
        return result

    def settle(self) -> bool:
        """Waits until every change has its outcome and is in force at every front; False: not in time."""
        until = time.monotonic() + self.settle_timeout_s
        while time.monotonic() < until:
            self.world.poll_ready()
            if self.proposer.is_idle() and self.world.settled(self.proposer.newest_version()):
                return True
            time.sleep(POLL_S)
        return False

    def read(self) -> Reading:
        """The counters of every process now."""
        reading = Reading(time.monotonic(), self.world.usage())
        kb = sum(one.usage.kb for one in reading.usage)
        self.memory_share = max(self.memory_share, kb / measure.memory_total_kb())
        return reading

    def end(self) -> list[record.GatewayLifetime]:
        """Ends the fronts' processes in order; the records of all fronts."""
        self.world.end_hosts()
        return [lifetime for path in self.world.record_paths() for lifetime in record.read(path)]

    def wait_for(self, condition, seconds: float, failure: str):
        """Raises CannotStart, which says `otherwise`, where it is not so in time."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotStart(f"{failure} within {seconds:g} s")
            time.sleep(POLL_S)

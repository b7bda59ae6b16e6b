"""A world of processes with its client: what every run in real time does with them."""

import time
from collections.abc import Callable
from pathlib import Path

from lichenquay.testbed.scale import engines, measure, record
from lichenquay.testbed.scale.process_environment import RealStage
from lichenquay.testbed.scale.proposer import Proposer
from lichenquay.testbed.scale.roles import Reading
from lichenquay.testbed.scale.scenario import Scenario, Shape
from lichenquay.testbed.scale.scenario_runner import Played, Player, ignore
from lichenquay.testbed.scale.world import World
from lichenquay.testbed.world import CannotStart

LEADER_S = 30.0  # In which a publisher must lead.
LOAD_S = 180.0  # In which the engines must be listed.
POLL_S = 0.1
START_BATCH = 200  # Fronts that are started at once while a world grows; a zone's start is a scenario.
BATCH_S = 0.25


class Session:
    """A context. Every wait has an end."""

    def __init__(self, shape: Shape, folder: Path, rest_s: float):
        """`rest_s`: in which all fronts must come to hold one version. Nothing runs yet."""
        self.shape, self.rest_s = shape, rest_s
        self.world = World(shape, Path(folder))
        self.memory_share = 0.0  # Of the machine, the highest that was read.

    def __enter__(self):
        """Starts the processes and the client. Raises CannotStart where one does not."""
        self.world.__enter__()
        try:
            self.proposer = Proposer(self.world.spec, engines.TrickleEntries(self.shape))
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
        begun_s = time.monotonic()
        for entries in engines.engine_changes(first, count, self.shape):
            self.proposer.propose(entries)
        self.wait_for(self.proposer.is_idle, LOAD_S, f"{count} engines could not be listed")
        self.proposer.propose(engines.all_listed())  # Fronts take engines from here on.
        return time.monotonic() - begun_s

    def grow_to(self, fronts: int) -> bool:
        """Starts fronts until so many run; False: not all came to hold the newest version in time."""
        names = self.shape.front_names()[len(self.world.running) : fronts]
        for first in range(0, len(names), START_BATCH):
            self.world.start_fronts(names[first : first + START_BATCH])
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

    def play(self, scenario: Scenario, progress: Callable[[float], None] = ignore) -> Played:
        """Plays a scenario, and waits until all that it ended runs and holds the newest version."""
        played = Player(RealStage(self.world, self.proposer)).play(scenario, progress)
        for child in self.world.children():
            child.wait_ready()
        self.world.look_ready()
        played.settled = self.settle()
        return played

    def settle(self) -> bool:
        """Waits until every change has its outcome and is in force at every front; False: not in time."""
        until = time.monotonic() + self.rest_s
        while time.monotonic() < until:
            self.world.look_ready()
            if self.proposer.is_idle() and self.world.settled(self.proposer.newest()):
                return True
            time.sleep(POLL_S)
        return False

    def read(self) -> Reading:
        """The counters of every process now."""
        reading = Reading(time.monotonic(), self.world.usage())
        kb = sum(one.usage.kb for one in reading.usage)
        self.memory_share = max(self.memory_share, kb / measure.memory_total_kb())
        return reading

    def end(self) -> list[record.Life]:
        """Ends the fronts' processes in order; the records of all fronts."""
        self.world.end_hosts()
        return [life for path in self.world.record_paths() for life in record.read(path)]

    def wait_for(self, is_so, seconds: float, otherwise: str):
        """Raises CannotStart, which says `otherwise`, where it is not so in time."""
        until = time.monotonic() + seconds
        while not is_so():
            if time.monotonic() > until:
                raise CannotStart(f"{otherwise} within {seconds:g} s")
            time.sleep(POLL_S)

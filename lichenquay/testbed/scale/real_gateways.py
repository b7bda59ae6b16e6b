"""Real fronts beside the hollow ones: they follow the same relays, amid emulated engines and under load."""

import re
import signal
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.report import build_report
from lichenquay.load.run import Workers
from lichenquay.testbed.audit import audit, read_ledger
from lichenquay.testbed.scale import measure
from lichenquay.testbed.scale.settings_files import address_text, front_settings
from lichenquay.testbed.scale.world import free_addresses
from lichenquay.testbed.scale.world_spec import WorldSpec
from lichenquay.testbed.world import World

RATE = 30.0  # Queries a second at each front.
WORKERS_OF_FRONT = 1
TELL_S = 5.0  # In which a front tells what it has in force.
LOAD_END_S = 60.0  # After its last query, in which a load has to end.
REPORTED = ("asked", "finished", "deferred", "killed", "silent", "twice", "p99_ms", "void", "why_void")
IN_FORCE = re.compile(r"distribution version (\d+) in force (\d+)")


class FollowingWorld(World):
    """A world whose fronts follow distributed configuration."""

    def __init__(self, lab, out, spec: WorldSpec):
        """`spec`: of the relays."""
        super().__init__(lab, out)
        self.spec = spec
        self.listens = free_addresses([f"real{i}" for i in range(lab.front.count)])

    def settings_of_front(self, i):
        """With relays, a zone in turn, a socket of its own, and the engines of its own world."""
        following = front_settings(self.spec)
        zones = self.spec.shape.zones
        following.name, following.zone = f"real{i}", zones[i % len(zones)]
        following.listen = address_text(self.listens[following.name])
        following.engines = False  # those of the list stand for others; its own are real
        return pb.Settings(distribution=following)


@dataclass
class RealFront:
    """What one real front did. `in_force`: its version at the end, None where it did not tell."""

    name: str
    in_force: int | None = None
    cpu_share: float = 0.0  # Under load, its ordinary work included.
    peak_mb: float = 0.0
    exit_code: int | None = None
    report: dict = field(default_factory=dict)
    broken_rules: list[str] = field(default_factory=list)


class RealFronts:
    """A context: the engines and fronts run; `load` begins the queries, `end` waits for them."""

    def __init__(self, count: int, spec: WorldSpec, out: Path, seconds: float):
        """`seconds`: of the load."""
        seed = spec.shape.seed
        text = f"seed: {seed} load {{ seconds: {seconds} rate: {RATE} }} front {{ count: {count} }}"
        self.lab = read_testbed(text)
        self.lab.load.workers = WORKERS_OF_FRONT
        self.out, self.seconds = Path(out), seconds
        self.world = FollowingWorld(self.lab, self.out, spec)
        self.fronts = [RealFront(f"real{i}") for i in range(count)]
        self.kept: dict[int, object] = {}

    def __enter__(self):
        """Starts engines and fronts, and connects the load. Raises CannotStart, RunError."""
        self.world.__enter__()
        try:
            self.workers = [
                Workers(self.lab, address, self.out / f"load-{i}", run=i)
                for i, address in enumerate(self.world.addresses)
            ]
            for workers in self.workers:
                workers.start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exception):
        """Ends all of it."""
        for workers in getattr(self, "workers", ()):
            workers.close()
        self.world.__exit__(*exception)

    @property
    def processes(self) -> int:
        """Emulator, fronts and load."""
        return 1 + len(self.fronts) * (1 + WORKERS_OF_FRONT)

    def load(self):
        """Begins the queries; they go on by themselves."""
        self.world.start_script()
        self.begun_s = time.monotonic()
        self.cpu_before_s = [measure.usage_of(front.pid).cpu_s for front in self.world.fronts]
        self.threads = [
            threading.Thread(target=self._go, args=(i,), daemon=True) for i in range(len(self.workers))
        ]
        for thread in self.threads:
            thread.start()

    def end(self) -> list[RealFront]:
        """Waits for the load, asks each front what it has in force, and ends it in order."""
        until = self.begun_s + self.seconds + LOAD_END_S
        for thread in self.threads:
            thread.join(max(0.1, until - time.monotonic()))
        seconds = time.monotonic() - self.begun_s
        for i, front in enumerate(self.fronts):
            used_s = measure.usage_of(self.world.fronts[i].pid).cpu_s - self.cpu_before_s[i]
            front.cpu_share = round(used_s / seconds, 4)
            front.peak_mb = round(self.world.peak_mb(i), 1)
            front.in_force = self._in_force(i)
            front.exit_code = self.world.leave(i)
        self._judge()
        return self.fronts

    def _go(self, i):
        self.kept[i] = self.workers[i].run()

    def _in_force(self, i) -> int | None:
        """By SIGUSR1, in the front's log."""
        log = self.out / f"front-{i}.log"
        known = len(log.read_text())
        self.world.fronts[i].send_signal(signal.SIGUSR1)
        until = time.monotonic() + TELL_S
        while time.monotonic() < until:
            told = IN_FORCE.search(log.read_text()[known:])
            if told is not None:
                return int(told[2])
            time.sleep(0.05)
        return None

    def _judge(self):
        """By the laboratory's own audit, where one front alone uses the engines whose ledger it is."""
        for i, front in enumerate(self.fronts):
            if i in self.kept:
                front.report = reported(build_report(self.kept[i], self.lab))
                front.broken_rules += breaks_of(front)
            else:
                front.broken_rules.append(f"{front.name}: its load did not end in time")
        if len(self.fronts) == 1 and 0 in self.kept:
            ledger = read_ledger(self.world.ledger)
            for check, number, _ in audit(self.kept[0].columns(), ledger, self.lab):
                self.fronts[0].broken_rules.append(f"{self.fronts[0].name}: {check}: {number}")


def reported(report: dict) -> dict:
    """The part of a load's report that a scale run tells."""
    return {key: report.get(key) for key in REPORTED}


def breaks_of(front: RealFront) -> list[str]:
    """Queries without one answer, and a front that did not end in order."""
    lines = []
    if front.report["silent"] or front.report["twice"]:
        counts = f"{front.report['silent']} queries without an answer, {front.report['twice']} with two"
        lines.append(f"{front.name}: {counts}")
    if front.exit_code != 0:
        lines.append(f"{front.name}: exit code {front.exit_code}")
    return lines

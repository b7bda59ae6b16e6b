"""Real gateways beside the lightweight ones: they follow the same relays, with emulated engines and load."""

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
from lichenquay.testbed.scale.settings_files import address_text, gateway_settings
from lichenquay.testbed.scale.world import free_addresses
from lichenquay.testbed.scale.world_spec import WorldSpec
from lichenquay.testbed.world import World

QUERIES_PER_S = 30.0  # Queries a second at each gateway.
WORKERS_PER_GATEWAY = 1
STATUS_TIMEOUT_S = 5.0  # For a gateway to log its version in force.
LOAD_END_TIMEOUT_S = 60.0  # For a load to end after its last query.
REPORT_FIELDS = ("asked", "finished", "deferred", "killed", "silent", "twice", "p99_ms", "void", "why_void")
IN_FORCE = re.compile(r"distribution version (\d+) in force (\d+)")


class FollowerWorld(World):
    """A world whose gateways follow distributed configuration."""

    def __init__(self, lab, out, spec: WorldSpec):
        """`spec`: the world of the relays."""
        super().__init__(lab, out)
        self.spec = spec
        self.listens = free_addresses([f"real{i}" for i in range(lab.front.count)])

    def gateway_settings(self, i):
        """Returns settings with the relays, a zone in turn, a socket of its own, and the engines of its own
        world.
        """
        following = gateway_settings(self.spec)
        zones = self.spec.shape.zones
        following.name, following.zone = f"real{i}", zones[i % len(zones)]
        following.listen = address_text(self.listens[following.name])
        following.engines = (
            False  # The distributed list is synthetic; this gateway uses its own emulated engines.
        )
        return pb.Settings(distribution=following)


@dataclass
class RealGateway:
    """Holds what one real gateway did. `in_force`: its version at the end, None where it did not
    report one.
    """

    name: str
    in_force: int | None = None
    cpu_share: float = 0.0  # Under load, query processing included.
    peak_mb: float = 0.0
    exit_code: int | None = None
    report: dict = field(default_factory=dict)
    broken_rules: list[str] = field(default_factory=list)


class RealGateways:
    """Runs engines and gateways as a context; `load` starts the queries, `end` waits for them."""

    def __init__(self, count: int, spec: WorldSpec, out: Path, seconds: float):
        """`seconds`: the duration of the load."""
        seed = spec.shape.seed
        text = f"seed: {seed} load {{ seconds: {seconds} rate: {QUERIES_PER_S} }} front {{ count: {count} }}"
        self.lab = read_testbed(text)
        self.lab.load.workers = WORKERS_PER_GATEWAY
        self.out, self.seconds = Path(out), seconds
        self.world = FollowerWorld(self.lab, self.out, spec)
        self.gateways = [RealGateway(f"real{i}") for i in range(count)]
        self.load_results: dict[int, object] = {}

    def __enter__(self):
        """Starts engines and gateways, and connects the load. Raises WorldStartError, RunError."""
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
        """Ends load, gateways and engines."""
        for workers in getattr(self, "workers", ()):
            workers.close()
        self.world.__exit__(*exception)

    @property
    def processes(self) -> int:
        """Returns the number of processes: emulator, gateways and load."""
        return 1 + len(self.gateways) * (1 + WORKERS_PER_GATEWAY)

    def load(self):
        """Starts the queries, which run in the background."""
        self.world.start_script()
        self.started_at_s = time.monotonic()
        self.cpu_before_s = [measure.usage_of(gateway.pid).cpu_s for gateway in self.world.gateways]
        self.threads = [
            threading.Thread(target=self._run_load, args=(i,), daemon=True) for i in range(len(self.workers))
        ]
        for thread in self.threads:
            thread.start()

    def end(self) -> list[RealGateway]:
        """Waits for the load, reads the version in force at each gateway, and shuts it down gracefully."""
        until = self.started_at_s + self.seconds + LOAD_END_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.1, until - time.monotonic()))
        seconds = time.monotonic() - self.started_at_s
        for i, gateway in enumerate(self.gateways):
            used_s = measure.usage_of(self.world.gateways[i].pid).cpu_s - self.cpu_before_s[i]
            gateway.cpu_share = round(used_s / seconds, 4)
            gateway.peak_mb = round(self.world.peak_mb(i), 1)
            gateway.in_force = self._version_in_force(i)
            gateway.exit_code = self.world.leave(i)
        self._check()
        return self.gateways

    def _run_load(self, i):
        self.load_results[i] = self.workers[i].run()

    def _version_in_force(self, i) -> int | None:
        """Returns the version that the gateway writes to its log on SIGUSR1, or None."""
        log = self.out / f"front-{i}.log"
        log_length = len(log.read_text())
        self.world.gateways[i].send_signal(signal.SIGUSR1)
        until = time.monotonic() + STATUS_TIMEOUT_S
        while time.monotonic() < until:
            match = IN_FORCE.search(log.read_text()[log_length:])
            if match is not None:
                return int(match[2])
            time.sleep(0.05)
        return None

    def _check(self):
        """Checks the reports, and runs the test bed's audit where one gateway alone uses the engines of the
        ledger.
        """
        for i, gateway in enumerate(self.gateways):
            if i in self.load_results:
                gateway.report = selected_report(build_report(self.load_results[i], self.lab))
                gateway.broken_rules += broken_rules_of(gateway)
            else:
                gateway.broken_rules.append(f"{gateway.name}: its load did not end in time")
        if len(self.gateways) == 1 and 0 in self.load_results:
            ledger = read_ledger(self.world.ledger)
            for check, number, _ in audit(self.load_results[0].columns(), ledger, self.lab):
                self.gateways[0].broken_rules.append(f"{self.gateways[0].name}: {check}: {number}")


def selected_report(report: dict) -> dict:
    """Returns the part of a load's report that a scale run reports."""
    return {key: report.get(key) for key in REPORT_FIELDS}


def broken_rules_of(gateway: RealGateway) -> list[str]:
    """Returns a line for queries without exactly one answer, and for a gateway that exited with an error."""
    violations = []
    if gateway.report["silent"] or gateway.report["twice"]:
        counts = f"{gateway.report['silent']} queries without an answer, {gateway.report['twice']} with two"
        violations.append(f"{gateway.name}: {counts}")
    if gateway.exit_code != 0:
        violations.append(f"{gateway.name}: exit code {gateway.exit_code}")
    return violations

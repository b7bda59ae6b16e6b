"""A scale run in virtual time: one size, the scenarios, and the same audit as in real time."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lichenquay.testbed.scale import engines
from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.audit import Findings, audit
from lichenquay.testbed.scale.scenario_runner import ScenarioResult, ScenarioRunner
from lichenquay.testbed.scale.virtual_world import VirtualWorld
from lichenquay.testbed.world import WorldStartError

WINDOW_S = 5.0  # Virtual time without faults in which messages are counted.
LEADER_TIMEOUT_MS, LISTING_TIMEOUT_MS, SETTLE_TIMEOUT_MS = 30_000.0, 300_000.0, 60_000.0


@dataclass(frozen=True)
class VirtualPlan:
    """Describes which scenarios a virtual run has. Times are virtual seconds."""

    shape: s.Shape
    scenarios: list[s.Scenario]
    changes_per_s: float = 1.0


@dataclass
class VirtualRunResult:
    """Holds the results of a virtual run, from which its figures are computed."""

    plan: VirtualPlan
    scenario_results: list[ScenarioResult] = field(default_factory=list)
    proposals: list = field(default_factory=list)
    lifetimes: list = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    messages_per_s: dict[str, float] = field(default_factory=dict)  # Sent by one member of each role.
    bytes_per_s: dict[str, float] = field(default_factory=dict)  # Without the envelope.
    virtual_s: float = 0.0
    cpu_s: float = 0.0
    notes: list[str] = field(default_factory=list)


def plan_of(gateways: int, engine_count: int, seed: int) -> VirtualPlan:
    """Returns a plan with the scenarios for which targets are stated, a pause past the lease, and a bad
    network.
    """
    shape = s.Shape(fronts=gateways, engines=engine_count, seed=seed)
    scenarios = [
        s.failover(shape, 20.0, 1.0),
        s.publisher_paused(12.0, 1.0),
        s.zone_start(shape, 8.0, 1.0),
        s.region_cut(shape, 20.0, 1.0),
        s.bad_network(12.0, 1.0),
    ]
    return VirtualPlan(shape, scenarios)


class VirtualRunner:
    """Executes one run. `progress` receives the completed share, 0 to 1."""

    def __init__(self, plan: VirtualPlan, progress: Callable[[float], None] = lambda share: None):
        """Prepares the world without running it."""
        self.plan, self.progress = plan, progress
        self.result = VirtualRunResult(plan)
        self.world = VirtualWorld(plan.shape)

    def run(self) -> VirtualRunResult:
        """Executes the run. Raises WorldStartError where no publisher leads."""
        started_at_s = time.process_time()
        self._prepare()
        self._measure_calm()
        for number, scenario in enumerate(self.plan.scenarios):
            scenario_result = ScenarioRunner(self.world).run(scenario)
            scenario_result.settled = self._wait_settled(scenario.name)
            self.result.scenario_results.append(scenario_result)
            self.progress((number + 1) / len(self.plan.scenarios))
        self.world.end()
        self.result.proposals, self.result.lifetimes = self.world.client.proposals, self.world.lifetimes
        self.result.findings = audit(self.result.proposals, self.result.lifetimes, len(self.world.running))
        self.result.virtual_s = self.world.now_ms / 1000
        self.result.cpu_s = time.process_time() - started_at_s
        return self.result

    def _prepare(self):
        world, shape = self.world, self.plan.shape
        if not world.run_until(lambda: world.holder() is not None, LEADER_TIMEOUT_MS):
            raise WorldStartError("no publisher leads")
        for entries in engines.engine_changes(0, shape.engines, shape):
            world.propose(entries)
        if not world.run_until(lambda: world.client.is_idle, LISTING_TIMEOUT_MS):
            raise WorldStartError("the engines could not be listed")
        world.start_gateways(shape.gateway_names())
        self._wait_settled("the first start")

    def _measure_calm(self):
        world = self.world
        before = {name: (host.sent, host.sent_bytes) for name, host in world.net.hosts.items()}
        scenario_result = ScenarioRunner(world).run(s.calm(WINDOW_S, self.plan.changes_per_s))
        self.result.scenario_results.append(scenario_result)
        scenario_result.settled = self._wait_settled("calm")
        seconds = (world.now_ms - scenario_result.started_at_ms) / 1000
        shape = self.plan.shape
        relays = [name for zone in shape.zones for name in shape.relay_names(zone)]
        roles = {"front": shape.gateway_names(), "relay": relays, "publisher": [world.leader()]}
        for role, names in roles.items():
            hosts = [(world.net.hosts[name], before[name]) for name in names]
            messages = sum(host.sent - sent for host, (sent, _) in hosts)
            size = sum(host.sent_bytes - sent_bytes for host, (_, sent_bytes) in hosts)
            self.result.messages_per_s[role] = round(messages / seconds / len(names), 3)
            self.result.bytes_per_s[role] = round(size / seconds / len(names), 1)

    def _wait_settled(self, stage) -> bool:
        settled = self.world.run_until(self.world.settled, SETTLE_TIMEOUT_MS)
        if not settled:
            self.result.notes.append(
                f"after {stage}, not all gateways had the newest version in {SETTLE_TIMEOUT_MS:g} ms"
            )
        return settled

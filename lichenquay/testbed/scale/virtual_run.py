"""A scale run in virtual time: one size, the scenarios, and the same audit as in real time."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from lichenquay.testbed.scale import engines
from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.audit import Findings, audit
from lichenquay.testbed.scale.scenario_runner import Played, Player
from lichenquay.testbed.scale.virtual_world import VirtualWorld
from lichenquay.testbed.world import CannotStart

WINDOW_S = 5.0  # Virtual, of the calm in which messages are counted.
LEADER_MS, LOAD_MS, SETTLE_MS = 30_000.0, 300_000.0, 60_000.0


@dataclass(frozen=True)
class VirtualPlan:
    """What a virtual run plays. Times are virtual seconds."""

    shape: s.Shape
    scenarios: list[s.Scenario]
    changes_per_s: float = 1.0


@dataclass
class VirtualKept:
    """All that a virtual run kept, for its figures."""

    plan: VirtualPlan
    played: list[Played] = field(default_factory=list)
    proposals: list = field(default_factory=list)
    lives: list = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    messages_per_s: dict[str, float] = field(default_factory=dict)  # Sent by one of each role.
    bytes_per_s: dict[str, float] = field(default_factory=dict)  # Without the envelope.
    virtual_s: float = 0.0
    cpu_s: float = 0.0
    notes: list[str] = field(default_factory=list)


def plan_of(fronts: int, engine_count: int, seed: int) -> VirtualPlan:
    """The scenarios whose aims are stated, and a pause past the lease."""
    shape = s.Shape(fronts=fronts, engines=engine_count, seed=seed)
    scenarios = [
        s.failover(shape, 20.0, 1.0),
        s.publisher_paused(12.0, 1.0),
        s.zone_start(shape, 8.0, 1.0),
        s.region_cut(shape, 20.0, 1.0),
        s.bad_network(12.0, 1.0),
    ]
    return VirtualPlan(shape, scenarios)


class VirtualRunner:
    """One run. `progress` is told the share that is done."""

    def __init__(self, plan: VirtualPlan, progress: Callable[[float], None] = lambda share: None):
        """Nothing runs yet."""
        self.plan, self.progress = plan, progress
        self.kept = VirtualKept(plan)
        self.world = VirtualWorld(plan.shape)

    def run(self) -> VirtualKept:
        """Runs all of it. Raises CannotStart where no publisher leads."""
        begun_s = time.process_time()
        self._prepare()
        self._count_calm()
        for number, scenario in enumerate(self.plan.scenarios):
            played = Player(self.world).play(scenario)
            played.settled = self._settle(scenario.name)
            self.kept.played.append(played)
            self.progress((number + 1) / len(self.plan.scenarios))
        self.world.end()
        self.kept.proposals, self.kept.lives = self.world.client.proposals, self.world.lives
        self.kept.findings = audit(self.kept.proposals, self.kept.lives, len(self.world.running))
        self.kept.virtual_s = self.world.now_ms / 1000
        self.kept.cpu_s = time.process_time() - begun_s
        return self.kept

    def _prepare(self):
        world, shape = self.world, self.plan.shape
        if not world.run_until(lambda: world.holder() is not None, LEADER_MS):
            raise CannotStart("no publisher leads")
        for entries in engines.engine_changes(0, shape.engines, shape):
            world.propose(entries)
        if not world.run_until(lambda: world.client.is_idle, LOAD_MS):
            raise CannotStart("the engines could not be listed")
        world.start_fronts(shape.front_names())
        self._settle("the first start")

    def _count_calm(self):
        world = self.world
        before = {name: (host.sent, host.sent_bytes) for name, host in world.net.hosts.items()}
        played = Player(world).play(s.calm(WINDOW_S, self.plan.changes_per_s))
        self.kept.played.append(played)
        played.settled = self._settle("calm")
        seconds = (world.now_ms - played.begun_ms) / 1000
        shape = self.plan.shape
        relays = [name for zone in shape.zones for name in shape.relay_names(zone)]
        roles = {"front": shape.front_names(), "relay": relays, "publisher": [world.leader()]}
        for role, names in roles.items():
            hosts = [(world.net.hosts[name], before[name]) for name in names]
            messages = sum(host.sent - sent for host, (sent, _) in hosts)
            size = sum(host.sent_bytes - sent_bytes for host, (_, sent_bytes) in hosts)
            self.kept.messages_per_s[role] = round(messages / seconds / len(names), 3)
            self.kept.bytes_per_s[role] = round(size / seconds / len(names), 1)

    def _settle(self, what) -> bool:
        settled = self.world.run_until(self.world.settled, SETTLE_MS)
        if not settled:
            self.kept.notes.append(f"after {what} not all had the newest version in {SETTLE_MS:g} ms")
        return settled

"""What a scale run plays: the shape of its world, and scenarios of timed faults made from a seed.

Everything here is data. Times are seconds from the start of a scenario.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from lichenquay.testbed.scale.impairment import Rule, partition_rules

MAX_GATEWAYS_PER_ZONE = 367  # 4,400 fronts in 12 zones.
RELAYS_PER_ZONE = 2
MAX_REGIONS = 3
VOTERS = 5  # A publisher and one voter more may be down.
CONTROL_ZONE = "control"  # Where the publishers stand, and the client that proposes changes.
FIRST_FAULT_S = 2.0  # Scenarios begin with so much calm.
PAUSE_S = 5.0  # Over the longest lease that is set here.


class FaultKind(StrEnum):
    """What an event does to its targets."""

    KILL = "kill"  # SIGKILL of a control process; started again after `for_s`.
    PAUSE = "pause"  # SIGSTOP for `for_s`.
    DISK_FULL = "disk full"
    DISK_SLOW = "disk slow"
    RESTART_GATEWAYS = "restart fronts"  # Down for `for_s`, then all started at once.
    SLOW_READER = "slow reader"  # A front that does not read its socket for `for_s`.
    IMPAIR_NETWORK = "weather"  # Rules of the network, for `for_s`.


class Target(StrEnum):
    """Targets that are only known while a scenario runs."""

    LEADER = "the publisher that leads"
    FOLLOWER = "a voter that does not lead"


@dataclass(frozen=True)
class Shape:
    """The size of a world. Zones are as full as they get when all `fronts` run."""

    fronts: int
    engines: int = 100
    hosts: int = 2  # Processes that hold hollow fronts.
    voters: int = VOTERS
    relays_of_zone: int = RELAYS_PER_ZONE
    least_zones: int = 2
    queries_per_s: float = 0.0  # At each hollow front, of its controller; 0: fronts without controllers.
    seed: int = 1

    @cached_property
    def zones(self) -> list[str]:
        """Names of the zones that hold fronts and relays."""
        needed = -(-self.fronts // MAX_GATEWAYS_PER_ZONE)
        return [f"z{i}" for i in range(max(self.least_zones, needed))]

    @property
    def largest_zone_size(self) -> int:
        """Fronts of the fullest zone."""
        return -(-self.fronts // len(self.zones))

    def region_of(self, zone: str) -> str:
        """The region of a zone: three regions at most, each a run of zones."""
        regions = min(MAX_REGIONS, len(self.zones))
        return f"r{self.zones.index(zone) * regions // len(self.zones)}"

    def zones_of_region(self, region: str) -> list[str]:
        """Names of the zones of a region."""
        return [zone for zone in self.zones if self.region_of(zone) == region]

    def zone_of(self, number: int) -> str:
        """The zone of a front, by its number: zones fill side by side."""
        return self.zones[number % len(self.zones)]

    def gateway_name(self, number: int) -> str:
        """The name of a front, by its number."""
        return f"{self.zone_of(number)}-f{number}"

    def gateway_names(self) -> list[str]:
        """Names of all fronts that the world may hold."""
        return [self.gateway_name(number) for number in range(self.fronts)]

    def relay_names(self, zone: str) -> list[str]:
        """Names of the relays of a zone."""
        return [f"{zone}-relay{i}" for i in range(self.relays_of_zone)]

    def publisher_names(self) -> list[str]:
        """Names of the voters, each of which may lead."""
        return [f"{CONTROL_ZONE}-p{i}" for i in range(self.voters)]

    def control_names(self) -> list[str]:
        """Names of all control processes."""
        relays = [name for zone in self.zones for name in self.relay_names(zone)]
        return self.publisher_names() + relays


def zone_of_name(name: str) -> str:
    """The zone that a process's name begins with."""
    return name.partition("-")[0]


@dataclass(frozen=True)
class FaultEvent:
    """One fault: what happens to which targets, when, and for how long."""

    at_s: float
    kind: FaultKind
    targets: tuple[str, ...] = ()
    duration_s: float = 0.0
    rules: tuple[Rule, ...] = ()


@dataclass(frozen=True)
class Scenario:
    """Faults over some time, amid changes that are proposed at a steady rate."""

    name: str
    seconds: float
    changes_per_s: float
    events: list[FaultEvent] = field(default_factory=list)
    time_compression: float = 1.0  # By how much time is compressed against an ordinary day.
    cut_zones: tuple[str, ...] = ()  # Whose fronts are out of reach for a while.


def calm(seconds: float, changes_per_s: float) -> Scenario:
    """No faults."""
    return Scenario("calm", seconds, changes_per_s)


def failover(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """The leading publisher, another voter and one relay of each zone are killed at once, and stay down.

    Risk: a leader that is back soon hides how long the others take without it.
    """
    relays = tuple(shape.relay_names(zone)[0] for zone in shape.zones)
    targets = (Target.LEADER, Target.FOLLOWER, *relays)
    kill = FaultEvent(FIRST_FAULT_S, FaultKind.KILL, targets, seconds - FIRST_FAULT_S)
    return Scenario("failover", seconds, changes_per_s, [kill])


def publisher_paused(seconds: float, changes_per_s: float) -> Scenario:
    """The leading publisher stands still for longer than its lease, and goes on."""
    pause = FaultEvent(FIRST_FAULT_S, FaultKind.PAUSE, (Target.LEADER,), PAUSE_S)
    return Scenario("publisher paused", seconds, changes_per_s, [pause])


def disk_faults(seconds: float, changes_per_s: float) -> Scenario:
    """The leading publisher's disk is full; then the disk of another voter is slow."""
    third = seconds / 3
    full = FaultEvent(FIRST_FAULT_S, FaultKind.DISK_FULL, (Target.LEADER,), third)
    slow = FaultEvent(FIRST_FAULT_S + third, FaultKind.DISK_SLOW, (Target.FOLLOWER,), third)
    return Scenario("disk faults", seconds, changes_per_s, [full, slow])


def zone_start(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """All fronts of one zone go down together, and start at once with nothing."""
    gateways = gateways_in_zone(shape, shape.zones[0])
    start = FaultEvent(FIRST_FAULT_S, FaultKind.RESTART_GATEWAYS, gateways, 0.5)
    return Scenario("zone start", seconds, changes_per_s, [start])


def region_cut(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """A region's zones, their relays included, are cut off from all others and come back."""
    zones = shape.zones_of_region(shape.region_of(shape.zones[-1]))
    others = [zone for zone in (CONTROL_ZONE, *shape.zones) if zone not in zones]
    rules = tuple(partition_rules(zones, others))
    cut = FaultEvent(FIRST_FAULT_S, FaultKind.IMPAIR_NETWORK, (), seconds / 2, rules)
    return Scenario("region cut", seconds, changes_per_s, [cut], cut_zones=tuple(zones))


def bad_network(seconds: float, changes_per_s: float) -> Scenario:
    """Loss, delay, doubling and reordering on every link."""
    rule = Rule(loss=0.05, delay_ms=80.0, doubled=0.05)
    impairment = FaultEvent(FIRST_FAULT_S, FaultKind.IMPAIR_NETWORK, (), seconds - 2 * FIRST_FAULT_S, (rule,))
    return Scenario("bad network", seconds, changes_per_s, [impairment])


def slow_reader(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """A front of each zone does not read its socket for most of the time."""
    gateways = tuple(gateways_in_zone(shape, zone)[0] for zone in shape.zones)
    slow = FaultEvent(FIRST_FAULT_S, FaultKind.SLOW_READER, gateways, seconds / 2)
    return Scenario("slow reader", seconds, changes_per_s, [slow])


def rolling_deploy(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Every front is started anew once, in equal groups one after the other."""
    names = shape.gateway_names()
    steps = 10
    between_s = (seconds - 2 * FIRST_FAULT_S) / steps
    events = [
        FaultEvent(
            FIRST_FAULT_S + step * between_s, FaultKind.RESTART_GATEWAYS, tuple(names[step::steps]), 0.3
        )
        for step in range(steps)
    ]
    return Scenario("rolling deploy", seconds, changes_per_s, events)


def rack_lost(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """A quarter of a zone's fronts, one of its relays and one voter go down together."""
    zone = shape.zones[0]
    quarter = gateways_in_zone(shape, zone)[::4]
    down_s = seconds / 2
    events = [
        FaultEvent(FIRST_FAULT_S, FaultKind.KILL, (shape.relay_names(zone)[-1], Target.FOLLOWER), down_s),
        FaultEvent(FIRST_FAULT_S, FaultKind.RESTART_GATEWAYS, quarter, down_s),
    ]
    return Scenario("rack lost", seconds, changes_per_s, events)


def ordinary_day(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """A day's restarts of fronts and relays by chance, compressed into `seconds`."""
    rng = random.Random(f"{shape.seed}/day")
    names = shape.gateway_names()
    last_s = seconds - 2 * FIRST_FAULT_S
    events = []
    for _ in range(max(1, len(names) // 50)):
        at_s = FIRST_FAULT_S + rng.uniform(0.0, last_s)
        events.append(FaultEvent(at_s, FaultKind.RESTART_GATEWAYS, (rng.choice(names),), 0.5))
    relay = rng.choice(shape.relay_names(rng.choice(shape.zones)))
    events.append(FaultEvent(FIRST_FAULT_S + rng.uniform(0.0, last_s / 2), FaultKind.KILL, (relay,), 1.0))
    events.sort(key=lambda event: event.at_s)
    return Scenario("ordinary day", seconds, changes_per_s, events, time_compression=86_400 / seconds)


def gateways_in_zone(shape: Shape, zone: str) -> tuple[str, ...]:
    """Names of the fronts of a zone."""
    return tuple(name for name in shape.gateway_names() if zone_of_name(name) == zone)

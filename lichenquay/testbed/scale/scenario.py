"""The shape of a scale run's world, and scenarios of timed faults made from a seed.

Everything here is data. Times are seconds from the start of a scenario.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from lichenquay.testbed.scale.impairment import Rule, partition_rules

MAX_GATEWAYS_PER_ZONE = 367  # 4,400 gateways in 12 zones.
RELAYS_PER_ZONE = 2
MAX_REGIONS = 3
VOTERS = 5  # Tolerates the failure of a publisher and another voter.
CONTROL_ZONE = "control"  # The zone of the publishers and of the client that proposes changes.
FIRST_FAULT_S = 2.0  # Time without faults at the start of a scenario.
PAUSE_S = 5.0  # Longer than the longest lease set here.


class FaultKind(StrEnum):
    """Names what a fault does to its targets."""

    KILL = "kill"  # SIGKILL of a control process; restarted after `duration_s`.
    PAUSE = "pause"  # SIGSTOP for `duration_s`.
    DISK_FULL = "disk full"
    DISK_SLOW = "disk slow"
    RESTART_GATEWAYS = "restart fronts"  # Stopped for `duration_s`, then all started at once.
    SLOW_READER = "slow reader"  # Gateways that do not read their sockets for `duration_s`.
    IMPAIR_NETWORK = "weather"  # Applies impairment rules for `duration_s`.


class Target(StrEnum):
    """Names targets that are resolved while a scenario runs."""

    LEADER = "the publisher that leads"
    FOLLOWER = "a voter that does not lead"


@dataclass(frozen=True)
class Shape:
    """Describes the size of a world. Zones are as large as they are when all `fronts` run."""

    fronts: int
    engines: int = 100
    hosts: int = 2  # Processes that hold lightweight gateways.
    voters: int = VOTERS
    relays_of_zone: int = RELAYS_PER_ZONE
    least_zones: int = 2
    queries_per_s: float = 0.0  # At each lightweight gateway's controller; 0: no controllers.
    seed: int = 1

    @cached_property
    def zones(self) -> list[str]:
        """Returns the names of the zones that hold gateways and relays."""
        needed = -(-self.fronts // MAX_GATEWAYS_PER_ZONE)
        return [f"z{i}" for i in range(max(self.least_zones, needed))]

    @property
    def largest_zone_size(self) -> int:
        """Returns the number of gateways in the largest zone."""
        return -(-self.fronts // len(self.zones))

    def region_of(self, zone: str) -> str:
        """Returns the region of a zone: at most three regions, each of consecutive zones."""
        regions = min(MAX_REGIONS, len(self.zones))
        return f"r{self.zones.index(zone) * regions // len(self.zones)}"

    def zones_of_region(self, region: str) -> list[str]:
        """Returns the names of the zones of a region."""
        return [zone for zone in self.zones if self.region_of(zone) == region]

    def zone_of(self, number: int) -> str:
        """Returns the zone of a gateway by its number; gateways are assigned to zones in turn."""
        return self.zones[number % len(self.zones)]

    def gateway_name(self, number: int) -> str:
        """Returns the name of a gateway by its number."""
        return f"{self.zone_of(number)}-f{number}"

    def gateway_names(self) -> list[str]:
        """Returns the names of all gateways that the world may hold."""
        return [self.gateway_name(number) for number in range(self.fronts)]

    def relay_names(self, zone: str) -> list[str]:
        """Returns the names of the relays of a zone."""
        return [f"{zone}-relay{i}" for i in range(self.relays_of_zone)]

    def publisher_names(self) -> list[str]:
        """Returns the names of the voters, each of which may lead."""
        return [f"{CONTROL_ZONE}-p{i}" for i in range(self.voters)]

    def control_names(self) -> list[str]:
        """Returns the names of all control processes."""
        relays = [name for zone in self.zones for name in self.relay_names(zone)]
        return self.publisher_names() + relays


def zone_of_name(name: str) -> str:
    """Returns the zone that a process's name starts with."""
    return name.partition("-")[0]


@dataclass(frozen=True)
class FaultEvent:
    """Describes one fault: its kind, its targets, when it starts, and how long it lasts."""

    at_s: float
    kind: FaultKind
    targets: tuple[str, ...] = ()
    duration_s: float = 0.0
    rules: tuple[Rule, ...] = ()


@dataclass(frozen=True)
class Scenario:
    """Describes faults over some time, while changes are proposed at a steady rate."""

    name: str
    seconds: float
    changes_per_s: float
    events: list[FaultEvent] = field(default_factory=list)
    time_compression: float = 1.0  # Factor by which a day is compressed.
    partitioned_zones: tuple[str, ...] = ()  # Zones whose gateways are unreachable for a while.


def calm(seconds: float, changes_per_s: float) -> Scenario:
    """Returns a scenario without faults."""
    return Scenario("calm", seconds, changes_per_s)


def failover(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Kills the leading publisher, another voter and one relay of each zone at once, until the scenario's
    end.

    A leader that returned early would hide how long the others take without it.
    """
    relays = tuple(shape.relay_names(zone)[0] for zone in shape.zones)
    targets = (Target.LEADER, Target.FOLLOWER, *relays)
    failure = FaultEvent(FIRST_FAULT_S, FaultKind.KILL, targets, seconds - FIRST_FAULT_S)
    return Scenario("failover", seconds, changes_per_s, [failure])


def publisher_paused(seconds: float, changes_per_s: float) -> Scenario:
    """Pauses the leading publisher for longer than its lease."""
    pause = FaultEvent(FIRST_FAULT_S, FaultKind.PAUSE, (Target.LEADER,), PAUSE_S)
    return Scenario("publisher paused", seconds, changes_per_s, [pause])


def disk_faults(seconds: float, changes_per_s: float) -> Scenario:
    """Fills the leading publisher's disk, then slows the disk of another voter."""
    third = seconds / 3
    full = FaultEvent(FIRST_FAULT_S, FaultKind.DISK_FULL, (Target.LEADER,), third)
    slow = FaultEvent(FIRST_FAULT_S + third, FaultKind.DISK_SLOW, (Target.FOLLOWER,), third)
    return Scenario("disk faults", seconds, changes_per_s, [full, slow])


def zone_start(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Stops all gateways of one zone together, and starts them at once with no state."""
    gateways = gateways_in_zone(shape, shape.zones[0])
    start = FaultEvent(FIRST_FAULT_S, FaultKind.RESTART_GATEWAYS, gateways, 0.5)
    return Scenario("zone start", seconds, changes_per_s, [start])


def region_cut(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Partitions a region's zones, with their relays, from all others, and heals the partition."""
    zones = shape.zones_of_region(shape.region_of(shape.zones[-1]))
    others = [zone for zone in (CONTROL_ZONE, *shape.zones) if zone not in zones]
    rules = tuple(partition_rules(zones, others))
    partition = FaultEvent(FIRST_FAULT_S, FaultKind.IMPAIR_NETWORK, (), seconds / 2, rules)
    return Scenario("region cut", seconds, changes_per_s, [partition], partitioned_zones=tuple(zones))


def bad_network(seconds: float, changes_per_s: float) -> Scenario:
    """Impairs every link by loss, delay, duplication and reordering."""
    rule = Rule(loss=0.05, delay_ms=80.0, doubled=0.05)
    impairment = FaultEvent(FIRST_FAULT_S, FaultKind.IMPAIR_NETWORK, (), seconds - 2 * FIRST_FAULT_S, (rule,))
    return Scenario("bad network", seconds, changes_per_s, [impairment])


def slow_reader(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Makes one gateway of each zone stop reading its socket for half of the time."""
    gateways = tuple(gateways_in_zone(shape, zone)[0] for zone in shape.zones)
    slow = FaultEvent(FIRST_FAULT_S, FaultKind.SLOW_READER, gateways, seconds / 2)
    return Scenario("slow reader", seconds, changes_per_s, [slow])


def rolling_deploy(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Restarts every gateway once, in equal groups one after the other."""
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
    """Stops a quarter of a zone's gateways, one of its relays and one voter together."""
    zone = shape.zones[0]
    quarter = gateways_in_zone(shape, zone)[::4]
    down_s = seconds / 2
    events = [
        FaultEvent(FIRST_FAULT_S, FaultKind.KILL, (shape.relay_names(zone)[-1], Target.FOLLOWER), down_s),
        FaultEvent(FIRST_FAULT_S, FaultKind.RESTART_GATEWAYS, quarter, down_s),
    ]
    return Scenario("rack lost", seconds, changes_per_s, events)


def ordinary_day(shape: Shape, seconds: float, changes_per_s: float) -> Scenario:
    """Restarts random gateways and a relay, as within a day compressed into `seconds`."""
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
    """Returns the names of the gateways of a zone."""
    return tuple(name for name in shape.gateway_names() if zone_of_name(name) == zone)

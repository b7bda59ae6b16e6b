"""The same decision classes, client, scenarios and audit in virtual time, for sizes that can't run in real
time.

The network is VirtualNetwork's: each message is serialised and parsed, none has an envelope. Virtual time
does not show processor time and socket queues.
"""

import random
from dataclasses import dataclass, field

from lichenquay.control_plane.lease_candidate import LeaseCandidate
from lichenquay.distribution.publisher import group_settings, make_voter
from lichenquay.distribution.relay import Relay
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.fleet.message_envelope import Layer
from lichenquay.fleet.source_ranking import rank_sources
from lichenquay.lease import lease_pb2
from lichenquay.testbed.scale import engines, record
from lichenquay.testbed.scale.client import ProposerClient
from lichenquay.testbed.scale.digest import values_digest
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.scenario import Shape, zone_of_name
from lichenquay.testbed.scale.world_spec import CLIENT, PREFIXES
from lichenquay.testbed.virtual_network import VirtualNetwork

DISK_MS = 2.0  # Time of a voter's write.
LINK_MS = (0.2, 1.0)
DEFAULT_SETTINGS = Settings()
STEP_MS = 100.0  # Interval at which conditions and progress are checked.


class VirtualVoter:
    """Combines a voter's group, publisher and lease candidate as one decision module; `disk` keeps its
    records across restarts.
    """

    def __init__(self, host, shape: Shape, settings: Settings, disk: "Disk"):
        """Campaigns for the lease while it has no holder."""
        self.disk = disk
        self.group, self.publisher = make_voter(
            host.name,
            host.incarnation,
            shape.publisher_names(),
            host.rng,
            group_settings(settings),
            settings,
            host.now_ms(),
            dict(disk.records),
        )
        self.candidate = LeaseCandidate(self.group, host.now_ms())
        self.outbox = []

    @property
    def due_ms(self):
        """Returns when the first of its parts is due."""
        return min(part.due_ms for part in self.parts())

    def tick(self, now_ms):
        """Runs all parts that are due."""
        for part in self.parts():
            if part.due_ms <= now_ms:
                part.tick(now_ms)
        self._gather()

    def parts(self):
        """Returns the parts in production's order."""
        return self.group, self.publisher, self.candidate

    def on_message(self, now_ms, sender, message):
        """Passes a message to the part that handles its type."""
        part = self.group if isinstance(message, lease_pb2.Message) else self.publisher
        part.on_message(now_ms, sender, message)
        self._gather()

    def stored(self, now_ms, number, is_stored):
        """Passes the result of a write to the group."""
        self.group.on_stored(now_ms, number, is_stored)
        self._gather()

    def _gather(self):
        for part in (self.group, self.publisher):
            sent, part.outbox[:] = list(part.outbox), []
            self.outbox += sent


@dataclass
class Disk:
    """Holds the records on a voter's disk, and the disk's faults."""

    records: dict = field(default_factory=dict)
    full: bool = False
    delay_ms: float = DISK_MS


class VirtualWorld:
    """Holds publishers, relays, gateways and the client: a `ScenarioEnvironment` in virtual time."""

    def __init__(self, shape: Shape, settings: Settings = DEFAULT_SETTINGS):
        """Starts control processes and the client, but no gateway. `settings`: of distribution."""
        self.shape, self.settings = shape, settings
        self.net = VirtualNetwork(f"{shape.seed}/virtual")
        self.impairment = Impairment(f"{shape.seed}/virtual")
        self.net.intercept, self.net.after = self._delivery_copies, self._after
        self.disks = {name: Disk() for name in shape.publisher_names()}
        self.relays = relay_locations(shape)
        self.lifetimes: list[record.GatewayLifetime] = []
        self.running: dict[str, record.GatewayLifetime] = {}
        self.last_ms = 0.0  # When the last scheduled call is due.
        rng = random.Random(f"{shape.seed}/proposer")
        self.client = ProposerClient(shape.publisher_names(), rng, engines.BackgroundChanges(shape))
        for name in shape.publisher_names():
            self.net.host(name, self._make_voter)
        for zone in shape.zones:
            for name in shape.relay_names(zone):
                self.net.host(name, self._make_relay)
        self.net.host(CLIENT, lambda host: {Layer.DISTRIBUTION: self.client})

    def run_until(self, condition, timeout_ms: float) -> bool:
        """Runs until `condition()`, for `timeout_ms` at most; returns False on a timeout."""
        until_ms = self.net.now_ms + timeout_ms
        while not condition():
            if self.net.now_ms >= until_ms:
                return False
            self.net.run(min(until_ms, self.net.now_ms + STEP_MS))
        return True

    @property
    def now_ms(self):
        """Returns the virtual time in milliseconds."""
        return self.net.now_ms

    def run(self, seconds, progress):
        """Runs for `seconds` of virtual time, and on until all scheduled calls are done."""
        started_at_ms = self.net.now_ms
        until_ms = started_at_ms + seconds * 1000
        while self.net.now_ms < max(until_ms, self.last_ms):
            self.net.run(self.net.now_ms + STEP_MS)
            progress(min(seconds, (self.net.now_ms - started_at_ms) / 1000))

    def call_later(self, seconds, call, *arguments):
        """Schedules a call in virtual time."""
        at_ms = self.net.now_ms + seconds * 1000
        self.last_ms = max(self.last_ms, at_ms)
        self.net.at(at_ms, call, *arguments)

    def set_rate(self, per_s):
        """Sets the client's rate of changes a second."""
        self.net.call(CLIENT, Layer.DISTRIBUTION, "set_rate", per_s)

    def newest_version(self):
        """Returns the highest version that the client knows to be accepted."""
        return self.client.newest_version()

    def kill(self, name, seconds):
        """Kills a host with all that it has not stored, and starts it again later."""
        self.net.kill(name)
        self.call_later(seconds, self.net.start, name)

    def pause(self, name, seconds):
        """Pauses a host; messages queue meanwhile, as in a socket's buffer."""
        self.net.pause(name, seconds * 1000)

    def fail_disk(self, name, seconds, full, delay_ms):
        """Makes a disk full or slow; the disk outlives the process."""
        disk = self.disks[name]
        disk.full, disk.delay_ms = full, DISK_MS + delay_ms
        self.call_later(seconds, self._restore_disk, disk)

    def pause_reading(self, names, seconds):
        """Pauses the gateways altogether."""
        for name in names:
            self.net.pause(name, seconds * 1000)

    def impair(self, rules):
        """Replaces the rules for every message from now on."""
        self.impairment.rules = rules

    def running_among(self, names):
        """Returns those of the gateways that run."""
        return [name for name in names if name in self.running]

    def leader(self) -> str:
        """Returns the publisher that holds the lease, else the one that the client uses."""
        return self.holder() or self.client.leader

    def holder(self) -> str | None:
        """Returns the publisher that holds the lease, or None."""
        for name in self.shape.publisher_names():
            host = self.net.hosts[name]
            if host.up and not host.paused and host.parts[Layer.DISTRIBUTION].group.holds(host.now_ms()):
                return name
        return None

    def settled(self) -> bool:
        """Whether every change has its outcome, and all gateways have the newest version in force."""
        newest_version = self.client.newest_version()
        return self.client.is_idle and all(
            lifetime.last_version == newest_version for lifetime in self.running.values()
        )

    def propose(self, entries):
        """Proposes a change and runs the client's tick."""
        self.client.propose(entries)
        self.net.call(CLIENT, Layer.DISTRIBUTION, "tick")

    def start_gateways(self, names):
        """Starts those of the gateways that do not run."""
        for name in names:
            if name in self.running:
                continue
            self.running[name] = lifetime = record.GatewayLifetime(name, self.net.now_ms)
            self.lifetimes.append(lifetime)
            if name in self.net.hosts:
                self.net.start(name)
            else:
                self.net.host(name, self._make_front)

    def stop_gateways(self, names):
        """Ends those of the gateways that run, without notifying anyone."""
        for name in names:
            lifetime = self.running.pop(name, None)
            if lifetime is not None:
                lifetime.ended_ms = self.net.now_ms
                self.net.kill(name)

    def end(self):
        """Records the final state of the gateways."""
        for name, lifetime in self.running.items():
            subscriber = self.net.hosts[name].parts[Layer.DISTRIBUTION]
            lifetime.values_digest = values_digest(subscriber.applied_values)
            lifetime.prefixes_wrong = sum(not key.startswith(PREFIXES) for key in subscriber.applied_values)
            lifetime.counts = dict(subscriber.counts)

    def _make_voter(self, host):
        return {Layer.DISTRIBUTION: VirtualVoter(host, self.shape, self.settings, self.disks[host.name])}

    def _make_relay(self, host):
        publishers = self.shape.publisher_names()
        return {Layer.DISTRIBUTION: Relay(host.name, publishers, host.rng, self.settings, host.now_ms())}

    def _make_front(self, host):
        zone = zone_of_name(host.name)
        sources = rank_sources(self.relays, host.name, zone, self.shape.region_of(zone))
        subscriber = Subscriber(
            host.name, sources, list(PREFIXES), host.rng, self.settings, host.now_ms(), accept_all
        )
        return {Layer.DISTRIBUTION: subscriber}

    def _delivery_copies(self, number, source, target, layer, message):
        """Returns the copies to deliver by the impairment rules; None for the network's default delay."""
        if not self.impairment.rules:
            return None
        delays = self.impairment.delays_for(zone_of_name(source), zone_of_name(target))
        return [(target, self.net.rng.uniform(*LINK_MS) + delay_ms, message) for delay_ms in delays]

    def _after(self, host, layer, part):
        lifetime = self.running.get(host.name)
        if lifetime is not None:
            lifetime.record_version(part.applied_version, self.net.now_ms)
        elif isinstance(part, VirtualVoter):
            writes, part.group.store_requests[:] = list(part.group.store_requests), []
            for number, changes in writes:
                self.net.at(
                    self.net.now_ms + part.disk.delay_ms, self._store, host.name, host.life, number, changes
                )

    def _restore_disk(self, disk):
        disk.full, disk.delay_ms = False, DISK_MS

    def _store(self, name, host_life, number, changes):
        """Stores a write's changes; a write of an earlier start is not answered to a later one."""
        disk, host = self.disks[name], self.net.hosts[name]
        if host.life != host_life:
            return
        if not disk.full:
            disk.records.update(changes)
        self.net.call(name, Layer.DISTRIBUTION, "stored", number, not disk.full)


@dataclass(frozen=True)
class RelayLocation:
    """Holds a relay's name, zone and region, as production's ranking requires them."""

    name: str
    zone: str
    region: str


def relay_locations(shape: Shape) -> list[RelayLocation]:
    """Returns the locations of all relays."""
    return [
        RelayLocation(name, zone, shape.region_of(zone))
        for zone in shape.zones
        for name in shape.relay_names(zone)
    ]


def accept_all(now_ms, changed, whole):
    """Accepts every change; a subscriber calls it before it puts changes in force."""
    return None

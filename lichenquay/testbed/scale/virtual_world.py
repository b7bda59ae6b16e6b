"""The same decision classes, client, scenarios and audit in virtual time, for sizes that can't run in real
time.

Networks are FleetNet's: each message is serialised and parsed, none has an envelope. What virtual time does
not show is the processors' time and queues in sockets.
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
from lichenquay.testbed.fleetnet import FleetNet
from lichenquay.testbed.scale import engines, record
from lichenquay.testbed.scale.client import Client
from lichenquay.testbed.scale.digest import values_digest
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.scenario import Shape, zone_of_name
from lichenquay.testbed.scale.world_spec import CLIENT, PREFIXES

DISK_MS = 2.0  # A voter's store.
LINK_MS = (0.2, 1.0)
DEFAULT_SETTINGS = Settings()
STEP_MS = 100.0  # Between two looks at whether all have settled.


class Voter:
    """A voter's group and its publisher as one part; `disk` keeps its records from one start to the next."""

    def __init__(self, host, shape: Shape, settings: Settings, disk: "Disk"):
        """Claims the lease while nobody holds it."""
        self.disk = disk
        self.group, self.publisher = make_voter(
            host.name,
            host.incarnation,
            shape.publisher_names(),
            host.rng,
            group_settings(settings),
            settings,
            host.now_ms(),
            dict(disk.kept),
        )
        self.candidate = LeaseCandidate(self.group, host.now_ms())
        self.outbox = []

    @property
    def due_ms(self):
        """Of whichever is due first."""
        return min(part.due_ms for part in self.parts())

    def tick(self, now_ms):
        """All that are due."""
        for part in self.parts():
            if part.due_ms <= now_ms:
                part.tick(now_ms)
        self._gather()

    def parts(self):
        """As production's voter has them."""
        return self.group, self.publisher, self.candidate

    def on_message(self, now_ms, sender, message):
        """By the kind of message."""
        part = self.group if isinstance(message, lease_pb2.Message) else self.publisher
        part.on_message(now_ms, sender, message)
        self._gather()

    def stored(self, now_ms, number, is_stored):
        """The disk's answer."""
        self.group.on_stored(now_ms, number, is_stored)
        self._gather()

    def _gather(self):
        for part in (self.group, self.publisher):
            sent, part.outbox[:] = list(part.outbox), []
            self.outbox += sent


@dataclass
class Disk:
    """What a voter has on disk, and its faults."""

    kept: dict = field(default_factory=dict)
    full: bool = False
    delay_ms: float = DISK_MS


class VirtualWorld:
    """Publishers, relays, fronts and the client: a `Stage` in virtual time."""

    def __init__(self, shape: Shape, settings: Settings = DEFAULT_SETTINGS):
        """Control processes and the client run; no front yet. `settings`: of distribution."""
        self.shape, self.settings = shape, settings
        self.net = FleetNet(f"{shape.seed}/virtual")
        self.impairment = Impairment(f"{shape.seed}/virtual")
        self.net.meddle, self.net.after = self._fate, self._after
        self.disks = {name: Disk() for name in shape.publisher_names()}
        self.relays = relay_places(shape)
        self.lives: list[record.Life] = []
        self.running: dict[str, record.Life] = {}
        self.last_ms = 0.0  # When the last thing that was put off is due.
        rng = random.Random(f"{shape.seed}/proposer")
        self.client = Client(shape.publisher_names(), rng, engines.TrickleEntries(shape))
        for name in shape.publisher_names():
            self.net.host(name, self._make_voter)
        for zone in shape.zones:
            for name in shape.relay_names(zone):
                self.net.host(name, self._make_relay)
        self.net.host(CLIENT, lambda host: {Layer.DISTRIBUTION: self.client})

    def run_until(self, is_so, most_ms: float) -> bool:
        """Runs until `is_so()`, for `most_ms` at most; False: it was not."""
        until_ms = self.net.now_ms + most_ms
        while not is_so():
            if self.net.now_ms >= until_ms:
                return False
            self.net.run(min(until_ms, self.net.now_ms + STEP_MS))
        return True

    @property
    def now_ms(self):
        """Virtual time."""
        return self.net.now_ms

    def run(self, seconds, progress):
        """Virtual seconds, and until all that was put off is done."""
        begun_ms = self.net.now_ms
        until_ms = begun_ms + seconds * 1000
        while self.net.now_ms < max(until_ms, self.last_ms):
            self.net.run(self.net.now_ms + STEP_MS)
            progress(min(seconds, (self.net.now_ms - begun_ms) / 1000))

    def later(self, seconds, call, *arguments):
        """By virtual time."""
        at_ms = self.net.now_ms + seconds * 1000
        self.last_ms = max(self.last_ms, at_ms)
        self.net.at(at_ms, call, *arguments)

    def set_rate(self, per_s):
        """Of the client."""
        self.net.call(CLIENT, Layer.DISTRIBUTION, "set_rate", per_s)

    def newest(self):
        """By the client."""
        return self.client.newest()

    def kill(self, name, seconds):
        """With all that it has not stored."""
        self.net.kill(name)
        self.later(seconds, self.net.start, name)

    def pause(self, name, seconds):
        """What comes meanwhile waits, as in a socket's buffer."""
        self.net.pause(name, seconds * 1000)

    def fail_disk(self, name, seconds, full, delay_ms):
        """The disk outlives the process."""
        disk = self.disks[name]
        disk.full, disk.delay_ms = full, DISK_MS + delay_ms
        self.later(seconds, self._mend_disk, disk)

    def silence(self, names, seconds):
        """They stand still altogether."""
        for name in names:
            self.net.pause(name, seconds * 1000)

    def impair(self, rules):
        """For every message from now on."""
        self.impairment.rules = rules

    def up(self, names):
        """Those that run."""
        return [name for name in names if name in self.running]

    def leader(self) -> str:
        """The publisher that holds the lease, else whom the client asks."""
        return self.holder() or self.client.leader

    def holder(self) -> str | None:
        """The publisher that holds the lease."""
        for name in self.shape.publisher_names():
            host = self.net.hosts[name]
            if host.up and not host.paused and host.parts[Layer.DISTRIBUTION].group.holds(host.now_ms()):
                return name
        return None

    def settled(self) -> bool:
        """Whether every change has its outcome, and all fronts have the newest version."""
        newest = self.client.newest()
        return self.client.is_idle and all(life.last == newest for life in self.running.values())

    def propose(self, entries):
        """A change of the run's own."""
        self.client.propose(entries)
        self.net.call(CLIENT, Layer.DISTRIBUTION, "tick")

    def start_fronts(self, names):
        """Starts those that do not run."""
        for name in names:
            if name in self.running:
                continue
            self.running[name] = life = record.Life(name, self.net.now_ms)
            self.lives.append(life)
            if name in self.net.hosts:
                self.net.start(name)
            else:
                self.net.host(name, self._make_front)

    def stop_fronts(self, names):
        """Ends those that run, without a word."""
        for name in names:
            life = self.running.pop(name, None)
            if life is not None:
                life.ended_ms = self.net.now_ms
                self.net.kill(name)

    def end(self):
        """Keeps what the fronts hold."""
        for name, life in self.running.items():
            subscriber = self.net.hosts[name].parts[Layer.DISTRIBUTION]
            life.values_digest = values_digest(subscriber.applied_values)
            life.prefixes_wrong = sum(not key.startswith(PREFIXES) for key in subscriber.applied_values)
            life.counts = dict(subscriber.counts)

    def _make_voter(self, host):
        return {Layer.DISTRIBUTION: Voter(host, self.shape, self.settings, self.disks[host.name])}

    def _make_relay(self, host):
        publishers = self.shape.publisher_names()
        return {Layer.DISTRIBUTION: Relay(host.name, publishers, host.rng, self.settings, host.now_ms())}

    def _make_front(self, host):
        zone = zone_of_name(host.name)
        sources = rank_sources(self.relays, host.name, zone, self.shape.region_of(zone))
        subscriber = Subscriber(
            host.name, sources, list(PREFIXES), host.rng, self.settings, host.now_ms(), take_all
        )
        return {Layer.DISTRIBUTION: subscriber}

    def _fate(self, number, source, target, layer, message):
        """The impairment's word for a message; None: FleetNet's own usual delay."""
        if not self.impairment.rules:
            return None
        delays = self.impairment.delays_of(zone_of_name(source), zone_of_name(target))
        return [(target, self.net.rng.uniform(*LINK_MS) + delay_ms, message) for delay_ms in delays]

    def _after(self, host, layer, part):
        life = self.running.get(host.name)
        if life is not None:
            life.step(part.applied_version, self.net.now_ms)
        elif isinstance(part, Voter):
            wanted, part.group.store_requests[:] = list(part.group.store_requests), []
            for number, changes in wanted:
                self.net.at(
                    self.net.now_ms + part.disk.delay_ms, self._store, host.name, host.life, number, changes
                )

    def _mend_disk(self, disk):
        disk.full, disk.delay_ms = False, DISK_MS

    def _store(self, name, life, number, changes):
        """Risk: a store of an earlier life must not be answered to a later one."""
        disk, host = self.disks[name], self.net.hosts[name]
        if host.life != life:
            return
        if not disk.full:
            disk.kept.update(changes)
        self.net.call(name, Layer.DISTRIBUTION, "stored", number, not disk.full)


@dataclass(frozen=True)
class Place:
    """A relay, as production's ranking takes it."""

    name: str
    zone: str
    region: str


def relay_places(shape: Shape) -> list[Place]:
    """All relays."""
    return [
        Place(name, zone, shape.region_of(zone)) for zone in shape.zones for name in shape.relay_names(zone)
    ]


def take_all(now_ms, changed, whole):
    """Puts every change in force."""
    return None

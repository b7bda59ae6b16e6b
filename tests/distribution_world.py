"""A publisher's voters, relays and gateways in virtual time, with an audit of all that they send."""

from dataclasses import replace
from random import Random

from distribution_audit import Audit
from invariants import require

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.publisher import PUBLISHING_KINDS, group_settings, make_voter
from lichenquay.distribution.relay import Relay
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.fleet.message_envelope import MAX_BODY_BYTES, Layer
from lichenquay.lease.lease_pb2 import Message as LeaseMessage
from lichenquay.testbed.fleetnet import FleetNet, Weather

LEASE_MS = 1500.0
VOTERS = ("v1", "v2", "v3")
FIVE_VOTERS = (*VOTERS, "v4", "v5")
DISK_MS = (0.5, 4.0)
DRIFT = 0.02
PAUSED_RETRY_MS = 5
SETTINGS = Settings()


class VoterPart:
    """A voter's process: its lease group, its publisher, its disk."""

    def __init__(self, world, host):
        """Starts."""
        self.world = world
        self.host = host
        lease_settings = group_settings(world.settings, world.lease_ms)
        lease_settings = replace(lease_settings, max_records=world.most_records)
        disk = world.disks.setdefault(host.name, {})
        is_new_disk = not disk and host.name not in world.lost
        self.group, self.publisher = make_voter(
            host.name,
            host.incarnation,
            world.voters,
            host.rng,
            lease_settings,
            world.settings,
            host.now_ms(),
            dict(disk),
            is_new_disk=is_new_disk,
        )
        self.group.leadership.on_event = self._on_lease_event
        self.group.set_candidate(host.now_ms(), True)
        self.outbox = []
        self._flush()

    def _on_lease_event(self, now_ms, event):
        self.publisher.on_lease_event(now_ms, event)
        if event == "holds":
            self.world.audit.on_leader(self.group)

    @property
    def due_ms(self):
        """When to call `tick`."""
        return min(self.group.due_ms, self.publisher.due_ms)

    def tick(self, now_ms):
        """Does what is due."""
        if now_ms >= self.group.due_ms:
            self.group.tick(now_ms)
        if now_ms >= self.publisher.due_ms:
            self.publisher.tick(now_ms)
        self._flush()

    def on_message(self, now_ms, sender, message):
        """Handles a message."""
        part = self.group if isinstance(message, LeaseMessage) else self.publisher
        part.on_message(now_ms, sender, message)
        self._flush()

    def propose(self, now_ms, entries, request, on_outcome):
        """A proposal of a client in this process."""
        self.publisher.propose(now_ms, entries, request, on_outcome)
        self._flush()

    def stored(self, now_ms, number):
        """Handles that the disk has a record."""
        self.group.on_stored(now_ms, number, True)
        self._flush()

    def _flush(self):
        for part in (self.group, self.publisher):
            self.outbox += part.outbox
            part.outbox.clear()
        writes = list(self.group.store_requests)
        self.group.store_requests = []
        for number, changes in writes:
            delay_ms = self.world.net.rng.uniform(*DISK_MS)
            net = self.world.net
            net.at(net.now_ms + delay_ms, self._write, self.host.life, number, changes)

    def _write(self, life, number, changes):
        if self.host.life != life:
            return
        disk = self.world.disks[self.host.name]
        for key, value in changes.items():
            if value is None:
                disk.pop(key, None)
            else:
                disk[key] = value
        self._report_stored(life, number)

    def _report_stored(self, life, number):
        net = self.world.net
        if self.host.life != life:
            return
        if self.host.paused:
            net.at(net.now_ms + PAUSED_RETRY_MS, self._report_stored, life, number)
            return
        net.call(self.host.name, Layer.DISTRIBUTION, "stored", number)


class GatewayPart:
    """A gateway's process: a subscriber whose values the audit compares."""

    def __init__(self, world, host, sources, prefixes):
        """Starts."""
        self.world = world
        self.host = host
        self.fault = None
        self.reports = []
        self.applied = []
        self.subscriber = Subscriber(
            host.name,
            sources,
            prefixes,
            host.rng,
            world.settings,
            host.now_ms(),
            self.apply,
            lambda now_ms, line: self.reports.append(line),
        )
        self.outbox = self.subscriber.outbox

    def apply(self, now_ms, changed, is_whole):
        """Applies everything, or nothing while `fault` is set."""
        if self.fault is not None:
            return self.fault
        self.applied.append((self.subscriber.version, dict(changed), is_whole))
        return None

    @property
    def due_ms(self):
        """When to call `tick`."""
        return self.subscriber.due_ms

    def tick(self, now_ms):
        """Does what is due."""
        self.subscriber.tick(now_ms)

    def on_message(self, now_ms, sender, message):
        """Handles a message."""
        with self.world.audit.around_message(self.host.name, self.subscriber, message):
            self.subscriber.on_message(now_ms, sender, message)
        self.world.audit.check_gateway(self.host, self.subscriber, now_ms)


class RelayPart:
    """A relay's process."""

    def __init__(self, world, host):
        """Starts."""
        self.world = world
        self.host = host
        self.relay = Relay(host.name, world.voters, host.rng, world.settings, host.now_ms())
        self.outbox = self.relay.outbox

    @property
    def due_ms(self):
        """When to call `tick`."""
        return self.relay.due_ms

    def tick(self, now_ms):
        """Does what is due."""
        self.relay.tick(now_ms)

    def on_message(self, now_ms, sender, message):
        """Handles a message."""
        with self.world.audit.around_message(self.host.name, self.relay.subscriber, message):
            self.relay.on_message(now_ms, sender, message)
        self.world.audit.check_relay(self.host, self.relay, now_ms)


class World:
    """`zones` of two relays and `gateways` each; one voter a region, zones spread over the regions."""

    def __init__(
        self,
        seed=0,
        zones=3,
        gateways=2,
        weather=None,
        settings=SETTINGS,
        most_records=1024,
        lease_ms=LEASE_MS,
        voters=VOTERS,
    ):
        """Starts."""
        self.settings = settings
        self.most_records = most_records
        self.disks = {}
        self.lease_ms = lease_ms
        self.voters = voters
        self.lost = set()  # Voters whose folder was lost.
        self.net = FleetNet(seed, weather or Weather())
        self.rng = Random(f"world/{seed}")
        self.audit = Audit()
        self.net.after = self._after
        self.requests = self.longest = 0
        self.relays = []
        self.gateways = []
        self.zones = zones
        for name in voters:
            self._host(name, lambda host: {Layer.DISTRIBUTION: VoterPart(self, host)})
        for zone in range(zones):
            self._zone(zone, gateways)

    def _host(self, name, parts):
        rate = self.rng.uniform(1 - DRIFT, 1 + DRIFT)
        self.net.host(name, parts, rate, self.rng.uniform(0, 1e6))

    def _zone(self, zone, gateways):
        relays = [f"r{zone}{letter}" for letter in "ab"]
        for name in relays:
            self._host(name, lambda host: {Layer.DISTRIBUTION: RelayPart(self, host)})
            self.relays.append(name)
        for number in range(gateways):
            order = relays if number % 2 == 0 else relays[::-1]
            self.add_gateway(f"f{zone}-{number}", order, ["config/", f"engine/z{zone}/"])

    def add_gateway(self, name, sources, prefixes):
        """One more gateway."""
        self._host(name, lambda host: {Layer.DISTRIBUTION: GatewayPart(self, host, sources, prefixes)})
        self.gateways.append(name)
        return self

    def region(self, number):
        """All names of a region: its voter, its zones."""
        zones = [str(zone) for zone in range(self.zones) if zone % len(VOTERS) == number]
        hosts = [name for name in (*self.relays, *self.gateways) if name[1] in zones]
        return [VOTERS[number], *hosts]

    def _after(self, host, layer, part):
        for _, message in part.outbox:
            if isinstance(message, pb.Message):
                size = message.ByteSize()
                self.longest = max(self.longest, size)
                require(size <= MAX_BODY_BYTES, f"{host.name}: a message of {size} bytes: {message}")
                is_published = host.name in self.voters and message.WhichOneof("kind") in PUBLISHING_KINDS
                may_be_sent = not is_published or part.group.holds(host.now_ms())
                require(may_be_sent, f"{host.name} publishes without the lease: {message}")

    # What a test does.

    def part(self, name):
        """The part of a process."""
        return self.net.hosts[name].parts[Layer.DISTRIBUTION]

    def subscriber(self, name):
        """A gateway's or a relay's."""
        part = self.part(name)
        return part.relay.subscriber if isinstance(part, RelayPart) else part.subscriber

    def now(self, name):
        """The clock of a process."""
        return self.net.hosts[name].now_ms()

    def leader(self):
        """The name of the voter that holds the lease, None if there is none."""
        for name in self.voters:
            host = self.net.hosts[name]
            if host.up and not host.paused and self.part(name).group.holds(host.now_ms()):
                return name
        return None

    def run(self, ms, done=None):
        """Runs for some time, or until done()."""
        return self.net.run(self.net.now_ms + ms, done)

    def settle(self, ms=20_000):
        """Runs until there is a leader, and all that run have all that is accepted in force."""
        assert self.run(ms, self.settled), f"not settled after {ms} ms: {self.lagging()}"

    def settled(self):
        """Whether all that run have in force all that is accepted."""
        return self.leader() is not None and not self.lagging()

    def lagging(self):
        """The gateways whose version in force is not the newest, or not confirmed."""
        newest = self.audit.newest
        return [
            name for name in self.gateways if self.net.hosts[name].up and not self._is_current(name, newest)
        ]

    def _is_current(self, name, newest):
        subscriber = self.subscriber(name)
        return self.audit.is_current(subscriber, newest) and not subscriber.is_stale(self.now(name))

    def propose(self, changes, request=None, voter=None, on_outcome=None):
        """Proposes {key: value or None} to the leader or a voter; returns a list of the answers."""
        self.requests += 1
        request = request or self.requests
        voter = voter or self.leader()
        answers = []

        def on_answer(now_ms, proposed):
            answers.append(proposed)
            self.audit.on_answer(proposed, changes, self.net.now_ms)
            if on_outcome is not None:
                on_outcome(proposed)

        if voter is not None:
            entries = [entry_of(key, value) for key, value in changes.items()]
            self.net.call(voter, Layer.DISTRIBUTION, "propose", entries, request, on_answer)
        return answers

    def accept(self, changes, ms=10_000):
        """Proposes until it is accepted; returns its version."""
        until_ms = self.net.now_ms + ms
        self.requests += 1
        request = self.requests
        while self.net.now_ms < until_ms:
            answers = self.propose(changes, request)
            self.run(500, lambda answers=answers: bool(answers))
            if answers and answers[-1].outcome == pb.Proposed.ACCEPTED:
                return answers[-1].version
            assert not answers or answers[-1].outcome == pb.Proposed.UNKNOWN, answers[-1].reason
            self.run(100)
        raise AssertionError(f"not accepted in {ms} ms")


def entry_of(key, value):
    """A proposal's entry."""
    return pb.Entry(key=key, value=value or b"", deleted=value is None)

"""Simulates voters, relays and gateways in virtual time and audits every message that they handle."""

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
from lichenquay.testbed.virtual_network import LinkConditions, VirtualNetwork

LEASE_MS = 1500.0
VOTERS = ("v1", "v2", "v3")
FIVE_VOTERS = (*VOTERS, "v4", "v5")
DISK_WRITE_MS = (0.5, 4.0)
MAX_CLOCK_DRIFT = 0.02
PAUSED_RETRY_MS = 5  # Interval at which the end of a disk write is offered to a paused process.
SETTINGS = Settings()


class VoterProcess:
    """A voter's process: its lease group, publisher and disk."""

    def __init__(self, world, host):
        """Starts the process."""
        self.world = world
        self.host = host
        lease_settings = group_settings(world.settings, world.lease_ms)
        lease_settings = replace(lease_settings, max_records=world.max_records)
        disk = world.disks.setdefault(host.name, {})
        is_new_disk = not disk and host.name not in world.voters_without_data
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
        """Returns the time at which to call `tick` next."""
        return min(self.group.due_ms, self.publisher.due_ms)

    def tick(self, now_ms):
        """Runs due work."""
        if now_ms >= self.group.due_ms:
            self.group.tick(now_ms)
        if now_ms >= self.publisher.due_ms:
            self.publisher.tick(now_ms)
        self._flush()

    def on_message(self, now_ms, sender, message):
        """Handles a message."""
        component = self.group if isinstance(message, LeaseMessage) else self.publisher
        component.on_message(now_ms, sender, message)
        self._flush()

    def propose(self, now_ms, entries, request, on_outcome):
        """Proposes a change, as a client within this process."""
        self.publisher.propose(now_ms, entries, request, on_outcome)
        self._flush()

    def stored(self, now_ms, number):
        """Handles the completion of a disk write."""
        self.group.on_stored(now_ms, number, True)
        self._flush()

    def _flush(self):
        for component in (self.group, self.publisher):
            self.outbox += component.outbox
            component.outbox.clear()
        writes = list(self.group.store_requests)
        self.group.store_requests = []
        for number, changes in writes:
            delay_ms = self.world.net.rng.uniform(*DISK_WRITE_MS)
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


class GatewayProcess:
    """A gateway's process: a subscriber whose values the audit checks."""

    def __init__(self, world, host, sources, prefixes):
        """Starts the process."""
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
        """Records a change as applied; returns `fault` instead while it is set."""
        if self.fault is not None:
            return self.fault
        self.applied.append((self.subscriber.version, dict(changed), is_whole))
        return None

    @property
    def due_ms(self):
        """Returns the time at which to call `tick` next."""
        return self.subscriber.due_ms

    def tick(self, now_ms):
        """Runs due work."""
        self.subscriber.tick(now_ms)

    def on_message(self, now_ms, sender, message):
        """Handles a message."""
        with self.world.audit.around_message(self.host.name, self.subscriber, message):
            self.subscriber.on_message(now_ms, sender, message)
        self.world.audit.check_gateway(self.host, self.subscriber, now_ms)


class RelayProcess:
    """A relay's process."""

    def __init__(self, world, host):
        """Starts the process."""
        self.world = world
        self.host = host
        self.relay = Relay(host.name, world.voters, host.rng, world.settings, host.now_ms())
        self.outbox = self.relay.outbox

    @property
    def due_ms(self):
        """Returns the time at which to call `tick` next."""
        return self.relay.due_ms

    def tick(self, now_ms):
        """Runs due work."""
        self.relay.tick(now_ms)

    def on_message(self, now_ms, sender, message):
        """Handles a message."""
        with self.world.audit.around_message(self.host.name, self.relay.subscriber, message):
            self.relay.on_message(now_ms, sender, message)
        self.world.audit.check_relay(self.host, self.relay, now_ms)


class World:
    """Simulates an installation.

    Each of the `zones` has two relays and `gateways` gateways. Each voter has its own region, and the zones
    are spread over the regions.
    """

    def __init__(
        self,
        seed=0,
        zones=3,
        gateways=2,
        weather=None,
        settings=SETTINGS,
        max_records=1024,
        lease_ms=LEASE_MS,
        voters=VOTERS,
    ):
        """Starts all processes."""
        self.settings = settings
        self.max_records = max_records
        self.disks = {}
        self.lease_ms = lease_ms
        self.voters = voters
        self.voters_without_data = set()  # Voters whose disk was lost.
        self.net = VirtualNetwork(seed, weather or LinkConditions())
        self.rng = Random(f"world/{seed}")
        self.audit = Audit()
        self.net.after = self._check_outbox
        self.last_request = self.longest_message_bytes = 0
        self.relays = []
        self.gateways = []
        self.zones = zones
        for name in voters:
            self._add_host(name, lambda host: {Layer.DISTRIBUTION: VoterProcess(self, host)})
        for zone in range(zones):
            self._add_zone(zone, gateways)

    def _add_host(self, name, parts):
        rate = self.rng.uniform(1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT)
        self.net.host(name, parts, rate, self.rng.uniform(0, 1e6))

    def _add_zone(self, zone, gateways):
        relays = [f"r{zone}{letter}" for letter in "ab"]
        for name in relays:
            self._add_host(name, lambda host: {Layer.DISTRIBUTION: RelayProcess(self, host)})
            self.relays.append(name)
        for number in range(gateways):
            order = relays if number % 2 == 0 else relays[::-1]
            self.add_gateway(f"f{zone}-{number}", order, ["config/", f"engine/z{zone}/"])

    def add_gateway(self, name, sources, prefixes):
        """Adds a gateway; returns the world."""
        self._add_host(name, lambda host: {Layer.DISTRIBUTION: GatewayProcess(self, host, sources, prefixes)})
        self.gateways.append(name)
        return self

    def names_of_region(self, number):
        """Returns the names of a region's processes: its voter, relays and gateways."""
        zones = [str(zone) for zone in range(self.zones) if zone % len(VOTERS) == number]
        hosts = [name for name in (*self.relays, *self.gateways) if name[1] in zones]
        return [VOTERS[number], *hosts]

    def _check_outbox(self, host, layer, process):
        for _, message in process.outbox:
            if isinstance(message, pb.Message):
                size = message.ByteSize()
                self.longest_message_bytes = max(self.longest_message_bytes, size)
                require(size <= MAX_BODY_BYTES, f"{host.name}: a message of {size} bytes: {message}")
                is_published = host.name in self.voters and message.WhichOneof("kind") in PUBLISHING_KINDS
                may_be_sent = not is_published or process.group.holds(host.now_ms())
                require(may_be_sent, f"{host.name} publishes without the lease: {message}")

    # Called by tests.

    def process(self, name):
        """Returns the process of a name."""
        return self.net.hosts[name].parts[Layer.DISTRIBUTION]

    def subscriber(self, name):
        """Returns the subscriber of a gateway or a relay."""
        process = self.process(name)
        return process.relay.subscriber if isinstance(process, RelayProcess) else process.subscriber

    def now(self, name):
        """Returns the time by the clock of a process, in ms."""
        return self.net.hosts[name].now_ms()

    def leader(self):
        """Returns the name of the voter that holds the lease, None if there is none."""
        for name in self.voters:
            host = self.net.hosts[name]
            if host.up and not host.paused and self.process(name).group.holds(host.now_ms()):
                return name
        return None

    def run(self, ms, done=None):
        """Runs for a time in ms, or until done() is true; returns what VirtualNetwork.run does."""
        return self.net.run(self.net.now_ms + ms, done)

    def settle(self, ms=20_000):
        """Runs until `is_settled`, for at most `ms`."""
        assert self.run(ms, self.is_settled), f"not settled after {ms} ms: {self.lagging_gateways()}"

    def is_settled(self):
        """Returns whether there is a leader and all running gateways have all accepted changes in force."""
        return self.leader() is not None and not self.lagging_gateways()

    def lagging_gateways(self):
        """Returns the running gateways that lack an accepted change or whose version may be outdated."""
        newest = self.audit.newest
        return [
            name for name in self.gateways if self.net.hosts[name].up and not self._is_current(name, newest)
        ]

    def _is_current(self, name, newest):
        subscriber = self.subscriber(name)
        return self.audit.is_current(subscriber, newest) and not subscriber.is_stale(self.now(name))

    def propose(self, changes, request=None, voter=None, on_outcome=None):
        """Proposes {key: value or None} to a voter, by default the leader; returns the list of answers.

        The list is filled while the world runs.
        """
        self.last_request += 1
        request = request or self.last_request
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

    def propose_until_accepted(self, changes, ms=10_000):
        """Repeats a proposal until it is accepted, for at most `ms`; returns its version."""
        until_ms = self.net.now_ms + ms
        self.last_request += 1
        request = self.last_request
        while self.net.now_ms < until_ms:
            answers = self.propose(changes, request)
            self.run(500, lambda answers=answers: bool(answers))
            if answers and answers[-1].outcome == pb.Proposed.ACCEPTED:
                return answers[-1].version
            assert not answers or answers[-1].outcome == pb.Proposed.UNKNOWN, answers[-1].reason
            self.run(100)
        raise AssertionError(f"not accepted in {ms} ms")


def entry_of(key, value):
    """Returns the entry of a proposal; with value None it deletes the key."""
    return pb.Entry(key=key, value=value or b"", deleted=value is None)

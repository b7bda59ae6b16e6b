"""Seeded schedules of faults on voters, relays and gateways in virtual time, with a proposing client."""

from dataclasses import replace
from enum import Enum
from random import Random
from typing import NamedTuple

from distribution_world import LEASE_MS, SETTINGS, VOTERS, World

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.testbed.virtual_network import LinkConditions


class FaultKind(Enum):
    """The kinds of faults."""

    KILL = "kill"
    DATA_LOSS = "data loss"
    PAUSE = "pause"
    ISOLATE = "isolate"
    ONE_WAY = "one way"
    REGION_ISOLATION = "region isolation"
    PACKET_LOSS = "packet loss"
    REFUSAL = "refusal"
    PUBLISHER_FAILURE = "publisher failure"


# Kills and pauses are drawn twice as often as the others.
FAULTS = (
    FaultKind.KILL,
    FaultKind.KILL,
    FaultKind.DATA_LOSS,
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.ISOLATE,
    FaultKind.ONE_WAY,
    FaultKind.REGION_ISOLATION,
    FaultKind.PACKET_LOSS,
    FaultKind.REFUSAL,
    FaultKind.PUBLISHER_FAILURE,
)
SETTLE_TIMEOUT_MS = 25_000.0  # From the last fault until all accepted changes are in force everywhere.
KEY_COUNT = 12
IMPAIRMENTS = (
    LinkConditions(),
    LinkConditions(loss=0.05, doubled=0.1, late=0.1, late_ms=3000),
    LinkConditions(loss=0.2, delay_ms=(1, 80), late=0.05),
    LinkConditions(doubled=0.3, late=0.3, late_ms=800),
)
# A short history and a short log, so that snapshots and log compaction occur.
SHORT_HISTORY = replace(
    SETTINGS, most_changes=16, snapshot_bytes_per_s=20_000, most_snapshots=2, delta_bytes=800
)


class AcceptedChange(NamedTuple):
    """An accepted change and the version that the client was answered."""

    version: int
    changes: dict


class Client:
    """Proposes changes, and repeats those whose outcome is in doubt."""

    def __init__(self, world, rng):
        """Starts without proposals."""
        self.world = world
        self.rng = rng
        self.undecided = {}  # request -> changes
        self.accepted = {}  # request -> AcceptedChange

    def propose(self):
        """Proposes a new change or repeats one in doubt; sometimes repeats one that was accepted."""
        rng = self.rng
        if self.undecided and rng.random() < 0.5:
            request = rng.choice(list(self.undecided))
            self._send_proposal(request, self.undecided[request])
        elif self.accepted and rng.random() < 0.1:
            request = rng.choice(list(self.accepted))
            self._send_proposal(request, self.accepted[request].changes)
        else:
            self.world.last_request += 1
            request = self.world.last_request
            self.undecided[request] = self._make_changes()
            self._send_proposal(request, self.undecided[request])

    def _make_changes(self):
        rng = self.rng
        keys = rng.sample(range(KEY_COUNT), rng.choice((1, 1, 2, 3)))
        padding = b"x" * rng.choice((0, 0, 150))
        names = [f"config/k{key}" if key % 2 else f"engine/z{key % 3}/e{key}" for key in keys]
        return {
            name: None if rng.random() < 0.25 else b"%d" % rng.getrandbits(30) + padding for name in names
        }

    def _send_proposal(self, request, changes):
        """Sends a proposal to the leader, or to a random running voter while there is none."""
        world = self.world
        hosts = world.net.hosts
        running = [name for name in VOTERS if hosts[name].up and not hosts[name].paused]
        if running:
            name = world.leader() or self.rng.choice(running)
            world.propose(changes, request, name, lambda answer: self._on_answer(answer, changes))

    def _on_answer(self, answer, changes):
        if answer.outcome == pb.Proposed.UNKNOWN:
            return
        self.undecided.pop(answer.request, None)
        if answer.outcome == pb.Proposed.ACCEPTED:
            change = AcceptedChange(answer.version, changes)
            first = self.accepted.setdefault(answer.request, change).version
            assert first == answer.version, f"request {answer.request}: {first}, then {answer.version}"


def run_fault_schedule(seed, last_ms=20_000, faults=12, zones=3, gateways=2):
    """Runs one schedule and returns its settled world.

    Raises AssertionError, of which InvariantError is one, where an invariant or an expectation fails.
    """
    rng = Random(f"distribution/{seed}")
    has_short_history = seed % 2 == 1
    settings = SHORT_HISTORY if has_short_history else SETTINGS
    world = World(
        seed,
        zones,
        gateways,
        rng.choice(IMPAIRMENTS),
        settings,
        max_records=24 if has_short_history else 1024,
    )
    client = Client(world, rng)
    at_ms = 0.0
    while at_ms < last_ms:
        at_ms += rng.expovariate(1 / rng.choice((30, 300)))
        world.net.at(at_ms, client.propose)
    injector = FaultInjector(world, rng)
    for _ in range(faults):
        world.net.at(rng.uniform(1500, last_ms), injector.inject, rng.choice(FAULTS))
    world.net.run(last_ms)
    end_faults(world)
    world.settle(SETTLE_TIMEOUT_MS)
    world.propose_until_accepted({"config/last": b"%d" % seed})
    world.settle(SETTLE_TIMEOUT_MS)
    return world


def end_faults(world):
    """Ends all faults: starts all processes and restores all links."""
    world.net.reset_links(LinkConditions())
    for name in (*VOTERS, *world.relays, *world.gateways):
        if not world.net.hosts[name].up:
            world.net.start(name)
    for name in world.gateways:
        world.process(name).fault = None


class FaultInjector:
    """Injects faults, and ends each of them after a delay."""

    def __init__(self, world, rng):
        """Starts without faults."""
        self.world = world
        self.net = world.net
        self.rng = rng
        self._actions = {
            FaultKind.KILL: self._kill,
            FaultKind.DATA_LOSS: self._lose_data,
            FaultKind.PAUSE: self._pause,
            FaultKind.ISOLATE: self._isolate,
            FaultKind.ONE_WAY: self._cut_one_way,
            FaultKind.REGION_ISOLATION: self._isolate_region,
            FaultKind.PACKET_LOSS: self._lose_packets,
            FaultKind.REFUSAL: self._refuse,
            FaultKind.PUBLISHER_FAILURE: self._fail_publisher,
        }

    def inject(self, kind):
        """Injects one fault now, on a random process where the kind of fault needs one."""
        names = [*VOTERS, *VOTERS, *self.world.relays, *self.world.gateways]
        self._actions[kind](self.rng.choice(names))

    def _schedule(self, action, *arguments):
        delay_ms = self.rng.choice((50, 900, 2.5 * LEASE_MS))
        self.net.at(self.net.now_ms + delay_ms, action, *arguments)

    def _kill(self, name):
        if self.net.hosts[name].up:
            self.net.kill(name)
            self._schedule(self._start, name)

    def _start(self, name):
        if not self.net.hosts[name].up:
            self.net.start(name)

    def _fail_publisher(self, _name):
        name = self.world.leader()
        if name is None:
            return
        if self.rng.random() < 0.5:
            self._kill(name)
        else:
            self._pause(name)

    def _lose_data(self, name):
        """Kills a voter and deletes its data, but only if all others have theirs, as the design assumes."""
        hosts = self.net.hosts
        others = [other for other in VOTERS if other != name]
        others_have_state = all(
            hosts[other].up and self.world.process(other).group.voter.recovery_nonce is None
            for other in others
        )
        if name in VOTERS and others_have_state and hosts[name].up:
            self.net.kill(name)
            self.world.disks[name] = {}
            self.world.voters_without_data.add(name)
            self._schedule(self._start, name)

    def _pause(self, name):
        self.net.pause(name, self.rng.choice((100, 1200, 2.5 * LEASE_MS)))

    def _isolate(self, name):
        self._partition([name], self._others([name]))

    def _isolate_region(self, _name):
        side = self.world.names_of_region(self.rng.randrange(len(VOTERS)))
        self._partition(side, self._others(side))

    def _others(self, names):
        return [host for host in self.net.hosts if host not in names]

    def _partition(self, side, others):
        self.net.split(side, others)
        self._schedule(self._heal, side, others)

    def _heal(self, side, others):
        self.net.split(side, others, cut=False)

    def _cut_one_way(self, name):
        others = self._others([name])
        sides = ([name], others) if self.rng.random() < 0.5 else (others, [name])
        self.net.between(*sides, cut=True)
        self._schedule(lambda: self.net.between(*sides, cut=False))

    def _lose_packets(self, _name):
        """Makes all links lose 35% of the messages for a while."""
        original = self.net.link_conditions
        self.net.link_conditions = replace(self.net.link_conditions, loss=0.35, doubled=0.1)
        self._schedule(setattr, self.net, "weather", original)

    def _refuse(self, _name):
        """Makes a gateway refuse all changes for a while."""
        name = self.rng.choice(self.world.gateways)
        if self.net.hosts[name].up:
            part = self.world.process(name)
            part.fault = "no room"
            self._schedule(setattr, part, "fault", None)

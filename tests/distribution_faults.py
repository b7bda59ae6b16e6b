"""Seeded schedules of faults on voters, relays and gateways in virtual time, changes proposed all along."""

from dataclasses import replace
from random import Random

from distribution_world import LEASE_MS, SETTINGS, VOTERS, World

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.testbed.fleetnet import Weather

FAULTS = (
    "kill",
    "kill",
    "folder",
    "pause",
    "pause",
    "cut",
    "one_way",
    "region",
    "storm",
    "refuse",
    "publisher",
)
REST_MS = 25_000.0  # After the last fault: all that was accepted is in force everywhere.
KEYS = 12
ROUGH = (
    Weather(),
    Weather(loss=0.05, doubled=0.1, late=0.1, late_ms=3000),
    Weather(loss=0.2, delay_ms=(1, 80), late=0.05),
    Weather(doubled=0.3, late=0.3, late_ms=800),
)
# A short history and a short log, so that snapshots and folds come too.
SMALL = replace(SETTINGS, most_changes=16, snapshot_bytes_per_s=20_000, most_snapshots=2, delta_bytes=800)


class Client:
    """Proposes changes, and goes on asking while one is in doubt."""

    def __init__(self, world, rng):
        """Nothing is asked."""
        self.world = world
        self.rng = rng
        self.open = {}
        self.outcomes = {}
        self.seen = {}  # request -> version answered

    def propose(self):
        """A new change, or one that is in doubt again; sometimes one that has been answered."""
        rng = self.rng
        if self.open and rng.random() < 0.5:
            request = rng.choice(list(self.open))
            self.ask(request, self.open[request])
        elif self.seen and rng.random() < 0.1:
            request = rng.choice(list(self.seen))
            self.ask(request, self.seen[request][1])
        else:
            self.world.requests += 1
            self.open[self.world.requests] = self._change()
            self.ask(self.world.requests, self.open[self.world.requests])

    def _change(self):
        rng = self.rng
        keys = rng.sample(range(KEYS), rng.choice((1, 1, 2, 3)))
        pad = b"x" * rng.choice((0, 0, 150))
        names = [f"config/k{key}" if key % 2 else f"engine/z{key % 3}/e{key}" for key in keys]
        return {name: None if rng.random() < 0.25 else b"%d" % rng.getrandbits(30) + pad for name in names}

    def ask(self, request, changes):
        """Asks whoever may be the leader."""
        world = self.world
        up = [n for n in VOTERS if world.net.hosts[n].up and not world.net.hosts[n].paused]
        if up:
            name = world.holder() or self.rng.choice(up)
            world.propose(changes, request, name, lambda answer: self._answered(answer, changes))

    def _answered(self, answer, changes):
        if answer.outcome == pb.Proposed.UNKNOWN:
            return
        self.open.pop(answer.request, None)
        if answer.outcome == pb.Proposed.ACCEPTED:
            known = self.seen.setdefault(answer.request, (answer.version, changes))
            assert known[0] == answer.version, f"request {answer.request}: {known[0]}, then {answer.version}"


def schedule(seed, last_ms=20_000, faults=12, zones=3, gateways=2):
    """Runs one; gives its world, settled. InvariantError, AssertionError where something does not hold."""
    rng = Random(f"distribution/{seed}")
    small = seed % 2 == 1
    settings = SMALL if small else SETTINGS
    world = World(seed, zones, gateways, rng.choice(ROUGH), settings, most_records=24 if small else 1024)
    client, at = Client(world, rng), 0.0
    while at < last_ms:
        at += rng.expovariate(1 / rng.choice((30, 300)))
        world.net.at(at, client.propose)
    for _ in range(faults):
        world.net.at(rng.uniform(1500, last_ms), Fault(world, rng).happen, rng.choice(FAULTS))
    world.net.run(last_ms)
    mend(world)
    world.settle(REST_MS)
    world.accept({"config/last": b"%d" % seed})
    world.settle(REST_MS)
    return world


def mend(world):
    """The end of all faults: everything runs, links are well."""
    world.net.mend(Weather())
    for name in (*VOTERS, *world.relays, *world.gateways):
        if not world.net.hosts[name].up:
            world.net.start(name)
    for name in world.gateways:
        world.part(name).fault = None


class Fault:
    """One fault, and its end."""

    def __init__(self, world, rng):
        """To happen later."""
        self.world = world
        self.net = world.net
        self.rng = rng

    def happen(self, what):
        """Does it now."""
        names = [*VOTERS, *VOTERS, *self.world.relays, *self.world.gateways]
        getattr(self, f"_{what}")(self.rng.choice(names))

    def _later(self, act, *args):
        self.net.at(self.net.now_ms + self.rng.choice((50, 900, 2.5 * LEASE_MS)), act, *args)

    def _kill(self, name):
        if self.net.hosts[name].up:
            self.net.kill(name)
            self._later(self._start, name)

    def _start(self, name):
        if not self.net.hosts[name].up:
            self.net.start(name)

    def _publisher(self, name):
        name = self.world.holder()
        if name is not None:
            (self._kill if self.rng.random() < 0.5 else self._pause)(name)

    def _folder(self, name):
        """A voter loses its folder, if no other one is without its state: that is what is assumed."""
        others = [n for n in VOTERS if n != name]
        well = all(self.net.hosts[n].up and self.world.part(n).group.voter.birth is None for n in others)
        if name in VOTERS and well and self.net.hosts[name].up:
            self.net.kill(name)
            self.world.disks[name] = {}
            self.world.lost.add(name)
            self._later(self._start, name)

    def _pause(self, name):
        self.net.pause(name, self.rng.choice((100, 1200, 2.5 * LEASE_MS)))

    def _cut(self, name):
        self._split([name], [n for n in self.net.hosts if n != name])

    def _region(self, name):
        side = self.world.region(self.rng.randrange(len(VOTERS)))
        self._split(side, [n for n in self.net.hosts if n not in side])

    def _split(self, side, others):
        self.net.split(side, others)
        self._later(self._heal, side, others)

    def _heal(self, side, others):
        self.net.split(side, others, cut=False)

    def _one_way(self, name):
        others = [n for n in self.net.hosts if n != name]
        sides = ([name], others) if self.rng.random() < 0.5 else (others, [name])
        self.net.between(*sides, cut=True)
        self._later(lambda: self.net.between(*sides, cut=False))

    def _storm(self, name):
        """All links lose a third for a while."""
        before = self.net.weather
        self.net.weather = replace(self.net.weather, loss=0.35, doubled=0.1)
        self._later(setattr, self.net, "weather", before)

    def _refuse(self, name):
        """A gateway that can't apply what comes."""
        name = self.rng.choice(self.world.gateways)
        if self.net.hosts[name].up:
            part = self.world.part(name)
            part.fault = "no room"
            self._later(setattr, part, "fault", None)

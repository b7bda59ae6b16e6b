"""Seeded schedules of faults on a group in virtual time."""

from dataclasses import replace
from random import Random

from invariants import require
from lease_audit import FAST_SETTINGS, NUMBER_BYTES, append_record, holder_of, make_world
from lease_world import DiskMode

# The order of the faults determines the schedule of each seed.
FAULTS = ("kill", "lose_folder", "pause", "cut", "cut_one_way", "disk", "release", "loss", "slow_links")
# From the last fault until a process holds and a record is committed.
MAX_RECOVERY_MS = 15 * FAST_SETTINGS.lease_ms
SMALL_CHUNK_BYTES = 64
VOTERS = "abcde"
OTHERS = "xyz"


def shape_of(seed):
    """Returns the numbers of voters and of other processes, and the record padding, of a schedule."""
    return {"voters": (3, 5, 3, 2)[seed % 4], "others": seed % 3, "padding": (0, 0, 300)[seed % 3]}


def slow_shape_of(seed):
    """Returns the same of a schedule in which the transfer of a log takes several leases."""
    return {"voters": (3, 5)[seed % 2], "padding": 300, "slow_transfers": True}


def run_schedule(
    seed, voters=3, others=0, last_ms=30_000, faults=14, padding=0, slow_transfers=False, **more
):
    """Runs a schedule; returns its audit and the recovery time in ms. Raises InvariantError.

    slow_transfers: a transfer of the log takes several leases.
    """
    rng = Random(f"faults/{seed}")
    voter_names = VOTERS[:voters]
    names = [*voter_names, *OTHERS[:others]]
    network = {
        "loss": rng.choice((0, 0.05, 0.2)),
        "duplication": rng.choice((0, 0.1)),
        "lateness": rng.choice((0, 0.05, 0.4)),
        "delay_ms": rng.choice(((0.2, 8), (0.2, 8), (1, 250))),
    }
    settings = FAST_SETTINGS
    if not padding:
        # With a limit of one record per append request, a voter catches up by several requests.
        settings = replace(FAST_SETTINGS, max_append_bytes=rng.choice((800, NUMBER_BYTES)))
    if slow_transfers:
        settings = replace(settings, chunk_bytes=SMALL_CHUNK_BYTES, chunk_window=1)
        network["delay_ms"] = (50, 150)
    world, audit = make_world(voter_names, seed, settings, OTHERS[:others], **network, **more)
    for name in names:
        world.at(rng.uniform(0, 300), lambda name=name: world.start(name))
    at_ms = 0
    while at_ms < last_ms:
        at_ms += rng.expovariate(1 / rng.choice((20, 150)))
        name = rng.choice(names)
        world.at(at_ms, lambda name=name: append_record(world, audit, name, rng.randrange(padding + 1)))
    injector = FaultInjector(world, audit, rng, names, voter_names)
    for _ in range(faults):
        fault = rng.choice(FAULTS)
        injector.schedule(fault, rng.uniform(500, last_ms - 3000))
    world.run(last_ms)
    repair(world, names)
    return audit, recovery_ms(world, audit, names)


class FaultInjector:
    """The faults of a schedule in one world."""

    def __init__(self, world, audit, rng, names, voters):
        """Starts without faults. `voters`: the names that vote."""
        self.world = world
        self.audit = audit
        self.rng = rng
        self.names = names
        self.voters = voters

    def schedule(self, fault, at_ms):
        """Schedules a fault; draws the affected processes and the duration."""
        name, other = self.rng.sample(self.names, 2) if len(self.names) > 1 else self.names * 2
        duration_ms = self.rng.choice((50, 900, 2500))
        action = getattr(self, fault)
        self.world.at(at_ms, lambda: action(name, other, duration_ms))

    def kill(self, name, other, duration_ms, keeps_folder=True):
        """Kills a process and restarts it later."""
        world = self.world
        process = world.processes[name]
        if process.group is None:
            return
        if not keeps_folder:
            keeps_folder = not self._may_lose_folder(name)
        world.kill(name)
        if not keeps_folder:
            process.sections = {}
            process.lost_folders += 1
        world.at(world.now_ms + duration_ms, lambda: world.start(name) if process.group is None else None)

    def _may_lose_folder(self, name):
        """Returns whether a minority would be without their log: the protocol assumes no more."""
        groups = [self.world.processes[voter].group for voter in self.voters if voter != name]
        without_log = [group for group in groups if group is None or group.voter.is_recovering]
        return name in self.voters and len(without_log) < (len(self.voters) - 1) // 2

    def lose_folder(self, name, other, duration_ms):
        """Kills a process and restarts it without its folder."""
        self.kill(name, other, duration_ms, keeps_folder=False)

    def pause(self, name, other, duration_ms):
        """Pauses a process."""
        self.world.pause(name, duration_ms)

    def _cut(self, links, duration_ms):
        world = self.world
        world.cut_links.update(links)
        world.at(world.now_ms + duration_ms, lambda: world.cut_links.difference_update(links))

    def _links_from(self, name):
        return [(name, peer) for peer in self.names]

    def cut(self, name, other, duration_ms):
        """Cuts all links of a process."""
        outgoing = self._links_from(name)
        self._cut([*outgoing, *[(to, sender) for sender, to in outgoing]], duration_ms)

    def cut_one_way(self, name, other, duration_ms):
        """Cuts links of a process in one direction."""
        outgoing = self._links_from(name)
        incoming = [(to, sender) for sender, to in outgoing]
        self._cut(self.rng.choice([outgoing, [(name, other)], incoming]), duration_ms)

    def disk(self, name, other, duration_ms):
        """Makes one disk or all disks full, slow, or report written data as failed."""
        mode = self.rng.choice((DiskMode.FULL, DiskMode.UNSURE, DiskMode.SLOW))
        for affected in self.rng.choice(([name], self.names)):
            process = self.world.processes[affected]
            process.disk = mode
            self.world.at(
                self.world.now_ms + duration_ms,
                lambda process=process: setattr(process, "disk", DiskMode.WELL),
            )

    def slow_links(self, name, other, duration_ms):
        """Adds a delay of 0.7 of a lease to links."""
        world = self.world
        incoming = [(peer, name) for peer in self.names]
        links = self.rng.choice(([(name, other)], self._links_from(name), incoming))
        world.slow_links.update(dict.fromkeys(links, 0.7 * FAST_SETTINGS.lease_ms))
        world.at(
            world.now_ms + 3 * duration_ms,
            lambda: [world.slow_links.pop(link, None) for link in links],
        )

    def release(self, name, other, duration_ms):
        """Releases the lease after appending a record; the process becomes a candidate again later."""
        world = self.world
        append_record(world, self.audit, name)
        world.call(name, lambda group, local_ms: group.release(local_ms))
        world.at(
            world.now_ms + duration_ms,
            lambda: world.call(name, lambda group, local_ms: group.set_candidate(local_ms, True)),
        )

    def loss(self, name, other, duration_ms):
        """Loses 60% of all messages."""
        world = self.world
        before = world.loss
        world.loss = 0.6
        world.at(world.now_ms + duration_ms, lambda: setattr(world, "loss", before))


def repair(world, names):
    """Ends all faults."""
    world.cut_links.clear()
    world.slow_links.clear()
    world.loss = 0
    world.duplication = 0
    world.lateness = 0
    world.delay_ms = (0.2, 8)
    for name in names:
        process = world.processes[name]
        process.disk = DiskMode.WELL
        process.paused_until_ms = min(process.paused_until_ms, world.now_ms)
        if process.group is None:
            world.start(name)
        world.call(name, lambda group, local_ms: group.set_candidate(local_ms, True))


def recovery_ms(world, audit, names):
    """Returns the time until a record is committed. Then runs three leases more, with all checks."""
    begun_ms = world.now_ms
    committed = len(audit.committed)
    while len(audit.committed) == committed and world.now_ms < begun_ms + MAX_RECOVERY_MS:
        for name in names:
            append_record(world, audit, name)
        world.run(world.now_ms + 50)
    require(
        len(audit.committed) > committed,
        f"no record committed in {MAX_RECOVERY_MS} ms after the last fault; held by {holder_of(world)}",
    )
    quiet_ms = 3 * FAST_SETTINGS.lease_ms
    world.run(world.now_ms + quiet_ms)
    return world.now_ms - begun_ms - quiet_ms

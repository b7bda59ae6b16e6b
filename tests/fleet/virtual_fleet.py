"""Whole fronts in virtual time: `lichenquay.fleet.gateway_runtime.GatewayRuntime` itself, over a reactor, a network, clocks and disks that
a test has in hand.

Every datagram is sealed and opened as on a socket, and has a number, so that a run can be repeated with one of them
changed (`mutate`). Times are milliseconds of true time; each process has a clock of its own. All chance comes from one
seed.
"""

from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

from lichenquay.config import lichenquay_pb2 as conf
from lichenquay.fleet.gateway_runtime import GatewayRuntime
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.settings import Settings as MembershipSettings

LEASE_MS, TERM_MS = 800.0, 1600.0
QUICK = MembershipSettings(
    probe_period_ms=200,
    suspicion_timeout_ms=480,
    sync_interval_ms=2000,
    faulty_probe_interval_ms=600,
    rejoin_delay_ms=300,
    max_tick_delay_ms=300,
)
ACCOUNTS = (("lender", 100, 300, 60, 1500, 0.5, 0.75), ("borrower", 150, 120, 90, 1500, 0.5, 0.5))
RATES = (0.955, 1.0, 1.045)
UNIX_MS = 1.7e12


class Log:
    def bind(self, **_):
        return self

    def info(self, *_, **__):
        """Nobody reads it."""

    warning = info


class Timer:
    """As Twisted's delayed call."""

    def __init__(self, reactor, wait_s, what, args):
        self.reactor, self.what, self.args = reactor, what, args
        self.on, self.queued = True, False
        self.reset(wait_s)

    def active(self):
        return self.on

    def cancel(self):
        self.on = False

    def reset(self, wait_s):
        world = self.reactor.world
        self.due = world.now + wait_s * 1000 / self.reactor.process.rate + 1e-6
        if not self.queued or self.due < self.queued_ms:
            self.queue()

    def queue(self):
        self.queued, self.queued_ms = True, self.due
        self.reactor.at(self.due, lambda at=self.due: self.fire(at))

    def fire(self, at):
        if not self.on or at != self.queued_ms:
            return
        self.queued = False
        if self.due > at:
            self.queue()
        else:
            self.on = False
            self.what(*self.args)


class Reactor:
    """One life of a process: nothing of it comes back after its end."""

    def __init__(self, process):
        self.process, self.world, self.life = process, process.world, process.starts

    def at(self, true_ms, what):
        self.world.at(true_ms, lambda: self.process.run(self.life, what))

    def callLater(self, wait_s, what, *args):
        return Timer(self, wait_s, what, args)

    def callFromThread(self, what, *args):
        self.at(self.world.now, lambda: what(*args))

    def listenUDP(self, port, post, interface):
        post.transport = self
        return self

    def stopListening(self):
        self.process.deaf = True

    def write(self, data, address):
        self.world.send(self.process, self.world.ports[address[1]], data)


class Disk:
    """What a folder has. `how`: well | full (not written, and said so) | unsure (there, and said not to be) | slow."""

    def __init__(self):
        self.state, self.how, self.free_ms = {}, "well", 0.0


class MemoryFolder:
    """As lichenquay.storage's, of a Disk."""

    def __init__(self, disk):
        self.disk, self.state, self.is_open, self.last_error, self.incarnation = (
            disk,
            dict(disk.state),
            True,
            None,
            0,
        )

    def append(self, changes):
        for key, value in changes.items():
            for state in (self.state, self.disk.state):
                state.pop(key, None) if value is None else state.__setitem__(key, value)

    def flush(self, now_ms):
        """All of it is there."""

    def close(self):
        """Nothing is held open."""


class MemoryWriter:
    """As lichenquay.storage's: stores one after the other, each told its end in the host's turn."""

    def __init__(self, reactor, folder):
        self.reactor, self.disk, self.folder, self.counts, self.last_error = (
            reactor,
            folder.disk,
            folder,
            {},
            None,
        )

    def store(self, changes, done):
        world, how = self.reactor.world, self.disk.how
        takes = world.rng.uniform(1.0, 4.0) if how != "slow" else world.rng.uniform(60, 120)
        self.disk.free_ms = max(world.now, self.disk.free_ms) + takes

        def written():
            if how != "full":
                self.folder.append(changes)
            done(how in ("well", "slow"))

        self.reactor.at(self.disk.free_ms, written)

    def close(self, within_ms):
        return True


class Host(GatewayRuntime):
    """With a quicker watch: a scenario is seconds long."""

    def new_detector(self):
        peers = [n for n in self.names if n != self.settings.name]
        return FailureDetector(self.settings.name, self.incarnation, peers, self.rng, QUICK, self.now_ms())


class Process:
    def __init__(self, world, name, rate, offset):
        self.world, self.name, self.rate, self.offset = world, name, rate, offset
        self.disk, self.starts, self.fleet, self.deaf, self.unix_back = Disk(), 0, None, False, 0.0
        self.incarnations, self.left, self.lives = [], set(), []

    def now_ms(self):
        return self.world.now * self.rate + self.offset

    def start(self):
        if self.fleet is not None:
            return
        self.starts, self.deaf, self.disk.free_ms = self.starts + 1, False, self.world.now
        reactor = Reactor(self)
        self.fleet = Host(
            reactor,
            self.settings(),
            f"{self.world.seed}/{self.starts}",
            lambda: False,
            self.now_ms,
            lambda: UNIX_MS + self.world.now - self.unix_back,
            Log(),
            lambda *a, **k: MemoryFolder(self.disk),
            lambda folder, *a, **k: MemoryWriter(reactor, folder),
        )
        assert self.fleet.open() is None
        self.fleet.begin()
        self.unix_back = 3_600_000.0  # its wall clock is set back before the next start
        self.world.started(self)

    def settings(self):
        ports = {name: port for port, name in self.world.ports.items()}
        s = conf.Fleet(
            fleet="virtual",
            name=self.name,
            listen=f"127.0.0.1:{ports[self.name]}",
            folder=self.name,
            lease_ms=LEASE_MS,
            term_ms=TERM_MS,
        )
        for name, port in ports.items():
            if name != self.name:
                s.peers.add(name=name, address=f"127.0.0.1:{port}")
        for tenant, rate, bucket, credit, due, repay, lend in ACCOUNTS:
            s.accounts.add(
                tenant=tenant,
                rate_ms=rate,
                bucket_ms=bucket,
                credit_ms=credit,
                due_ms=due,
                repay_share=repay,
                lend_share=lend,
            )
        return s

    def run(self, life, what):
        if self.fleet is not None and life == self.starts:
            what()
            self.world.stepped(self)

    def kill(self):
        self.fleet = None

    def leave(self):
        """In order; its process ends once it is over, as the front's does."""
        if self.fleet is None:
            return
        self.left.add(self.fleet.incarnation)
        self.fleet.leave()
        self.ending(self.starts)

    def ending(self, life):
        if self.fleet is not None and life == self.starts:
            if self.fleet.is_leave_complete():
                self.fleet.close()
                self.fleet = None
            else:
                self.world.at(self.world.now + 25, lambda: self.ending(life))


class World:
    """`audit`: see fleet_audit. mutate: {number: change(world, mail)}, which does all of that
    datagram's delivery."""

    def __init__(self, audit, seed=1, names="abc", mutate=None):
        self.seed, self.rng, self.now, self.audit, self.mutate = (
            seed,
            Random(f"fleet/{seed}"),
            0.0,
            audit,
            mutate or {},
        )
        self.heap, self.count, self.sent, self.steps, self.mails = [], 0, 0, 0, None
        self.said = 0  # a digest of all that was sent
        self.cut, self.waiting, self.held, self.starts = set(), {}, [], {n: [] for n in names}
        self.end_ms, self.child, self.resting = 0.0, None, False  # a fork sets the first two to its own
        self.ports = {7001 + i: name for i, name in enumerate(names)}
        self.all = {n: Process(self, n, RATES[i % 3], 1e5 * (i + 1)) for i, n in enumerate(names)}
        audit.world = self

    def at(self, true_ms, what):
        self.count += 1
        heappush(self.heap, (max(true_ms, self.now), self.count, what))

    def run(self, until_ms):
        self.end_ms = until_ms
        while self.heap and self.heap[0][0] <= self.end_ms:
            self.now, _, what = heappop(self.heap)
            what()
        self.now = self.end_ms

    def stepped(self, process):
        self.steps += 1
        self.audit.step(process)

    def started(self, process):
        if process.fleet.incarnation <= max(process.incarnations, default=0):
            self.audit.broken(f"{process.name}: an incarnation again")
        process.incarnations.append(process.fleet.incarnation)
        self.starts[process.name].append(self.now)
        self.stepped(process)
        for event in [e for e in self.waiting if e[0] == "start" and e[1] == process.name]:
            for what in self.waiting.pop(event):
                self.at(self.now + 40, what)

    # datagrams

    def send(self, process, to, data):
        self.sent += 1
        self.said = hash((self.said, self.now, to, data))
        mail = SimpleNamespace(
            no=self.sent, sender=process.name, to=to, data=data, at=self.now, delay=self.rng.uniform(1, 6)
        )
        if self.mails is not None:
            self.mails.append(mail)
        change = self.mutate.get(self.sent)
        if change is not None:
            change(self, mail)
        else:
            self.deliver(mail, mail.delay)
        link = "next", process.name, to
        if link in self.waiting and change is None:
            for what in self.waiting.pop(link):
                self.at(self.now + mail.delay + 1e-3, what)

    def wait_for(self, event, what):
        """('next', sender, to): after the next datagram of that link came; ('start', name): after its next start;
        at the latest at the scenario's end."""
        once = []

        def do():
            if not once:
                once.append(1)
                what()

        self.waiting.setdefault(event, []).append(do)
        self.held.append(do)

    def deliver(self, mail, delay, to=None, data=None, whole=True):
        """whole: False where the one it comes to must not take it."""
        if (mail.sender, mail.to) in self.cut:
            return
        what = mail.data if data is None else data
        self.at(self.now + delay, lambda: self.arrive(self.all[to or mail.to], what, whole))

    def arrive(self, process, data, whole=True):
        if process.fleet is None or process.deaf:
            return
        post = process.fleet.datagrams
        heard = post.counters["datagrams heard"]
        post.datagramReceived(data, ("127.0.0.1", 1))
        if not whole and post.counters["datagrams heard"] > heard:
            self.audit.broken(f"{process.name} takes a datagram that is not for it, or not whole")
        self.stepped(process)

    # queries

    def query(self, name, tenant, work_ms, runs_ms=60.0, over=0.0):
        """work_ms: estimate; over: how much more is told at its end."""
        process = self.all[name]
        if process.fleet is None or process.fleet.is_leaving:
            return
        fleet, life = process.fleet, process.starts
        q = Query(tenant, work_ms)
        within = fleet.quota_participant.reserve(fleet.now_ms(), q, work_ms)
        fleet.tenant_usage.set_timer()
        self.audit.took(process, tenant, within)
        self.stepped(process)
        if within:
            end = (work_ms + over, 0.0)
            self.at(
                self.now + runs_ms,
                lambda: process.run(life, lambda: fleet.tenant_usage.settle_completed(q, end)),
            )


class Query:
    def __init__(self, tenant, work_ms):
        self.tenant, self.estimated_work_ms, self.attempts = SimpleNamespace(name=tenant), work_ms, []

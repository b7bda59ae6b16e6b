"""Whole gateways in virtual time: `lichenquay.fleet.gateway_runtime.GatewayRuntime` itself, with a simulated
reactor, network, clocks and disks.

Every datagram is sealed and opened as on a socket. It has a number, so a run can be repeated with one
datagram changed (`mutations`). Times are in ms of true time; each process has a clock of its own. A run is
determined by its seed.
"""

from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

from virtual_storage import Disk, MemoryFolder, MemoryWriter

from lichenquay.config import lichenquay_pb2 as conf
from lichenquay.fleet.gateway_runtime import GatewayRuntime
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.settings import Settings as MembershipSettings

LEASE_MS, TERM_MS = 800.0, 1600.0
QUICK_MEMBERSHIP = MembershipSettings(
    probe_period_ms=200,
    suspicion_timeout_ms=480,
    sync_interval_ms=2000,
    faulty_probe_interval_ms=600,
    rejoin_delay_ms=300,
    max_tick_delay_ms=300,
)
# (tenant, rate_ms, bucket_ms, credit_ms, due_ms, repay_share, lend_share)
ACCOUNTS = (("lender", 100, 300, 60, 1500, 0.5, 0.75), ("borrower", 150, 120, 90, 1500, 0.5, 0.5))
CLOCK_RATES = (0.955, 1.0, 1.045)  # of the processes, in turn
UNIX_MS = 1.7e12


class NullLog:
    """A logger that drops all events."""

    def bind(self, **_):
        """Returns the logger itself."""
        return self

    def info(self, *_, **__):
        """Drops the event."""

    warning = info


class Timer:
    """A stand-in for Twisted's delayed call."""

    def __init__(self, reactor, wait_s, call, args):
        """Schedules the call in `wait_s` of the process's clock."""
        self.reactor, self.call, self.args = reactor, call, args
        self.is_active, self.queued = True, False
        self.reset(wait_s)

    def active(self):
        """Returns whether the call is still to come."""
        return self.is_active

    def cancel(self):
        """Cancels the call."""
        self.is_active = False

    def reset(self, wait_s):
        """Sets the time of the call to `wait_s` from now."""
        world = self.reactor.world
        self.due_ms = world.now_ms + wait_s * 1000 / self.reactor.process.rate + 1e-6
        if not self.queued or self.due_ms < self.queued_ms:
            self.queue()

    def queue(self):
        """Schedules the timer's next event at its due time."""
        self.queued, self.queued_ms = True, self.due_ms
        self.reactor.at(self.due_ms, lambda at=self.due_ms: self.fire(at))

    def fire(self, at):
        """Makes the call, or waits further if the timer was reset meanwhile."""
        if not self.is_active or at != self.queued_ms:
            return
        self.queued = False
        if self.due_ms > at:
            self.queue()
        else:
            self.is_active = False
            self.call(*self.args)


class Reactor:
    """The reactor of one start of a process; none of its calls are made after the process has ended."""

    def __init__(self, process):
        """Belongs to the process's present start."""
        self.process, self.world, self.start_number = process, process.world, process.start_count

    def at(self, true_ms, call):
        """Schedules a call at a true time."""
        self.world.at(true_ms, lambda: self.process.run(self.start_number, call))

    def callLater(self, wait_s, call, *args):
        """Schedules a call and returns its timer."""
        return Timer(self, wait_s, call, args)

    def callFromThread(self, call, *args):
        """Schedules a call for now."""
        self.at(self.world.now_ms, lambda: call(*args))

    def listenUDP(self, port, protocol, interface):
        """Becomes the protocol's transport; returns the port, which is the reactor too."""
        protocol.transport = self
        return self

    def stopListening(self):
        """Closes the socket: datagrams are no longer received."""
        self.process.is_socket_closed = True

    def write(self, data, address):
        """Sends a datagram to the process with that port."""
        self.world.send(self.process, self.world.ports[address[1]], data)


class QuickRuntime(GatewayRuntime):
    """A gateway runtime with shorter membership periods, as a scenario lasts only seconds."""

    def new_detector(self):
        """Returns a failure detector with QUICK_MEMBERSHIP."""
        peers = [name for name in self.names if name != self.settings.name]
        return FailureDetector(
            self.settings.name, self.incarnation, peers, self.rng, QUICK_MEMBERSHIP, self.now_ms()
        )


class Process:
    """A gateway process with its clock and disk; `runtime` is None while it is down."""

    def __init__(self, world, name, rate, offset):
        """Its clock runs at `rate`, ahead by `offset`."""
        self.world, self.name, self.rate, self.offset = world, name, rate, offset
        self.disk, self.start_count, self.runtime = Disk(), 0, None
        self.is_socket_closed, self.unix_clock_back_ms = False, 0.0
        self.incarnations, self.left_incarnations, self.escrows = [], set(), []

    def now_ms(self):
        """Returns the time of the process's clock."""
        return self.world.now_ms * self.rate + self.offset

    def start(self):
        """Starts the process unless it runs."""
        if self.runtime is not None:
            return
        self.start_count += 1
        self.is_socket_closed, self.disk.free_ms = False, self.world.now_ms
        reactor = Reactor(self)
        self.runtime = QuickRuntime(
            reactor,
            self.settings(),
            f"{self.world.seed}/{self.start_count}",
            lambda: False,
            self.now_ms,
            lambda: UNIX_MS + self.world.now_ms - self.unix_clock_back_ms,
            NullLog(),
            lambda *a, **k: MemoryFolder(self.disk),
            lambda folder, *a, **k: MemoryWriter(reactor, folder),
        )
        assert self.runtime.open() is None
        self.runtime.begin()
        self.unix_clock_back_ms = 3_600_000.0  # its wall clock is set back by an hour before the next start
        self.world.record_start(self)

    def settings(self):
        """Returns the fleet settings of the process."""
        ports = {name: port for port, name in self.world.ports.items()}
        settings = conf.Fleet(
            fleet="virtual",
            name=self.name,
            listen=f"127.0.0.1:{ports[self.name]}",
            folder=self.name,
            lease_ms=LEASE_MS,
            term_ms=TERM_MS,
        )
        for name, port in ports.items():
            if name != self.name:
                settings.peers.add(name=name, address=f"127.0.0.1:{port}")
        for tenant, rate, bucket, credit, due, repay, lend in ACCOUNTS:
            settings.accounts.add(
                tenant=tenant,
                rate_ms=rate,
                bucket_ms=bucket,
                credit_ms=credit,
                due_ms=due,
                repay_share=repay,
                lend_share=lend,
            )
        return settings

    def run(self, start_number, call):
        """Makes a call if the process still runs in that start, then checks the invariants."""
        if self.runtime is not None and start_number == self.start_count:
            call()
            self.world.check_step(self)

    def kill(self):
        """Kills the process."""
        self.runtime = None

    def leave(self):
        """Starts a graceful shutdown; the process ends once it is complete."""
        if self.runtime is None:
            return
        self.left_incarnations.add(self.runtime.incarnation)
        self.runtime.leave()
        self.ending(self.start_count)

    def ending(self, start_number):
        """Ends the process if its shutdown is complete, else checks again 25 ms later."""
        if self.runtime is not None and start_number == self.start_count:
            if self.runtime.is_leave_complete():
                self.runtime.close()
                self.runtime = None
            else:
                self.world.at(self.world.now_ms + 25, lambda: self.ending(start_number))


class World:
    """The processes, the network between them and the event queue. `audit`: see fleet_audit. `mutations`:
    {number: change(world, packet)}; a change replaces all of that datagram's delivery.
    """

    def __init__(self, audit, seed=1, names="abc", mutations=None):
        """All processes are down."""
        self.seed, self.rng, self.now_ms, self.audit, self.mutations = (
            seed,
            Random(f"fleet/{seed}"),
            0.0,
            audit,
            mutations or {},
        )
        self.heap, self.count, self.sent_count, self.steps, self.packets = [], 0, 0, 0, None
        self.sent_hash = 0  # of all that was sent
        self.cut_links, self.calls_by_event, self.deferred_calls = set(), {}, []
        self.start_times_ms = {name: [] for name in names}
        self.end_ms, self.fork_name, self.is_settling = 0.0, None, False  # a fork sets the first two
        self.ports = {7001 + index: name for index, name in enumerate(names)}
        self.processes = {
            name: Process(self, name, CLOCK_RATES[index % 3], 1e5 * (index + 1))
            for index, name in enumerate(names)
        }
        audit.world = self

    def at(self, true_ms, call):
        """Schedules a call at a true time, now at the earliest."""
        self.count += 1
        heappush(self.heap, (max(true_ms, self.now_ms), self.count, call))

    def run(self, until_ms):
        """Runs events up to `until_ms`; a call may change `end_ms` meanwhile."""
        self.end_ms = until_ms
        while self.heap and self.heap[0][0] <= self.end_ms:
            self.now_ms, _, call = heappop(self.heap)
            call()
        self.now_ms = self.end_ms

    def check_step(self, process):
        """Checks the invariants after a step of a process."""
        self.steps += 1
        self.audit.check(process)

    def record_start(self, process):
        """Checks that a start has a new incarnation; schedules the calls that wait for the start."""
        if process.runtime.incarnation <= max(process.incarnations, default=0):
            self.audit.fail(f"{process.name}: an incarnation was reused")
        process.incarnations.append(process.runtime.incarnation)
        self.start_times_ms[process.name].append(self.now_ms)
        self.check_step(process)
        for event in [
            waiting for waiting in self.calls_by_event if waiting[0] == "start" and waiting[1] == process.name
        ]:
            for call in self.calls_by_event.pop(event):
                self.at(self.now_ms + 40, call)

    # datagrams

    def send(self, process, receiver, data):
        """Delivers a datagram, or makes the change that replaces its delivery."""
        self.sent_count += 1
        self.sent_hash = hash((self.sent_hash, self.now_ms, receiver, data))
        packet = SimpleNamespace(
            number=self.sent_count,
            sender=process.name,
            receiver=receiver,
            data=data,
            sent_ms=self.now_ms,
            delay_ms=self.rng.uniform(1, 6),
        )
        if self.packets is not None:
            self.packets.append(packet)
        change = self.mutations.get(self.sent_count)
        if change is not None:
            change(self, packet)
        else:
            self.deliver(packet, packet.delay_ms)
        link = "next", process.name, receiver
        if link in self.calls_by_event and change is None:
            for call in self.calls_by_event.pop(link):
                self.at(self.now_ms + packet.delay_ms + 1e-3, call)

    def call_after(self, event, call):
        """Makes a call after an event: ('next', sender, receiver) is the arrival of that link's next
        datagram, ('start', name) the next start. At the latest, the call is made at the scenario's end.
        """
        was_called = []

        def call_once():
            if not was_called:
                was_called.append(1)
                call()

        self.calls_by_event.setdefault(event, []).append(call_once)
        self.deferred_calls.append(call_once)

    def deliver(self, packet, delay_ms, receiver=None, data=None, is_valid=True):
        """Delivers a packet after a delay, to another receiver or with other data if given. `is_valid`: False
        if the receiver must not accept it.
        """
        if (packet.sender, packet.receiver) in self.cut_links:
            return
        delivered = packet.data if data is None else data
        self.at(
            self.now_ms + delay_ms,
            lambda: self.arrive(self.processes[receiver or packet.receiver], delivered, is_valid),
        )

    def arrive(self, process, data, is_valid=True):
        """Hands data to a process; an accepted invalid datagram is a violation."""
        if process.runtime is None or process.is_socket_closed:
            return
        protocol = process.runtime.datagrams
        received_before = protocol.counters["datagrams heard"]
        protocol.datagramReceived(data, ("127.0.0.1", 1))
        if not is_valid and protocol.counters["datagrams heard"] > received_before:
            self.audit.fail(f"{process.name} accepted a datagram that is misaddressed or damaged")
        self.check_step(process)

    # queries

    def query(self, name, tenant, work_ms, runs_ms=60.0, over=0.0):
        """Reserves quota for a query and settles it after `runs_ms`. `work_ms` is the estimate; `over` is how
        much more is reported at the end.
        """
        process = self.processes[name]
        if process.runtime is None or process.runtime.is_leaving:
            return
        runtime, start_number = process.runtime, process.start_count
        query = VirtualQuery(tenant, work_ms)
        within = runtime.quota_participant.reserve(runtime.now_ms(), query, work_ms)
        runtime.tenant_usage.set_timer()
        self.audit.record_decision(process, tenant, within)
        self.check_step(process)
        if within:
            end = (work_ms + over, 0.0)
            self.at(
                self.now_ms + runs_ms,
                lambda: process.run(start_number, lambda: runtime.tenant_usage.settle_completed(query, end)),
            )


class VirtualQuery:
    """A query as the quota code sees it."""

    def __init__(self, tenant, work_ms):
        """`work_ms` is the estimate."""
        self.tenant, self.estimated_work_ms, self.attempts = SimpleNamespace(name=tenant), work_ms, []

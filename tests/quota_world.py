"""A simulation of the quota in virtual time.

Gateways have clocks of their own, the network loses, duplicates, delays and cuts off messages, and an audit
runs after every step.
"""

from heapq import heappop, heappush
from random import Random

from invariants import InvariantError, require
from quota_audit import Audit, DeletionTrackingDict
from quota_group import GroupHandle, SimulatedGroup

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_demand import idle_stocks
from lichenquay.quota.ledger_leader import LedgerLeader

TERM_MS = 2000.0
PERIOD_MS = 200.0
STEP_MS = 50.0
MEAN_EXTRA_DELAY_MS = 2000.0  # of a delayed message
CLOCK_DRIFT = 0.024


def tenant_terms(tenant, rate=100, bucket=200, limit=100, term_ms=5000, repay=500, lend=250):
    """Returns the terms of an account; rate, bucket and limit in ms of work, repay and lend in permille."""
    return pb.Open(
        tenant=tenant,
        rate_us=rate * 1000,
        bucket_us=bucket * 1000,
        limit_us=limit * 1000,
        term_ms=term_ms,
        repay_permille=repay,
        lend_permille=lend,
    )


class Gateway:
    """A process with an escrow, a leader of the ledger, and its own clock."""

    def __init__(self, world, name, clock_rate, clock_offset_ms):
        """Starts its first incarnation."""
        self.world = world
        self.name = name
        self.clock_rate = clock_rate
        self.clock_offset_ms = clock_offset_ms
        self.incarnation = 0
        self.incarnations = []  # the escrow of each
        self.start()

    @property
    def now_ms(self):
        """The time by its own clock."""
        return self.world.now * self.clock_rate + self.clock_offset_ms

    def start(self):
        """Starts the next incarnation, without tokens."""
        world = self.world
        self.incarnation += 1
        self.up = True
        self.paused = False
        self.inbox = []
        self.group_handle = GroupHandle(world.group, self.name)
        self.leader = world.make_leader(self.group_handle, world.accounts, TERM_MS, PERIOD_MS)
        stocks_us = idle_stocks(world.accounts, world.gateway_count)
        self.escrow = world.make_escrow(
            self.name, self.incarnation, stocks_us, TERM_MS, PERIOD_MS, world.random
        )
        self.escrow.sealed_holdings = DeletionTrackingDict()
        self.incarnations.append(self.escrow)
        self.known_leader = None
        self.checked = None

    def kill(self):
        """Crashes the process."""
        self.up = False
        self.group_handle = None

    def call(self, action):
        """Calls `action(now_ms)` now, or when a pause ends; drops it if the process does not run."""
        if self.up and self.paused:
            self.inbox.append(action)
        elif self.up:
            action(self.now_ms)

    def resume(self):
        """Ends a pause, and handles what happened meanwhile."""
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for action in inbox:
            self.call(action)

    def step(self):
        """Ticks what is due and sends messages; returns whether anything was due."""
        if not self.up or self.paused:
            return False
        now_ms = self.now_ms
        busy = False
        holder = self.world.group.holder
        if (holder, self.world.group.generation) != self.known_leader:
            self.known_leader = holder, self.world.group.generation
            self.escrow.leader = self.known_leader if holder else None
        for part in (self.escrow, self.leader):
            if now_ms >= part.due_ms:
                part.tick(now_ms)
                busy = True
            outbox, part.outbox[:] = list(part.outbox), []
            for to, message in outbox:
                self.world.send(self, to, message)
        return busy


class World:
    """Gateways, their network and the ledger's group; time is in milliseconds."""

    def __init__(
        self,
        seed=0,
        gateway_count=3,
        accounts=(),
        make_leader=LedgerLeader,
        make_escrow=TokenEscrow,
        drift=CLOCK_DRIFT,
    ):
        """Starts all gateways.

        `accounts`: the terms of each tenant. `drift`: relative error of the fastest and the slowest clock.
        """
        self.random = Random(seed)
        self.now = 0.0
        self.events = []
        self.event_number = 0
        self.gateway_count = gateway_count
        self.accounts = list(accounts)
        self.make_leader = make_leader
        self.make_escrow = make_escrow
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.delay_rate = 0.0
        self.cut_links = set()
        self.sent = 0
        self.mutate = None
        self.within_quota = {}  # by tenant: number of queries
        self.over_quota = {}  # by tenant: number of queries
        self.last_ticket = 0
        self.group = SimulatedGroup(self)
        self.audit = Audit(self)
        spans = max(1, gateway_count - 1)
        self.gateways = {}
        for i in range(gateway_count):
            clock_rate = 1 + drift * (2 * i / spans - 1)
            self.gateways[f"f{i}"] = Gateway(self, f"f{i}", clock_rate, 1000.0 * i * i)

    # Time and network.

    def at(self, after_ms, action):
        """Calls `action()` after that time."""
        self.event_number += 1
        heappush(self.events, (self.now + after_ms, self.event_number, action))

    def run(self, until_ms):
        """Runs until that time, with an audit after each step in which anything happened."""
        while self.now < until_ms:
            step_ms = self.now + STEP_MS
            busy = False
            while self.events and self.events[0][0] <= step_ms:
                at_ms, _, action = heappop(self.events)
                self.now = max(self.now, at_ms)
                action()
                busy = True
            self.now = step_ms
            for gateway in self.gateways.values():
                busy = gateway.step() or busy
            if busy:
                self.audit.check()

    def send(self, gateway, to, message):
        """Sends a message; messages are numbered, so that a run can be repeated with one of them mutated."""
        self.sent += 1
        link = (gateway.name, to)
        copies = [(to, gateway.name, gateway.incarnation, message, 2 + 8 * self.random.random())]
        if self.mutate:
            copies = self.mutate(self.sent, copies)
        for to_name, name, incarnation, copied, delay_ms in copies:
            if link in self.cut_links or self.random.random() < self.loss_rate:
                continue
            delivery = (to_name, name, incarnation, copied.SerializeToString(), type(copied))
            times = 2 if self.random.random() < self.duplication_rate else 1
            for _ in range(times):
                is_delayed = self.random.random() < self.delay_rate
                extra_ms = self.random.expovariate(1 / MEAN_EXTRA_DELAY_MS) if is_delayed else 0.0
                self.at(delay_ms + extra_ms, lambda delivery=delivery: self.deliver(*delivery))

    def deliver(self, to, name, incarnation, raw, message_type):
        """Delivers a message to the incarnation that runs now."""
        gateway = self.gateways.get(to)
        if gateway is None:
            return
        part = gateway.leader if message_type is pb.Ask else gateway.escrow
        gateway.call(
            lambda now_ms: part.on_message(now_ms, (name, incarnation), message_type.FromString(raw))
        )

    # Queries.

    def query(self, gateway, tenant, estimate_ms, work_ms=None, runs_ms=100.0, work_is_known=True):
        """Sends a query; returns whether it is within quota, or None if the gateway does not run."""
        if not gateway.up or gateway.paused:
            return None
        self.last_ticket += 1
        ticket = self.last_ticket
        escrow = gateway.escrow
        is_within_quota = escrow.reserve(gateway.now_ms, tenant, estimate_ms, ticket)
        if is_within_quota:
            key = gateway.name, gateway.incarnation, escrow.epoch
            require(key not in self.group.ledger.expired, f"{key} spends tokens that were written off")
            granted = tenant in self.group.ledger.epochs.get(key, {})
            require(granted, f"{key} spends tokens that no record granted")
            spent_ms = estimate_ms if work_ms is None else work_ms

            def end(now_ms):
                if work_is_known:
                    escrow.settle(now_ms, ticket, spent_ms)
                else:
                    escrow.settle_at_estimate(now_ms, ticket)

            self.at(runs_ms, lambda: gateway.escrow is escrow and gateway.call(end))
        counts = self.within_quota if is_within_quota else self.over_quota
        counts[tenant] = counts.get(tenant, 0) + 1
        return is_within_quota

    # The end of a run.

    def run_until_quiescent(self, timeout_ms):
        """Ends all faults and runs until gateways and ledger agree; raises InvariantError on a timeout."""
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.delay_rate = 0.0
        self.group.uncertain_share = 0.0
        self.cut_links = set()
        self.mutate = None
        for gateway in self.gateways.values():
            if not gateway.up:
                gateway.start()
            elif gateway.paused:
                gateway.resume()
        if self.group.holder is None:
            self.group.elect("f0")
        until_ms = self.now + timeout_ms
        while True:
            self.run(self.now + 500)
            try:
                return self.audit.check_quiescent()
            except InvariantError:
                if self.now >= until_ms:
                    raise

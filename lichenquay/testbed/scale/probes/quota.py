"""Measures the fleet's quota in virtual time: a gateway by tenants, and the ledger leader by gateways."""

from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

from lichenquay.quota.account_settings import account_terms
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_demand import idle_stocks
from lichenquay.quota.ledger_leader import LedgerLeader
from lichenquay.quota.ledger_records import split
from lichenquay.testbed.scale.sample import Progress, Sample, Stopwatch, TimedPart
from lichenquay.testbed.virtual_network import LinkConditions, VirtualHost, VirtualNetwork

LEDGER_LEADER, LAYER = "keeper", "quota"
TERM_MS, WRITE_MS = 4_000.0, 10.0
QUERIES_PER_S, WORK_MS = 10.0, 20.0  # At each gateway, over all tenants.
RATE_MS, BUCKET_MS = 100.0, 1_000.0  # Work a second, for each tenant and gateway.
WARM_UP_MS, MEASURED_MS = 2_000.0, 4_000.0
GATEWAYS_FOR_TENANT_SIZES, TENANTS_FOR_GATEWAY_SIZES = 2, 4


class LedgerLeaderPart(TimedPart):
    """The ledger leader with a group whose lease it always holds: a record is committed after `WRITE_MS`."""

    generation = 1

    def __init__(self, net: VirtualNetwork, figures: list[Any], stopwatch: Stopwatch):
        """`records`, `record_bytes` and `pieces` count what the group's voters would receive."""
        super().__init__(LedgerLeader(self, figures, TERM_MS), stopwatch)
        self.net, self.records, self.record_bytes, self.pieces = net, 0, 0, 0

    def holds(self, now_ms: float) -> bool:
        """Returns True: the lease is never lost here."""
        return True

    def snapshot(self) -> tuple[bytes, list[bytes]]:
        """Returns an empty ledger."""
        return b"", []

    def append(self, now_ms: float, record: bytes, done: Callable[[float, bool], None]) -> None:
        """Counts a record, and schedules its commit."""
        self.records, self.record_bytes = self.records + 1, self.record_bytes + len(record)
        self.pieces += len(split(record))
        self.net.at(self.net.now_ms + WRITE_MS, self.net.call, LEDGER_LEADER, LAYER, "written", done)

    def written(self, now_ms: float, done: Callable[[float, bool], None]) -> None:
        """Reports the commit of a record."""
        with self.stopwatch.running():
            done(now_ms, True)


class EscrowPart(TimedPart):
    """A gateway's token escrow, with the calls of its queries."""

    def take(self, now_ms: float, tenant: str, ticket: int) -> None:
        """Reserves tokens for a query that arrives."""
        with self.stopwatch.running():
            self.part.reserve(now_ms, tenant, WORK_MS, ticket)

    def settle(self, now_ms: float, ticket: int) -> None:
        """Settles a query with its actual work."""
        with self.stopwatch.running():
            self.part.settle(now_ms, ticket, WORK_MS)


class Quota:
    """Runs a ledger leader and gateways, each gateway with queries of all tenants at a low rate."""

    def __init__(self, gateways: int, tenants: int, seed: int):
        """Messages take 1 to 5 ms; none is lost."""
        self.net = VirtualNetwork(f"quota/{gateways}/{tenants}/{seed}", LinkConditions(delay_ms=(1.0, 5.0)))
        self.tenants = [f"tenant-{i:04d}" for i in range(tenants)]
        self.gateways = [f"front-{i:04d}" for i in range(gateways)]
        figures = [account_terms(t, RATE_MS * gateways, BUCKET_MS * gateways) for t in self.tenants]
        self.gateway_stopwatch, self.leader_stopwatch, self.tickets = Stopwatch(), Stopwatch(), count(1)
        stocks = idle_stocks(figures, gateways)
        self.net.host(
            LEDGER_LEADER, lambda host: {LAYER: LedgerLeaderPart(self.net, figures, self.leader_stopwatch)}
        )
        for name in self.gateways:
            self.net.host(name, lambda host: {LAYER: self._make_escrow(host, stocks)})
            self.net.at(self.net.rng.uniform(0, 1_000 / QUERIES_PER_S), self._query, name)

    def _make_escrow(self, host: VirtualHost, stocks: dict[str, int]) -> EscrowPart:
        escrow = TokenEscrow(host.name, host.incarnation, stocks, TERM_MS, random=host.rng)
        escrow.leader = LEDGER_LEADER, LedgerLeaderPart.generation
        return EscrowPart(escrow, self.gateway_stopwatch)

    def _query(self, gateway: str) -> None:
        ticket = next(self.tickets)
        self.net.call(gateway, LAYER, "take", self.net.rng.choice(self.tenants), ticket)
        self.net.at(self.net.now_ms + WORK_MS, self.net.call, gateway, LAYER, "settle", ticket)
        gap_ms = self.net.rng.expovariate(QUERIES_PER_S / 1_000)
        self.net.at(self.net.now_ms + gap_ms, self._query, gateway)

    @property
    def leader(self) -> LedgerLeaderPart:
        """Returns the ledger leader's part."""
        return self.net.hosts[LEDGER_LEADER].parts[LAYER]

    def sent(self, names: Sequence[str]) -> tuple[int, int]:
        """Returns the messages and bytes of bodies that these hosts have sent."""
        hosts = [self.net.hosts[n] for n in names]
        return sum(h.sent for h in hosts), sum(h.sent_bytes for h in hosts)

    def run_and_measure(self) -> dict[str, float]:
        """Runs a warm-up, then measures; returns figures a second."""
        self.net.run(WARM_UP_MS)
        self.gateway_stopwatch.reset()
        self.leader_stopwatch.reset()
        asks, answers, leader = self.sent(self.gateways), self.sent([LEDGER_LEADER]), self.leader
        records, record_bytes, pieces = leader.records, leader.record_bytes, leader.pieces
        self.net.run(WARM_UP_MS + MEASURED_MS)
        seconds = MEASURED_MS / 1_000
        later_asks, later_answers = self.sent(self.gateways), self.sent([LEDGER_LEADER])
        return {
            "asks": (later_asks[0] - asks[0]) / seconds,
            "ask_bytes": (later_asks[1] - asks[1]) / seconds,
            "answer_bytes": (later_answers[1] - answers[1]) / seconds,
            "front_ms": self.gateway_stopwatch.spent_ms / seconds / len(self.gateways),
            "keeper_ms": self.leader_stopwatch.spent_ms / seconds,
            "records": (leader.records - records) / seconds,
            "record_bytes": (leader.record_bytes - record_bytes) / seconds,
            "pieces": (leader.pieces - pieces) / seconds,
            "state": float(len(leader.part.committed.state())) if leader.part.committed else 0.0,
        }


def measure_gateway_escrow(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: tenants. Measures what one gateway sends, and its processor time, queries
    included.
    """
    samples = []
    for done, size in enumerate(sizes):
        found = Quota(GATEWAYS_FOR_TENANT_SIZES, size, seed).run_and_measure()
        per_gateway = {name: value / GATEWAYS_FOR_TENANT_SIZES for name, value in found.items()}
        samples += [
            Sample(size, "quota.front.asks", "1/s", (per_gateway["asks"],)),
            Sample(size, "quota.front.bytes_out", "B/s", (per_gateway["ask_bytes"],)),
            Sample(size, "quota.front.bytes_in", "B/s", (per_gateway["answer_bytes"],)),
            Sample(size, "quota.front.processor", "ms/s", (found["front_ms"],)),
        ]
        progress((done + 1) / len(sizes))
    return samples


def measure_ledger_leader(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: gateways with queries of `TENANTS_FOR_GATEWAY_SIZES` tenants each.
    Measures the one ledger leader.
    """
    samples = []
    for done, size in enumerate(sizes):
        found = Quota(size, TENANTS_FOR_GATEWAY_SIZES, seed).run_and_measure()
        samples += [
            Sample(size, "quota.keeper.asks", "1/s", (found["asks"],)),
            Sample(size, "quota.keeper.processor", "ms/s", (found["keeper_ms"],)),
            Sample(size, "quota.keeper.record_bytes", "B/s", (found["record_bytes"],)),
            Sample(size, "quota.keeper.pieces", "1/s", (found["pieces"],)),
            Sample(size, "quota.keeper.state", "bytes", (found["state"],)),
        ]
        progress((done + 1) / len(sizes))
    return samples

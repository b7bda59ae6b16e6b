"""What the fleet's quota costs: a front by tenants, and the ledger's keeper by fronts, in virtual time."""

from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

from lichenquay.quota.account_settings import account_terms
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_demand import idle_stocks
from lichenquay.quota.ledger_leader import LedgerLeader
from lichenquay.quota.ledger_records import split
from lichenquay.testbed.fleetnet import FleetNet, Host, Weather
from lichenquay.testbed.scale.sample import Progress, Sample, Stopwatch, TimedPart

KEEPER, LAYER = "keeper", "quota"
TERM_MS, WRITE_MS = 4_000.0, 10.0
QUERIES_PER_S, WORK_MS = 10.0, 20.0  # at each front, over all tenants
RATE_MS, BUCKET_MS = 100.0, 1_000.0  # of a tenant and front, a second: the quota grows with the fleet
WARM_MS, PLAY_MS = 2_000.0, 4_000.0
FRONTS_FOR_TENANTS, TENANTS_FOR_FRONTS = 2, 4


class KeeperPart(TimedPart):
    """The keeper with a group that it always holds: a record is kept by its voters after `WRITE_MS`."""

    generation = 1

    def __init__(self, net: FleetNet, figures: list[Any], stopwatch: Stopwatch):
        """`records`, `record_bytes` and `pieces` count what the group's voters would be sent."""
        super().__init__(LedgerLeader(self, figures, TERM_MS), stopwatch)
        self.net, self.records, self.record_bytes, self.pieces = net, 0, 0, 0

    def holds(self, now_ms: float) -> bool:
        """The group is never lost here."""
        return True

    def snapshot(self) -> tuple[bytes, list[bytes]]:
        """A new ledger."""
        return b"", []

    def append(self, now_ms: float, record: bytes, done: Callable[[float, bool], None]) -> None:
        """Kept later."""
        self.records, self.record_bytes = self.records + 1, self.record_bytes + len(record)
        self.pieces += len(split(record))
        self.net.at(self.net.now_ms + WRITE_MS, self.net.call, KEEPER, LAYER, "written", done)

    def written(self, now_ms: float, done: Callable[[float, bool], None]) -> None:
        """The group's answer."""
        with self.stopwatch.running():
            done(now_ms, True)


class RightsPart(TimedPart):
    """A front's rights, with the calls that its queries make."""

    def take(self, now_ms: float, tenant: str, ticket: int) -> None:
        """A query comes."""
        with self.stopwatch.running():
            self.part.reserve(now_ms, tenant, WORK_MS, ticket)

    def settle(self, now_ms: float, ticket: int) -> None:
        """Its work is told."""
        with self.stopwatch.running():
            self.part.settle(now_ms, ticket, WORK_MS)


class Quota:
    """A keeper and fronts, each front with a trickle of queries of all tenants."""

    def __init__(self, fronts: int, tenants: int, seed: int):
        """Messages take 1 to 5 ms; none is lost."""
        self.net = FleetNet(f"quota/{fronts}/{tenants}/{seed}", Weather(delay_ms=(1.0, 5.0)))
        self.tenants = [f"tenant-{i:04d}" for i in range(tenants)]
        self.fronts = [f"front-{i:04d}" for i in range(fronts)]
        figures = [account_terms(t, RATE_MS * fronts, BUCKET_MS * fronts) for t in self.tenants]
        self.at_fronts, self.at_keeper, self.tickets = Stopwatch(), Stopwatch(), count(1)
        stocks = idle_stocks(figures, fronts)
        self.net.host(KEEPER, lambda host: {LAYER: KeeperPart(self.net, figures, self.at_keeper)})
        for name in self.fronts:
            self.net.host(name, lambda host: {LAYER: self._rights(host, stocks)})
            self.net.at(self.net.rng.uniform(0, 1_000 / QUERIES_PER_S), self._query, name)

    def _rights(self, host: Host, stocks: dict[str, int]) -> RightsPart:
        rights = TokenEscrow(host.name, host.incarnation, stocks, TERM_MS, random=host.rng)
        rights.leader = KEEPER, KeeperPart.generation
        return RightsPart(rights, self.at_fronts)

    def _query(self, front: str) -> None:
        ticket = next(self.tickets)
        self.net.call(front, LAYER, "take", self.net.rng.choice(self.tenants), ticket)
        self.net.at(self.net.now_ms + WORK_MS, self.net.call, front, LAYER, "settle", ticket)
        gap_ms = self.net.rng.expovariate(QUERIES_PER_S / 1_000)
        self.net.at(self.net.now_ms + gap_ms, self._query, front)

    @property
    def keeper(self) -> KeeperPart:
        """The keeper's part."""
        return self.net.hosts[KEEPER].parts[LAYER]

    def sent(self, names: Sequence[str]) -> tuple[int, int]:
        """Messages and bytes of body that these have sent."""
        hosts = [self.net.hosts[n] for n in names]
        return sum(h.sent for h in hosts), sum(h.sent_bytes for h in hosts)

    def play(self) -> dict[str, float]:
        """A warm-up, then figures a second of what follows."""
        self.net.run(WARM_MS)
        self.at_fronts.reset()
        self.at_keeper.reset()
        asks, answers, keeper = self.sent(self.fronts), self.sent([KEEPER]), self.keeper
        records, record_bytes, pieces = keeper.records, keeper.record_bytes, keeper.pieces
        self.net.run(WARM_MS + PLAY_MS)
        seconds = PLAY_MS / 1_000
        later_asks, later_answers = self.sent(self.fronts), self.sent([KEEPER])
        return {
            "asks": (later_asks[0] - asks[0]) / seconds,
            "ask_bytes": (later_asks[1] - asks[1]) / seconds,
            "answer_bytes": (later_answers[1] - answers[1]) / seconds,
            "front_ms": self.at_fronts.spent_ms / seconds / len(self.fronts),
            "keeper_ms": self.at_keeper.spent_ms / seconds,
            "records": (keeper.records - records) / seconds,
            "record_bytes": (keeper.record_bytes - record_bytes) / seconds,
            "pieces": (keeper.pieces - pieces) / seconds,
            "state": float(len(keeper.part.committed.state())) if keeper.part.committed else 0.0,
        }


def measure_fronts_part(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: tenants. What one front sends, and its processor time, queries included."""
    samples = []
    for done, size in enumerate(sizes):
        found = Quota(FRONTS_FOR_TENANTS, size, seed).play()
        per_front = {name: value / FRONTS_FOR_TENANTS for name, value in found.items()}
        samples += [
            Sample(size, "quota.front.asks", "1/s", (per_front["asks"],)),
            Sample(size, "quota.front.bytes_out", "B/s", (per_front["ask_bytes"],)),
            Sample(size, "quota.front.bytes_in", "B/s", (per_front["answer_bytes"],)),
            Sample(size, "quota.front.processor", "ms/s", (found["front_ms"],)),
        ]
        progress((done + 1) / len(sizes))
    return samples


def measure_keeper(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: fronts, with queries of `TENANTS_FOR_FRONTS` tenants each. What the one keeper does."""
    samples = []
    for done, size in enumerate(sizes):
        found = Quota(size, TENANTS_FOR_FRONTS, seed).play()
        samples += [
            Sample(size, "quota.keeper.asks", "1/s", (found["asks"],)),
            Sample(size, "quota.keeper.processor", "ms/s", (found["keeper_ms"],)),
            Sample(size, "quota.keeper.record_bytes", "B/s", (found["record_bytes"],)),
            Sample(size, "quota.keeper.pieces", "1/s", (found["pieces"],)),
            Sample(size, "quota.keeper.state", "bytes", (found["state"],)),
        ]
        progress((done + 1) / len(sizes))
    return samples

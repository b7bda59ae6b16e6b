"""Compares quota by escrow with local sampling, on the same traffic in virtual time, over seeds. Prints JSON.

    python -m lichenquay.testbed.quotas --seeds 20

With escrow, gateways hold tokens of the fleet's ledger. With local sampling, the method without a ledger,
each gateway estimates by chance from its own traffic. A reference decides which queries are within quota: one
bucket for each tenant, which sees every query at once; no fleet can have it. Figures of each method:
`within_judged_beyond`, the share of the reference's within-quota queries that are judged beyond quota;
`beyond_judged_within`, the reverse; `work`, the work judged within quota relative to the reference's (of a
tenant over its quota, which queries are within depends on their order, how much work is within doesn't).
Means with 95 % intervals by bootstrap over the seeds.
"""

import argparse
import json
from collections import defaultdict
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace

import numpy as np

from lichenquay.admission.domain import Tenant
from lichenquay.admission.tenant_quota import TenantQuota
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_demand import idle_stocks
from lichenquay.quota.ledger_leader import LedgerLeader

RATE_MS_PER_S = 250.0  # quota of each tenant: ms of work per second
WORK_MS = 20.0  # mean work of a query
TERM_MS, PERIOD_MS = 5000.0, 250.0  # of the escrow
SAMPLING_WINDOW_MS = 500.0  # bucket width of the window over which a gateway measures its own traffic
# name: (requested share of its rate, weights of the gateways that get its queries, burst factor)
TENANTS = {
    "even": (0.5, (1, 1, 1, 1), 1),
    "one front": (0.8, (1, 0, 0, 0), 1),
    "bursts": (0.5, (0, 1, 0, 0), 5),
    "moves": (0.6, None, 1),
    "over": (2.0, (3, 1, 1, 0), 1),
}
GATEWAYS = 4


def generate_queries(seed, seconds):
    """Returns all queries by time: (time in ms, tenant, gateway, estimate in ms, work in ms)."""
    rng, queries = Random(seed), []
    for tenant, (requested_share, gateway_weights, burst_factor) in TENANTS.items():
        now_ms, queries_per_ms = 0.0, requested_share * RATE_MS_PER_S / WORK_MS / 1000
        while now_ms < seconds * 1000:
            # The same mean rate, concentrated in the start of each 5 s.
            is_bursting = burst_factor == 1 or now_ms % 5000 < 5000 / burst_factor
            now_ms += rng.expovariate(queries_per_ms * burst_factor) if is_bursting else 5000 - now_ms % 5000
            if not is_bursting:
                continue
            gateway = (
                int(now_ms // 10000) % GATEWAYS
                if gateway_weights is None
                else rng.choices(range(GATEWAYS), gateway_weights)[0]
            )
            work = WORK_MS * rng.lognormvariate(-0.32, 0.8)
            queries.append((now_ms, tenant, gateway, work * rng.lognormvariate(-0.045, 0.3), work))
    return sorted(queries)


class ReferenceBucket:
    """The reference: one token bucket for each tenant."""

    def __init__(self, seed, bucket_ms):
        """All buckets are full."""
        self.bucket_ms = bucket_ms
        self.balance_ms, self.updated_ms = dict.fromkeys(TENANTS, bucket_ms), dict.fromkeys(TENANTS, 0.0)

    def decide(self, now_ms, tenant, gateway, estimate, work):
        """Decides whether a query is within quota, and takes its work if so."""
        balance_ms = min(
            self.bucket_ms,
            self.balance_ms[tenant] + (now_ms - self.updated_ms[tenant]) * RATE_MS_PER_S / 1000,
        )
        within = balance_ms >= estimate
        self.balance_ms[tenant], self.updated_ms[tenant] = balance_ms - (work if within else 0.0), now_ms
        return within


class LocalSampling:
    """The method without a ledger: each gateway decides by chance, from its own traffic."""

    def __init__(self, seed, bucket_ms):
        """Starts a quota on each gateway."""
        rng = Random(seed).random
        self.tenants = {
            tenant: Tenant(tenant, 1 / len(TENANTS), RATE_MS_PER_S / WORK_MS, 0.0) for tenant in TENANTS
        }
        self.quotas = [
            TenantQuota(list(self.tenants.values()), SAMPLING_WINDOW_MS, rng) for _ in range(GATEWAYS)
        ]

    def decide(self, now_ms, tenant, gateway, estimate, work):
        """Decides whether a query is within quota."""
        query = SimpleNamespace(over_quota=None, tenant=self.tenants[tenant])
        return not self.quotas[gateway].record_and_check(query, now_ms)

    def account_figures(self, tenant, seconds):
        """Returns no figures: there are no accounts."""
        return {}


class StaticLeaseGroup:
    """A stand-in for the ledger's lease group with a permanent holder; a write takes 10 ms."""

    generation = 1

    def __init__(self, clock):
        """Completes writes on `clock`."""
        self.clock = clock

    def holds(self, now_ms):
        """Returns that the lease is held."""
        return True

    def snapshot(self):
        """Returns an empty state and no records."""
        return b"", []

    def append(self, now_ms, record, done):
        """Completes the write in 10 ms."""
        self.clock.call_later(10.0, lambda: done(self.clock.now_ms, True))


class VirtualTime:
    """Virtual time with scheduled calls."""

    def __init__(self):
        """Starts at 0 ms."""
        self.now_ms, self.events, self.number = 0.0, [], 0

    def call_later(self, after_ms, call):
        """Schedules a call in `after_ms`."""
        self.number += 1
        heappush(self.events, (self.now_ms + after_ms, self.number, call))

    def run(self, until):
        """Runs all calls that are due by a time, in order."""
        while self.events and self.events[0][0] <= until:
            self.now_ms, _, call = heappop(self.events)
            call()
        self.now_ms = until


class EscrowFleet:
    """The ledger's leader and an escrow on each gateway. Messages take 1 to 5 ms; a query takes as long as
    its work. `credit` is in seconds of a tenant's rate.
    """

    def __init__(self, seed, bucket_ms, credit=0.0):
        """Starts all parts and runs them for 2 s."""
        self.clock, self.rng, self.query_number = VirtualTime(), Random(seed), 0
        terms = [
            pb.Open(
                tenant=t,
                rate_us=int(RATE_MS_PER_S * 1000),
                bucket_us=int(bucket_ms * 1000),
                term_ms=10000,
                limit_us=int(credit * RATE_MS_PER_S * 1000),
                repay_permille=500,
                lend_permille=250,
            )
            for t in TENANTS
        ]
        self.ledger = LedgerLeader(StaticLeaseGroup(self.clock), terms, TERM_MS, PERIOD_MS)
        stocks = idle_stocks(terms, GATEWAYS)
        self.escrows = [
            TokenEscrow(f"f{i}", 1, stocks, TERM_MS, PERIOD_MS, self.rng) for i in range(GATEWAYS)
        ]
        for escrow in self.escrows:
            escrow.leader = "f0", 1
        self.exchange_messages()
        self.clock.run(2000.0)  # the gateways have run for a while
        self.start_ms = self.clock.now_ms

    def exchange_messages(self):
        """Runs ticks that are due and sends all messages; repeats each 5 ms."""
        now_ms = self.clock.now_ms
        for part in (*self.escrows, self.ledger):
            if now_ms >= part.due_ms:
                part.tick(now_ms)
            for to, message in part.outbox:
                self.clock.call_later(
                    self.rng.uniform(1, 5),
                    lambda part=part, to=to, message=message: self.deliver(part, to, message),
                )
            part.outbox.clear()
        self.clock.call_later(5.0, self.exchange_messages)

    def deliver(self, part, to, message):
        """Delivers a message between the ledger and an escrow."""
        if part is self.ledger:
            self.escrows[int(to[1:])].on_message(self.clock.now_ms, ("f0", 1), message)
        else:
            self.ledger.on_message(self.clock.now_ms, (part.gateway, 1), message)

    def decide(self, now_ms, tenant, gateway, estimate, work):
        """Decides whether a query is within quota; its tokens are settled when it ends."""
        self.clock.run(self.start_ms + now_ms)
        self.query_number += 1
        escrow, query_number = self.escrows[gateway], self.query_number
        within = escrow.reserve(self.clock.now_ms, tenant, estimate, query_number)
        if within:
            self.clock.call_later(work, lambda: escrow.settle(self.clock.now_ms, query_number, work))
        return within

    def account_figures(self, tenant, seconds):
        """Returns what the tenant borrowed and repaid."""
        account = self.ledger.committed.accounts[tenant]
        return {"borrowed_ms": account.borrowed_us / 1000, "repaid_ms": account.repaid_us / 1000}


POLICIES = {
    "by chance (today)": LocalSampling,
    "by rights": EscrowFleet,
    "by rights, with credit": lambda *arguments: EscrowFleet(*arguments, credit=1.0),
}


def run(seed, seconds, bucket_ms):
    """Returns {method: {tenant: figures}} for one seed."""
    queries = generate_queries(seed, seconds)
    policies = {
        name: make_policy(seed, bucket_ms)
        for name, make_policy in {"reference": ReferenceBucket, **POLICIES}.items()
    }
    decisions = {name: [policy.decide(*query) for query in queries] for name, policy in policies.items()}
    out = {}
    for policy in POLICIES:
        sums_by_tenant = defaultdict(lambda: defaultdict(float))
        for (_, tenant, _, _, work), expected, decided in zip(
            queries, decisions["reference"], decisions[policy], strict=True
        ):
            sums = sums_by_tenant[tenant]
            sums["within" if expected else "beyond"] += 1
            sums["wrong_within" if expected else "wrong_beyond"] += expected != decided
            sums["right_work"] += work * expected
            sums["said_work"] += work * decided
        out[policy] = {
            tenant: {
                "within_judged_beyond": sums["wrong_within"] / max(1, sums["within"]),
                "beyond_judged_within": sums["wrong_beyond"] / sums["beyond"]
                if sums["beyond"] >= 20
                else None,
                "work": sums["said_work"] / sums["right_work"],
                **policies[policy].account_figures(tenant, seconds),
            }
            for tenant, sums in sums_by_tenant.items()
        }
    return out


def interval(values):
    """Returns the mean and its 95 % interval by bootstrap; None with fewer than two values."""
    values = np.array([v for v in values if v is not None])
    if len(values) < 2:
        return None
    means = np.random.default_rng(1).choice(values, (2000, len(values))).mean(axis=1)
    return [round(float(x), 4) for x in (values.mean(), *np.percentile(means, [2.5, 97.5]))]


def compare(seeds, seconds, bucket_ms, first=1):
    """Returns {method: {tenant: {figure: interval}}} over so many seeds, from `first` on."""
    runs = [run(first + i, seconds, bucket_ms) for i in range(seeds)]
    return {
        policy: {
            t: {
                figure: interval([run_figures[policy][t][figure] for run_figures in runs])
                for figure in runs[0][policy][t]
            }
            for t in TENANTS
        }
        for policy in POLICIES
    }


def main():
    """Runs the comparison that the command line describes."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--bucket-ms", type=float, default=500.0)
    args = parser.parse_args()
    results = compare(args.seeds, args.seconds, args.bucket_ms)
    print(
        json.dumps(
            {
                "seeds": args.seeds,
                "seconds": args.seconds,
                "fronts": GATEWAYS,
                "rate_ms": RATE_MS_PER_S,
                "bucket_ms": args.bucket_ms,
                "work_ms": WORK_MS,
                "ways": results,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()

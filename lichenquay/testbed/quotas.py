"""Quota of a fleet by rights that fronts hold, beside today's way (each front judges by chance from what it alone
takes): the same traffic in virtual time, tenant by tenant, over seeds. Prints JSON: `python -m lichenquay.testbed.quotas
--seeds 20`.

What is right is told by a reference that no fleet has: one bucket for each tenant that sees every query at once. For
each way: `within_judged_beyond`, the share of the reference's within-quota queries that are judged beyond;
`beyond_judged_within` the other way round; `work`, the work judged within as a part of the reference's (which query
of a tenant over its quota is within is a matter of turns, how much is not). Means with 95 % intervals by bootstrap
over the seeds."""

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

RATE, WORK_MS = 250.0, 20.0  # of each tenant: ms of work a second; mean of a query
TERM_MS, PERIOD_MS, QUICKEST_MS = 5000.0, 250.0, 500.0
# share of its rate that a tenant asks for; how its queries fall on fronts; how many times more in bursts
TENANTS = {
    "even": (0.5, (1, 1, 1, 1), 1),
    "one front": (0.8, (1, 0, 0, 0), 1),
    "bursts": (0.5, (0, 1, 0, 0), 5),
    "moves": (0.6, None, 1),
    "over": (2.0, (3, 1, 1, 0), 1),
}
FRONTS = 4


def traffic(seed, seconds):
    """Queries of all tenants by time: (ms, tenant, front, estimate, work)."""
    chance, out = Random(seed), []
    for tenant, (part, fall, burst) in TENANTS.items():
        now, per_ms = 0.0, part * RATE / WORK_MS / 1000
        while now < seconds * 1000:
            on = burst == 1 or now % 5000 < 5000 / burst  # the same mean, all in the first part of each 5 s
            now += chance.expovariate(per_ms * burst) if on else 5000 - now % 5000
            if not on:
                continue
            front = int(now // 10000) % FRONTS if fall is None else chance.choices(range(FRONTS), fall)[0]
            work = WORK_MS * chance.lognormvariate(-0.32, 0.8)
            out.append((now, tenant, front, work * chance.lognormvariate(-0.045, 0.3), work))
    return sorted(out)


class OneBucket:
    """The reference."""

    def __init__(self, seed, bucket_ms):
        self.most = bucket_ms
        self.left, self.at = dict.fromkeys(TENANTS, bucket_ms), dict.fromkeys(TENANTS, 0.0)

    def judge(self, now, tenant, front, estimate, work):
        left = min(self.most, self.left[tenant] + (now - self.at[tenant]) * RATE / 1000)
        within = left >= estimate
        self.left[tenant], self.at[tenant] = left - (work if within else 0.0), now
        return within


class ByChance:
    """Today: the controller's own judgement, at each front."""

    def __init__(self, seed, bucket_ms):
        chance = Random(seed).random
        self.tenants = {t: Tenant(t, 1 / len(TENANTS), RATE / WORK_MS, 0.0) for t in TENANTS}
        self.fronts = [TenantQuota(list(self.tenants.values()), QUICKEST_MS, chance) for _ in range(FRONTS)]

    def judge(self, now, tenant, front, estimate, work):
        query = SimpleNamespace(over_quota=None, tenant=self.tenants[tenant])
        return not self.fronts[front].record_and_check(query, now)

    def of(self, tenant, seconds):
        return {}


class OneHolder:
    """The ledger's group with a holder that stays; a write takes 10 ms."""

    generation = 1

    def __init__(self, later):
        self.later = later

    def holds(self, now_ms):
        return True

    def snapshot(self):
        return b"", []

    def append(self, now_ms, record, done):
        self.later(10.0, lambda: done(self.later.now, True))


class Later:
    """Virtual time."""

    def __init__(self):
        self.now, self.events, self.number = 0.0, [], 0

    def __call__(self, after_ms, what):
        self.number += 1
        heappush(self.events, (self.now + after_ms, self.number, what))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heappop(self.events)
            what()
        self.now = until


class ByRights:
    """Ledger, keeper and rights; messages take 1 to 5 ms, a query its work in time. `credit`: of what a second
    accrues."""

    def __init__(self, seed, bucket_ms, credit=0.0):
        self.later, self.chance, self.ticket = Later(), Random(seed), 0
        figures = [
            pb.Open(
                tenant=t,
                rate_us=int(RATE * 1000),
                bucket_us=int(bucket_ms * 1000),
                term_ms=10000,
                limit_us=int(credit * RATE * 1000),
                repay_permille=500,
                lend_permille=250,
            )
            for t in TENANTS
        ]
        self.keeper = LedgerLeader(OneHolder(self.later), figures, TERM_MS, PERIOD_MS)
        stocks = idle_stocks(figures, FRONTS)
        self.rights = [
            TokenEscrow(f"f{i}", 1, stocks, TERM_MS, PERIOD_MS, self.chance) for i in range(FRONTS)
        ]
        for r in self.rights:
            r.leader = "f0", 1
        self.step()
        self.later.run(2000.0)  # fronts have been up for a while
        self.start = self.later.now

    def step(self):
        now = self.later.now
        for part in (*self.rights, self.keeper):
            if now >= part.due_ms:
                part.tick(now)
            for to, message in part.outbox:
                self.later(self.chance.uniform(1, 5), lambda p=part, t=to, m=message: self.deliver(p, t, m))
            part.outbox.clear()
        self.later(5.0, self.step)

    def deliver(self, part, to, message):
        if part is self.keeper:
            self.rights[int(to[1:])].on_message(self.later.now, ("f0", 1), message)
        else:
            self.keeper.on_message(self.later.now, (part.gateway, 1), message)

    def judge(self, now, tenant, front, estimate, work):
        self.later.run(self.start + now)
        self.ticket += 1
        rights, ticket = self.rights[front], self.ticket
        within = rights.reserve(self.later.now, tenant, estimate, ticket)
        if within:
            self.later(work, lambda: rights.settle(self.later.now, ticket, work))
        return within

    def of(self, tenant, seconds):
        a = self.keeper.committed.accounts[tenant]
        return {"borrowed_ms": a.borrowed_us / 1000, "repaid_ms": a.repaid_us / 1000}


WAYS = {
    "by chance (today)": ByChance,
    "by rights": ByRights,
    "by rights, with credit": lambda *of: ByRights(*of, credit=1.0),
}


def run(seed, seconds, bucket_ms):
    """{way: {tenant: figures}} of one seed."""
    queries = traffic(seed, seconds)
    judges = {name: make(seed, bucket_ms) for name, make in {"reference": OneBucket, **WAYS}.items()}
    judged = {name: [judge.judge(*q) for q in queries] for name, judge in judges.items()}
    out = {}
    for way in WAYS:
        sums = defaultdict(lambda: defaultdict(float))
        for (_, tenant, _, _, work), right, said in zip(queries, judged["reference"], judged[way]):
            s = sums[tenant]
            s["within" if right else "beyond"] += 1
            s["wrong_within" if right else "wrong_beyond"] += right != said
            s["right_work"] += work * right
            s["said_work"] += work * said
        out[way] = {
            t: {
                "within_judged_beyond": s["wrong_within"] / max(1, s["within"]),
                "beyond_judged_within": s["wrong_beyond"] / s["beyond"] if s["beyond"] >= 20 else None,
                "work": s["said_work"] / s["right_work"],
                **judges[way].of(t, seconds),
            }
            for t, s in sums.items()
        }
    return out


def interval(values):
    """Mean and 95 % interval by bootstrap; None where the runs have too few such queries."""
    values = np.array([v for v in values if v is not None])
    if len(values) < 2:
        return None
    means = np.random.default_rng(1).choice(values, (2000, len(values))).mean(axis=1)
    return [round(float(x), 4) for x in (values.mean(), *np.percentile(means, [2.5, 97.5]))]


def compare(seeds, seconds, bucket_ms, first=1):
    runs = [run(first + i, seconds, bucket_ms) for i in range(seeds)]
    return {
        way: {t: {k: interval([r[way][t][k] for r in runs]) for k in runs[0][way][t]} for t in TENANTS}
        for way in WAYS
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--bucket-ms", type=float, default=500.0)
    args = parser.parse_args()
    ways = compare(args.seeds, args.seconds, args.bucket_ms)
    print(
        json.dumps(
            {
                "seeds": args.seeds,
                "seconds": args.seconds,
                "fronts": FRONTS,
                "rate_ms": RATE,
                "bucket_ms": args.bucket_ms,
                "work_ms": WORK_MS,
                "ways": ways,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()

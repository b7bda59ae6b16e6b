"""Weighs `members` against phi-accrual and a small Rapid in one virtual network; prints JSON (docs/design/membership.md).

    python -m lichenquay.testbed.detectors [--sizes 10,200] [--seeds N] [--minutes M] [--only members,phi,...]

An episode is a time in which at least one front holds a front that runs for cut. `split_ms`: how long, in all, some
held it for cut while others did not. Times to detect run from the kill to the last watcher's verdict. Intervals: 95
of 100 (rates: Poisson's; times: bootstrap over the kills).
"""

import argparse
import json
import random
import sys
import time

from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.member_state import MemberRecord, MemberState
from lichenquay.membership.settings import Settings
from lichenquay.testbed.baseline_policies import Phi, Rapid
from lichenquay.testbed.observed_fleet import ObservedFleet
from lichenquay.testbed.virtual_network import LinkConditions, VirtualNetwork

PAUSE_MS, PAUSE_EVERY_MS, ONE_SIDED_MS = 2_000, 10_000, 20_000
WARM_MS = 5_000


def make_informed_detector(name, incarnation, names, rng, now_ms):
    """A make_informed_detector that knows the fleet already: joining is not what is measured."""
    w = FailureDetector(name, incarnation, names, rng, Settings(), now_ms)
    for n in names:
        if n != name:
            w.table.apply(now_ms, MemberRecord(n, 1, 0, MemberState.ALIVE))
    w.changes.clear()
    return w


KINDS = {
    "members": make_informed_detector,
    "phi": lambda *a: Phi(*a, watchers=10),
    "phi, 2 s borne": lambda *a: Phi(*a, watchers=10, pause_ms=2_000.0),
    "rapid": Rapid,
    "rapid, 2 s borne": lambda *a: Rapid(*a, window=14, fails=12),
}


class Trial:
    """One fleet of one kind; `held`: target -> who holds it for cut."""

    def __init__(self, kind, n, seed, loss):
        self.names = [f"f{i}" for i in range(n)]
        self.net = VirtualNetwork(f"{kind}/{n}/{seed}/{loss}", LinkConditions(loss=loss))
        self.held = {name: set() for name in self.names}
        self.episodes, self.split_ms, self.since = 0, 0.0, {}
        self.watchers = {}
        make = KINDS[kind]
        self.net.after = self._after
        for name in self.names:
            self.net.host(
                name,
                lambda h: {"it": make(h.name, h.incarnation, self.names, h.rng, h.now_ms())},
                offset_ms=self.net.rng.uniform(0, 1e6),
            )
        for name, h in self.net.hosts.items():
            for target in getattr(h.parts["it"], "watched", self.names):
                if target != name:
                    self.watchers.setdefault(target, set()).add(name)
        self.net.run(WARM_MS)
        self.episodes, self.split_ms = 0, 0.0

    def _after(self, host, _, part):
        for change in part.changes:
            name, state = (change.name, change.new_state) if hasattr(change, "view_number") else change
            if name != host.name and state in ("faulty", "removed", "alive"):
                self._verdict(host.name, name, state != "alive")
        part.changes.clear()

    def _verdict(self, by, name, cut):
        held = self.held[name]
        began = not held
        (held.add if cut else held.discard)(by)
        self.episodes += began and bool(held)
        split = bool(held) and not self.watchers.get(name, set()) <= held
        if split:
            self.since.setdefault(name, self.net.now_ms)
        elif name in self.since:
            self.split_ms += self.net.now_ms - self.since.pop(name)

    def traffic(self):
        return sum(h.sent for h in self.net.hosts.values()), sum(
            h.sent_bytes for h in self.net.hosts.values()
        )


def detect(kind, n, seed, loss=0.1):
    t = Trial(kind, n, seed, loss)
    victim = t.names[seed % n]
    t.net.run(t.net.now_ms + t.net.rng.uniform(0, 1_000))
    began, watchers = t.net.now_ms, t.watchers[victim] - {victim}
    t.net.kill(victim)
    return t.net.now_ms - began if t.net.run(began + 60_000, lambda: watchers <= t.held[victim]) else None


def false_verdicts(kind, n, seed, loss, minutes, pauses):
    t = Trial(kind, n, seed, loss)
    (sent, size), began = t.traffic(), t.net.now_ms
    if pauses:
        for i in range(int(minutes * 60_000 / PAUSE_EVERY_MS) - 1):
            at = began + PAUSE_EVERY_MS * (i + t.net.rng.uniform(0, 0.5))
            t.net.at(at, t.net.pause, t.net.rng.choice(t.names), PAUSE_MS)
    t.net.run(began + 60_000 * minutes)
    more, most = t.traffic()
    return t.episodes, (more - sent) / (60 * minutes * n), (most - size) / (60 * minutes * n)


def one_sided(kind, n, seed):
    """f0 is not heard by half of the others for 20 s."""
    t = Trial(kind, n, seed, 0.01)
    began = t.net.now_ms
    t.net.between(["f0"], t.names[1 : 1 + n // 2], cut=True)
    t.net.run(began + ONE_SIDED_MS)
    t.net.reset_links()
    t.net.run(t.net.now_ms + 15_000)
    return {
        "episodes": t.episodes,
        "split_ms": round(t.split_ms + sum(t.net.now_ms - s for s in t.since.values())),
    }


def agreement(n, seed, loss=0.1):
    """Watches only: two parts apart for 20 s, then mended: the time until all hold one view with all fronts alive."""
    fleet = ObservedFleet([f"f{i}" for i in range(n)], seed, LinkConditions(loss=loss))
    fleet.until(fleet.views_agree, 60_000)
    fleet.run(WARM_MS)
    fleet.net.split(fleet.names[:2], fleet.names[2:])
    fleet.run(20_000)
    fleet.net.reset_links()
    return fleet.until(fleet.views_agree, 60_000, 10)


def poisson(k, hours):
    """The rate an hour with its interval (Wilson and Hilferty's approximation of the exact one)."""

    def edge(k, z):
        return 0.0 if k <= 0 else k * (1 - 1 / (9 * k) + z / (3 * k**0.5)) ** 3

    return [round(x / hours, 2) for x in (k, edge(k, -1.96), edge(k + 1, 1.96))]


def quantile(some, q):
    some = sorted(some)
    return some[min(len(some) - 1, int(q * len(some)))]


def interval(some, q, rng):
    drawn = sorted(quantile(rng.choices(some, k=len(some)), q) for _ in range(400))
    return [round(quantile(some, q)), round(drawn[10]), round(drawn[389])]


def measure(kind, n, seeds, kills, minutes):
    rng, began = random.Random(1), time.process_time()
    took = [detect(kind, n, seed) for seed in range(kills)]
    known = [x for x in took if x is not None]
    row = {"kind": kind, "fronts": n, "kills": kills, "never": took.count(None)}
    if known:
        row["detect_p50_ms"], row["detect_p99_ms"] = interval(known, 0.5, rng), interval(known, 0.99, rng)
    for loss in (0.01, 0.05, 0.2):
        for pauses in (False, True):
            runs = [false_verdicts(kind, n, seed, loss, minutes, pauses) for seed in range(seeds)]
            row[f"false_an_hour_{round(100 * loss)}{'_pauses' if pauses else ''}"] = poisson(
                sum(e for e, _, _ in runs), seeds * minutes / 60
            )
            if not pauses:
                row[f"sent_a_second_{round(100 * loss)}"] = [
                    round(sum(r[i] for r in runs) / seeds, 1) for i in (1, 2)
                ]
    row["one_sided"] = [one_sided(kind, n, seed) for seed in range(seeds)]
    if kind == "members" and n <= 20:
        row["views_agree_ms"] = interval([agreement(n, seed) for seed in range(kills // 3)], 0.99, rng)
    row["cpu_s"] = round(time.process_time() - began, 1)
    return row


def main(argv=None):
    p = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    p.add_argument("--sizes", default="10")
    p.add_argument("--seeds", type=int, default=3)
    p.add_argument("--kills", type=int, default=50)
    p.add_argument("--minutes", type=float, default=1.0)
    p.add_argument("--only", default=";".join(KINDS), help="kinds, split by ';'")
    a = p.parse_args(argv)
    for n in map(int, a.sizes.split(",")):
        for kind in a.only.split(";"):
            json.dump(measure(kind, n, a.seeds, a.kills, a.minutes), sys.stdout)
            print(flush=True)


if __name__ == "__main__":
    main()

"""Compares the failure detector with phi-accrual and a small Rapid in one simulated network; prints JSON.

    python -m lichenquay.testbed.detectors [--sizes 10,200] [--seeds N] [--minutes M] [--only members;phi;...]

An episode is a time in which at least one gateway considers a running gateway faulty. `split_ms` is the total
time in which some do and others do not. Detection times run from the kill to the last watcher's verdict.
Intervals are at 95 % (rates: Poisson; times: bootstrap over the kills). The design is in
docs/design/membership.md.
"""

import argparse
import json
import random
import sys
import time

from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.member_state import MemberRecord, MemberState
from lichenquay.membership.settings import Settings
from lichenquay.testbed.baseline_policies import PhiAccrual, Rapid
from lichenquay.testbed.observed_fleet import ObservedFleet
from lichenquay.testbed.virtual_network import LinkConditions, VirtualNetwork

PAUSE_MS, PAUSE_INTERVAL_MS, ASYMMETRIC_CUT_MS = 2_000, 10_000, 20_000
WARM_UP_MS = 5_000


def make_informed_detector(name, incarnation, names, rng, now_ms):
    """Returns a failure detector that already knows the fleet: joining is not measured."""
    detector = FailureDetector(name, incarnation, names, rng, Settings(), now_ms)
    for member in names:
        if member != name:
            detector.table.apply(now_ms, MemberRecord(member, 1, 0, MemberState.ALIVE))
    detector.changes.clear()
    return detector


DETECTORS = {
    "members": make_informed_detector,
    "phi": lambda *arguments: PhiAccrual(*arguments, watchers=10),
    "phi, 2 s borne": lambda *arguments: PhiAccrual(*arguments, watchers=10, pause_ms=2_000.0),
    "rapid": Rapid,
    "rapid, 2 s borne": lambda *arguments: Rapid(*arguments, window=14, min_failures=12),
}


class FleetTrial:
    """One fleet of one kind of detector. `accusers_of`: {gateway: those that consider it faulty}."""

    def __init__(self, kind, gateway_count, seed, loss):
        """Starts the fleet, and counts episodes only after a warm-up."""
        self.names = [f"f{i}" for i in range(gateway_count)]
        self.net = VirtualNetwork(f"{kind}/{gateway_count}/{seed}/{loss}", LinkConditions(loss=loss))
        self.accusers_of = {name: set() for name in self.names}
        self.episodes, self.split_ms, self.split_since_ms = 0, 0.0, {}
        self.watchers = {}
        make = DETECTORS[kind]
        self.net.after = self._after
        for name in self.names:
            self.net.host(
                name,
                lambda host: {"it": make(host.name, host.incarnation, self.names, host.rng, host.now_ms())},
                offset_ms=self.net.rng.uniform(0, 1e6),
            )
        for name, host in self.net.hosts.items():
            for target in getattr(host.parts["it"], "watched", self.names):
                if target != name:
                    self.watchers.setdefault(target, set()).add(name)
        self.net.run(WARM_UP_MS)
        self.episodes, self.split_ms = 0, 0.0

    def _after(self, host, _, part):
        for change in part.changes:
            name, state = (change.name, change.new_state) if hasattr(change, "view_number") else change
            if name != host.name and state in ("faulty", "removed", "alive"):
                self._record_verdict(host.name, name, state != "alive")
        part.changes.clear()

    def _record_verdict(self, watcher, name, is_faulty):
        accusers = self.accusers_of[name]
        had_no_accusers = not accusers
        (accusers.add if is_faulty else accusers.discard)(watcher)
        self.episodes += had_no_accusers and bool(accusers)
        is_split = bool(accusers) and not self.watchers.get(name, set()) <= accusers
        if is_split:
            self.split_since_ms.setdefault(name, self.net.now_ms)
        elif name in self.split_since_ms:
            self.split_ms += self.net.now_ms - self.split_since_ms.pop(name)

    def traffic(self):
        """Returns the messages and bytes sent so far, of all gateways."""
        return sum(host.sent for host in self.net.hosts.values()), sum(
            host.sent_bytes for host in self.net.hosts.values()
        )


def detection_time_ms(kind, gateway_count, seed, loss=0.1):
    """Returns the time from a kill until all watchers consider the gateway faulty; None after 60 s."""
    trial = FleetTrial(kind, gateway_count, seed, loss)
    victim = trial.names[seed % gateway_count]
    trial.net.run(trial.net.now_ms + trial.net.rng.uniform(0, 1_000))
    started_ms, watchers = trial.net.now_ms, trial.watchers[victim] - {victim}
    trial.net.kill(victim)
    return (
        trial.net.now_ms - started_ms
        if trial.net.run(started_ms + 60_000, lambda: watchers <= trial.accusers_of[victim])
        else None
    )


def measure_false_verdicts(kind, gateway_count, seed, loss, minutes, pauses):
    """Returns the episodes of running gateways, and the messages and bytes sent per second and gateway."""
    trial = FleetTrial(kind, gateway_count, seed, loss)
    (sent_before, bytes_before), started_ms = trial.traffic(), trial.net.now_ms
    if pauses:
        for i in range(int(minutes * 60_000 / PAUSE_INTERVAL_MS) - 1):
            at = started_ms + PAUSE_INTERVAL_MS * (i + trial.net.rng.uniform(0, 0.5))
            trial.net.at(at, trial.net.pause, trial.net.rng.choice(trial.names), PAUSE_MS)
    trial.net.run(started_ms + 60_000 * minutes)
    sent_after, bytes_after = trial.traffic()
    return (
        trial.episodes,
        (sent_after - sent_before) / (60 * minutes * gateway_count),
        (bytes_after - bytes_before) / (60 * minutes * gateway_count),
    )


def measure_asymmetric_cut(kind, gateway_count, seed):
    """Returns the episodes and split time when half of the others don't hear f0 for 20 s."""
    trial = FleetTrial(kind, gateway_count, seed, 0.01)
    started_ms = trial.net.now_ms
    trial.net.between(["f0"], trial.names[1 : 1 + gateway_count // 2], cut=True)
    trial.net.run(started_ms + ASYMMETRIC_CUT_MS)
    trial.net.reset_links()
    trial.net.run(trial.net.now_ms + 15_000)
    return {
        "episodes": trial.episodes,
        "split_ms": round(
            trial.split_ms + sum(trial.net.now_ms - since_ms for since_ms in trial.split_since_ms.values())
        ),
    }


def agreement_time_ms(gateway_count, seed, loss=0.1):
    """Returns the time from the end of a 20 s partition until all have one view with all gateways alive. Only
    for the project's own detector.
    """
    fleet = ObservedFleet([f"f{i}" for i in range(gateway_count)], seed, LinkConditions(loss=loss))
    fleet.until(fleet.views_agree, 60_000)
    fleet.run(WARM_UP_MS)
    fleet.net.split(fleet.names[:2], fleet.names[2:])
    fleet.run(20_000)
    fleet.net.reset_links()
    return fleet.until(fleet.views_agree, 60_000, 10)


def rate_with_interval(events, hours):
    """Returns the rate per hour with its interval (Wilson and Hilferty's approximation of the exact one)."""

    def limit(events, z):
        return 0.0 if events <= 0 else events * (1 - 1 / (9 * events) + z / (3 * events**0.5)) ** 3

    return [round(value / hours, 2) for value in (events, limit(events, -1.96), limit(events + 1, 1.96))]


def quantile(values, q):
    """Returns a quantile of values, for a share from 0 to 1."""
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def bootstrap_interval(values, q, rng):
    """Returns a quantile with its 95 % interval by bootstrap, rounded."""
    drawn = sorted(quantile(rng.choices(values, k=len(values)), q) for _ in range(400))
    return [round(quantile(values, q)), round(drawn[10]), round(drawn[389])]


def measure(kind, gateway_count, seeds, kills, minutes):
    """Returns all figures of one detector and fleet size."""
    rng, cpu_started_s = random.Random(1), time.process_time()
    times_ms = [detection_time_ms(kind, gateway_count, seed) for seed in range(kills)]
    detected_ms = [value for value in times_ms if value is not None]
    row = {"kind": kind, "fronts": gateway_count, "kills": kills, "never": times_ms.count(None)}
    if detected_ms:
        row["detect_p50_ms"], row["detect_p99_ms"] = (
            bootstrap_interval(detected_ms, 0.5, rng),
            bootstrap_interval(detected_ms, 0.99, rng),
        )
    for loss in (0.01, 0.05, 0.2):
        for pauses in (False, True):
            runs = [
                measure_false_verdicts(kind, gateway_count, seed, loss, minutes, pauses)
                for seed in range(seeds)
            ]
            row[f"false_an_hour_{round(100 * loss)}{'_pauses' if pauses else ''}"] = rate_with_interval(
                sum(episodes for episodes, _, _ in runs), seeds * minutes / 60
            )
            if not pauses:
                row[f"sent_a_second_{round(100 * loss)}"] = [
                    round(sum(run[i] for run in runs) / seeds, 1) for i in (1, 2)
                ]
    row["one_sided"] = [measure_asymmetric_cut(kind, gateway_count, seed) for seed in range(seeds)]
    if kind == "members" and gateway_count <= 20:
        row["views_agree_ms"] = bootstrap_interval(
            [agreement_time_ms(gateway_count, seed) for seed in range(kills // 3)], 0.99, rng
        )
    row["cpu_s"] = round(time.process_time() - cpu_started_s, 1)
    return row


def main(argv=None):
    """Measures all that the command line selects; prints a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--sizes", default="10")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--only", default=";".join(DETECTORS), help="detectors, separated by ';'")
    args = parser.parse_args(argv)
    for gateway_count in map(int, args.sizes.split(",")):
        for kind in args.only.split(";"):
            json.dump(measure(kind, gateway_count, args.seeds, args.kills, args.minutes), sys.stdout)
            print(flush=True)


if __name__ == "__main__":
    main()

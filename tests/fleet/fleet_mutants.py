"""Runs the scenario once and, at each selected datagram, forks the process for each of its mutations, so that
the part before is run only once.

Each mutant's datagram is delivered. Then a digest of all gateways shows whether the run can differ from the
one with the unchanged datagram, from the one without it, or from an earlier mutant. Only a mutant that
differs is run on, to its phase's end and to rest.

    python fleet_mutants.py SEED SHARE SHARES PICKED

PICKED is - for all, or a file of [[number, mutation], ...]. Standard output has one line of JSON for each
mutant: [number, kind, mutation, name of the mutant with the same digest or "", violation or null, reason why
it didn't come to rest or null].
"""

import gc
import json
import os
import sys

import broken_rules
import fleet_scenario as scenario
from excluded_changes import is_excluded
from fleet_audit import Audit
from fleet_mutations import RESTART_OF, is_dropped, is_field, kind_of, mutations
from fleet_state_digest import state_digest
from virtual_fleet import World

CHECK_MS = 1e-3  # from a changed datagram's arrival to the digest
APPLIED_AT_ARRIVAL = ("sealed for another", "lost")


def end_ms_of(packet, name, start_times_ms):
    """Returns when a mutant's run ends, before it is to come to rest."""
    last_ms = (
        next(
            start_ms
            for start_ms in start_times_ms[getattr(packet, RESTART_OF[name])]
            if start_ms > packet.sent_ms
        )
        if name in RESTART_OF
        else packet.sent_ms
    )
    return scenario.phase_end(last_ms)


class Worker:
    """Runs the scenario with its forks, and writes a line for each mutant to `out`."""

    def __init__(self, seed, is_wanted, out):
        """`is_wanted(number, mutation)` selects mutants; with None as mutation, datagrams."""
        self.seed, self.is_wanted, self.out = seed, is_wanted, out
        self.reply_fd, self.result_fd, self.start_times_ms = None, None, None

    def run(self):
        """Runs the scenario; returns (violation or None, reason or None) of the run without a change."""
        _, _, base = scenario.run(seed=self.seed)
        self.start_times_ms = base.start_times_ms
        numbers = {number for number in range(1, base.sent_count + 1) if self.is_wanted(number, None)}
        world = self.world = World(
            Audit(), self.seed, scenario.NAMES, {number: self.mutate_packet for number in numbers}
        )
        scenario.schedule_scenario(world)
        gc.collect()
        gc.freeze()
        gc.disable()
        broken, stuck = scenario.run_to_rest(world, scenario.END_MS)
        if world.fork_name is not None:
            self.send_to_parent(["end", broken, stuck])
            os._exit(0)
        return broken, stuck

    def mutate_packet(self, world, packet):
        """Forks for each selected mutation of a datagram, then delivers it unchanged."""
        if world.fork_name is not None:
            world.deliver(packet, packet.delay_ms)
            return
        kind, outcomes = kind_of(packet.data), {}
        chosen = [
            (name, change)
            for name, change in mutations(packet, self.start_times_ms)
            if self.is_wanted(packet.number, name) and not is_excluded(kind, name)
        ]
        if any(is_field(name) or name in APPLIED_AT_ARRIVAL for name, _ in chosen):
            digest = self.fork(
                packet,
                "as it was",
                lambda world, packet: world.deliver(packet, packet.delay_ms),
                outcomes,
                True,
            )[0]
            outcomes[digest] = "as it was", None, None
        results = {}
        chosen.sort(key=lambda change: change[0] != "lost")
        for name, change in chosen:
            if world.fork_name is not None:
                return
            if is_dropped(world, packet, name) and "lost" in results:
                self.write_result(packet, kind, name, "lost", *results["lost"])
                continue
            digest, same_as, broken, stuck = self.fork(packet, name, change, outcomes)
            if world.fork_name is not None:
                return
            if digest is not None and digest not in outcomes:
                outcomes[digest] = name, broken, stuck
            results[name] = broken, stuck
            self.write_result(packet, kind, name, same_as, broken, stuck)
        if world.fork_name is None:
            world.deliver(packet, packet.delay_ms)

    def write_result(self, packet, kind, name, same_as, broken, stuck):
        """Writes a mutant's line."""
        self.out.write(json.dumps([packet.number, kind, name, same_as, broken, stuck]) + "\n")

    def fork(self, packet, name, change, outcomes, digest_only=False):
        """Returns (digest or None, name of the mutant with the same digest, violation, reason). It returns in
        the child too, which then runs on.
        """
        to_child, from_child = os.pipe(), os.pipe()
        self.out.flush()
        pid = os.fork()
        if pid == 0:
            os.close(from_child[0])
            os.close(to_child[1])
            self.result_fd, self.reply_fd = from_child[1], to_child[0]
            self.start_mutant(packet, name, change)
            return None, "", None, None
        os.close(from_child[1])
        os.close(to_child[0])
        digest, outcome = None, None
        with os.fdopen(from_child[0], "r") as results, os.fdopen(to_child[1], "w") as replies:
            line = json.loads(results.readline() or '["end", "the run itself died", null]')
            if line[0] == "mark":
                digest = line[1]
                known = digest_only or digest in outcomes
                replies.write("0" if known else "1")
                replies.flush()
                if known:
                    outcome = outcomes.get(digest, ("", None, None))
                else:
                    line = json.loads(results.readline() or '["end", "the run itself died", null]')
            outcome = outcome or ("", *line[1:])
        os.waitpid(pid, 0)
        return digest, *outcome

    def start_mutant(self, packet, name, change):
        """Applies the change in the child, and schedules the digest if the change takes effect at arrival."""
        world = self.world
        world.fork_name = name
        world.end_ms = end_ms_of(packet, name, self.start_times_ms)
        change(world, packet)
        if is_field(name) or name in APPLIED_AT_ARRIVAL or name == "as it was":
            world.at(packet.sent_ms + packet.delay_ms + CHECK_MS, lambda: self.report_digest(packet))

    def report_digest(self, packet):
        """Sends the digest to the parent; exits if the parent has seen it before."""
        digests = [state_digest(process) for process in self.world.processes.values()]
        self.send_to_parent(["mark", repr((digests, self.world.sent_hash, hash(self.world.rng.getstate())))])
        if os.read(self.reply_fd, 1) != b"1":
            os._exit(0)

    def send_to_parent(self, message):
        """Writes a JSON line to the parent."""
        os.write(self.result_fd, (json.dumps(message) + "\n").encode())


def main(seed, share, shares, picked, rule=None):
    """Runs the share of the mutants that the command line selects; with `rule`, under that broken rule."""
    if picked == "-":

        def is_wanted(number, name):
            return number % shares == share
    else:
        with open(picked) as file:
            pairs = [tuple(pair) for pair in json.load(file)]
        own_numbers = sorted({number for number, _ in pairs})[share::shares]
        pairs = {pair for pair in pairs if pair[0] in own_numbers}

        def is_wanted(number, name):
            return number in own_numbers if name is None else (number, name) in pairs

    if rule:
        with broken_rules.RULES[rule]():
            Worker(seed, is_wanted, sys.stdout).run()
        return
    broken, stuck = Worker(seed, is_wanted, sys.stdout).run()
    print(json.dumps([0, "none", "none", "", broken, stuck]))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), *sys.argv[4:])

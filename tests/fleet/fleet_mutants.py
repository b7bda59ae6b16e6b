"""Runs the scenario once and, at each datagram wanted, a fork of the process for each of its mutations: what came
before is not run again.

Each mutant's datagram is delivered; then a digest of all fronts tells whether the run can differ from the one with the
datagram as it was, from the one without it, or from a mutant before. Only what differs is run on, to its phase's end
and to rest.

    python fleet_mutants.py SEED SHARE SHARES PICKED     PICKED: - (all), or a file of [[number, mutation], ...]
    one line of JSON a mutant on standard output: [number, kind, mutation, same as or "", broken or null, stuck or null]
"""

import gc
import json
import os
import sys

import broken_rules
import fleet_scenario as scenario
from excluded_changes import outside
from fleet_audit import Audit
from fleet_mutations import PAST, dropped, is_field, kind_of, mutations
from fleet_state_digest import mark
from virtual_fleet import World

CHECK_MS = 1e-3  # after the mutant's arrival
AT_ONCE = ("sealed for another", "lost")


def end_of(mail, name, starts):
    """To when its run goes on, before it is to come to rest."""
    last = next(t for t in starts[getattr(mail, PAST[name])] if t > mail.at) if name in PAST else mail.at
    return scenario.phase_end(last)


class Worker:
    def __init__(self, seed, wanted, out):
        self.seed, self.wanted, self.out, self.reply, self.pipe = seed, wanted, out, None, None
        self.starts = None

    def run(self):
        _, _, base = scenario.run(seed=self.seed)
        self.starts = base.starts
        numbers = {no for no in range(1, base.sent + 1) if self.wanted(no, None)}
        world = self.world = World(Audit(), self.seed, scenario.NAMES, {no: self.at for no in numbers})
        scenario.script(world)
        gc.collect()
        gc.freeze()
        gc.disable()
        broken, stuck = scenario.finish(world, scenario.END_MS)
        if world.child is not None:
            self.tell(["end", broken, stuck])
            os._exit(0)
        return broken, stuck

    def at(self, world, mail):
        if world.child is not None:
            world.deliver(mail, mail.delay)
            return
        kind, ends = kind_of(mail.data), {}
        chosen = [
            (n, c)
            for n, c in mutations(mail, self.starts)
            if self.wanted(mail.no, n) and not outside(kind, n)
        ]
        if any(is_field(n) or n in AT_ONCE for n, _ in chosen):
            digest = self.fork(mail, "as it was", lambda w, m: w.deliver(m, m.delay), ends, True)[0]
            ends[digest] = "as it was", None, None
        results = {}
        chosen.sort(key=lambda c: c[0] != "lost")
        for name, change in chosen:
            if world.child is not None:
                return
            if dropped(world, mail, name) and "lost" in results:
                self.say(mail, kind, name, "lost", *results["lost"])
                continue
            found, same, broken, stuck = self.fork(mail, name, change, ends)
            if world.child is not None:
                return
            if found is not None and found not in ends:
                ends[found] = name, broken, stuck
            results[name] = broken, stuck
            self.say(mail, kind, name, same, broken, stuck)
        if world.child is None:
            world.deliver(mail, mail.delay)

    def say(self, mail, kind, name, same, broken, stuck):
        self.out.write(json.dumps([mail.no, kind, name, same, broken, stuck]) + "\n")

    def fork(self, mail, name, change, ends, look_only=False):
        """(digest or None, same as, broken, stuck); in the child it returns too, to run on."""
        down, up = os.pipe(), os.pipe()
        self.out.flush()
        pid = os.fork()
        if pid == 0:
            os.close(up[0])
            os.close(down[1])
            self.pipe, self.reply = up[1], down[0]
            self.begin(mail, name, change)
            return None, "", None, None
        os.close(up[1])
        os.close(down[0])
        digest, end = None, None
        with os.fdopen(up[0], "r") as heard, os.fdopen(down[1], "w") as said:
            line = json.loads(heard.readline() or '["end", "the run itself died", null]')
            if line[0] == "mark":
                digest = line[1]
                known = look_only or digest in ends
                said.write("0" if known else "1")
                said.flush()
                if known:
                    end = ends.get(digest, ("", None, None))
                else:
                    line = json.loads(heard.readline() or '["end", "the run itself died", null]')
            end = end or ("", *line[1:])
        os.waitpid(pid, 0)
        return digest, *end

    def begin(self, mail, name, change):
        world = self.world
        world.child = name
        world.end_ms = end_of(mail, name, self.starts)
        change(world, mail)
        if is_field(name) or name in AT_ONCE or name == "as it was":
            world.at(mail.at + mail.delay + CHECK_MS, lambda: self.check(mail))

    def check(self, mail):
        marks = [mark(p) for p in self.world.all.values()]
        self.tell(["mark", repr((marks, self.world.said, hash(self.world.rng.getstate())))])
        if os.read(self.reply, 1) != b"1":
            os._exit(0)

    def tell(self, what):
        os.write(self.pipe, (json.dumps(what) + "\n").encode())


def main(seed, share, shares, picked, rule=None):
    if picked == "-":

        def wanted(no, name):
            return no % shares == share
    else:
        with open(picked) as file:
            pairs = [tuple(p) for p in json.load(file)]
        mine = sorted({no for no, _ in pairs})[share::shares]
        pairs = {p for p in pairs if p[0] in mine}

        def wanted(no, name):
            return no in mine if name is None else (no, name) in pairs

    if rule:
        with broken_rules.RULES[rule]():
            Worker(seed, wanted, sys.stdout).run()
        return
    broken, stuck = Worker(seed, wanted, sys.stdout).run()
    print(json.dumps([0, "none", "none", "", broken, stuck]))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), *sys.argv[4:])

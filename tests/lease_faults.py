"""Seeded schedules of faults on a group in virtual time."""

from dataclasses import replace
from random import Random

from lease_audit import QUICK, SIZE, demand, holder, world_of, write

FAULTS = ("kill", "folder", "pause", "cut", "one_way", "disk", "leave", "loss", "slow")
REST_MS = 15 * QUICK.lease_ms  # after the last fault: somebody holds, and a record is made


def kinds(seed):
    """Of a schedule: how many voters, how many others, how much more than its number a record may have."""
    return {"voters": (3, 5, 3, 2)[seed % 4], "more": seed % 3, "pad": (0, 0, 300)[seed % 3]}


def schedule(seed, voters=3, more=0, last_ms=30_000, faults=14, pad=0, **how):
    """Runs one; returns its audit, and how long it took to come to rest. Broken where something does not hold."""
    rng = Random(f"faults/{seed}")
    names, others = "abcde"[:voters], "xyz"[:more]
    everyone = [*names, *others]
    net = {
        "loss": rng.choice((0, 0.05, 0.2)),
        "double": rng.choice((0, 0.1)),
        "late": rng.choice((0, 0.05, 0.4)),
        "delay": rng.choice(((0.2, 8), (0.2, 8), (1, 250))),
    }
    # Where a round takes one record, what a voter lacks comes in many.
    settings = replace(QUICK, max_append_bytes=rng.choice((800, SIZE))) if not pad else QUICK
    world, audit = world_of(names, seed, settings, more=others, **net, **how)
    for name in everyone:
        world.at(rng.uniform(0, 300), lambda n=name: world.start(n))
    at = 0
    while at < last_ms:
        at += rng.expovariate(1 / rng.choice((20, 150)))
        world.at(at, lambda n=rng.choice(everyone): write(world, audit, n, rng.randrange(pad + 1)))
    for _ in range(faults):
        _fault(world, audit, rng, rng.choice(FAULTS), rng.uniform(500, last_ms - 3000), everyone, names)
    world.run(last_ms)
    _mend(world, everyone)
    return audit, _rest(world, audit, everyone)


def _fault(world, audit, rng, what, at, everyone, voters):
    name, other = rng.sample(everyone, 2) if len(everyone) > 1 else everyone * 2
    much = rng.choice((50, 900, 2500))

    def kill(folder=True):
        p = world.all[name]
        if p.part is None:
            return
        if not folder:
            # Fewer than a majority may be without their state at a time: that is what is assumed.
            blank = [
                n
                for n in voters
                if n != name and (world.all[n].part is None or world.all[n].part.voter.is_recovering)
            ]
            folder = name not in voters or len(blank) >= (len(voters) - 1) // 2
        world.kill(name)
        if not folder:
            p.kept, p.lost = {}, p.lost + 1
        world.at(world.now + much, lambda: world.start(name) if p.part is None else None)

    def cut(*links):
        world.cut.update(links)
        world.at(world.now + much, lambda: world.cut.difference_update(links))

    def disk(how):
        for n in rng.choice(([name], everyone)):
            world.all[n].disk = how
            world.at(world.now + much, lambda n=n: setattr(world.all[n], "disk", "well"))

    def slow():
        links = rng.choice(([(name, other)], [(name, n) for n in everyone], [(n, name) for n in everyone]))
        world.slow.update(dict.fromkeys(links, 0.7 * QUICK.lease_ms))
        world.at(world.now + 3 * much, lambda: [world.slow.pop(link, None) for link in links])

    def leave():
        write(world, audit, name)
        world.call(name, lambda part, ms: part.release(ms))
        world.at(world.now + much, lambda: world.call(name, lambda part, ms: part.set_candidate(ms, True)))

    def loss():
        before, world.loss = world.loss, 0.6
        world.at(world.now + much, lambda: setattr(world, "loss", before))

    all_ = [(name, n) for n in everyone]
    world.at(
        at,
        {
            "kill": kill,
            "folder": lambda: kill(False),
            "pause": lambda: world.pause(name, much),
            "cut": lambda: cut(*all_, *[(b, a) for a, b in all_]),
            "leave": leave,
            "loss": loss,
            "slow": slow,
            "one_way": lambda: cut(*rng.choice([all_, [(name, other)], [(b, a) for a, b in all_]])),
            "disk": lambda: disk(rng.choice(("full", "unsure", "slow"))),
        }[what],
    )


def _mend(world, everyone):
    world.cut.clear()
    world.slow.clear()
    world.loss = world.double = world.late = 0
    world.delay = 0.2, 8
    for name in everyone:
        p = world.all[name]
        p.disk, p.paused_until = "well", min(p.paused_until, world.now)
        if p.part is None:
            world.start(name)
        world.call(name, lambda part, ms: part.set_candidate(ms, True))


def _rest(world, audit, everyone):
    begun, made = world.now, len(audit.made)
    while len(audit.made) == made and world.now < begun + REST_MS:
        for name in everyone:
            write(world, audit, name)
        world.run(world.now + 50)
    demand(
        len(audit.made) > made,
        f"no record made in {REST_MS} ms after the last fault; held by {holder(world)}",
    )
    world.run(world.now + 3 * QUICK.lease_ms)
    return world.now - begun - 3 * QUICK.lease_ms

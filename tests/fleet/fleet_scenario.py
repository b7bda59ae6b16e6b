"""The recorded scenario: join, borrow, lend back, repay, the keeper cut off, killed, back with its folder, and one that
leaves in order."""

from fleet_audit import Audit, Broken
from virtual_fleet import LEASE_MS, World

PHASES = (2000.0, 3900.0, 7700.0, 10_200.0, 12_700.0)  # of: join, borrow and repay, cut off, killed, leave
END_MS, REST_MS, LOOK_MS = PHASES[-1], 9_000.0, 100.0
NAMES = "abc"


def keeper(world):
    """Who holds the ledger in truth; else the first that runs."""
    up = [p for p in world.all.values() if p.fleet is not None]
    return next((p for p in up if p.fleet.quota_participant.group.holds(p.now_ms())), up[0] if up else None)


def others(world, p):
    return [q for q in world.all.values() if q is not p]


def cut_off(world, p, ms):
    """Nothing passes to or from it."""
    links = {(p.name, q.name) for q in others(world, p)} | {(q.name, p.name) for q in others(world, p)}
    world.cut |= links
    world.at(world.now + ms, lambda: world.cut.difference_update(links))


def kill_at_record(world, back_ms):
    """The keeper dies the moment a record of its is made; one voter's disk is full meanwhile."""
    p = keeper(world)
    if p is None:
        return
    made, life, full = p.fleet.quota_participant.leader.committed, p.starts, others(world, p)[0]
    full.disk.how = "full"
    no = made.record_number if made else 0

    def look(times=0):
        if p.fleet is None or p.starts != life:
            return
        now = p.fleet.quota_participant.leader.committed
        if now is not None and now.record_number > no or times > 300:
            p.kill()
            world.at(world.now + 30, lambda: setattr(full.disk, "how", "well"))
            world.at(world.now + back_ms, p.start)
        else:
            world.at(world.now + 1, lambda: look(times + 1))

    look()


def quick_restart(world, ps):
    """Down and up again within a lease."""
    for p in ps:
        p.kill()
        world.at(world.now + 30, p.start)


def script(world):
    all_ = world.all

    def at(true_ms, what):
        """A run of one change ends with the phase after it: what is planned for later is left out then."""
        world.at(true_ms, lambda: world.end_ms >= true_ms and not world.resting and what())

    for i, name in enumerate(NAMES):
        at(40 * i, all_[name].start)
    for t in range(1700, int(END_MS) - 800, 130):  # some of each at every front, throughout
        for i, name in enumerate(NAMES):
            at(t + 17 * i, lambda n=name: world.query(n, "lender", 1.0))
    for t in range(2000, 3000, 40):  # more than its quota: it borrows
        at(t, lambda: world.query("a", "borrower", 9.0))
        at(t + 20, lambda: world.query("b", "borrower", 9.0, over=1.0))
    for t in range(3000, 3500, 50):  # the lender wants its own back
        at(t, lambda: world.query(keeper(world).name, "lender", 25.0))
    at(4000, lambda: cut_off(world, keeper(world), 3200))
    for t in range(6600, 7100, 40):
        at(t, lambda: world.query("b", "borrower", 5.0))
    at(7900, lambda: kill_at_record(world, 1500))
    for t in range(7800, 8200, 30):
        at(t, lambda: world.query("c", "borrower", 4.0))
    at(10_250, lambda: leave(world))
    at(11_400, lambda: quick_restart(world, [p for p in others(world, keeper(world)) if p.fleet is not None]))


def leave(world):
    """The keeper, in order; it comes again as another one."""
    p = keeper(world)
    p.leave()

    def back():
        if p.fleet is None:
            p.start()
        else:
            world.at(world.now + 50, back)

    world.at(world.now + 600, back)


def phase_end(true_ms):
    """Of the phase that a time is in; of the next one where that is less than a lease away."""
    return next((end for end in PHASES if end >= true_ms + LEASE_MS), END_MS)


def run(mutate=None, seed=1, record=False, end_ms=END_MS):
    """(what was broken or None, what did not come to rest or None, the world)."""
    world = World(Audit(), seed, NAMES, mutate)
    world.mails = [] if record else None
    script(world)
    return *finish(world, end_ms), world


def finish(world, end_ms):
    audit = world.audit
    try:
        world.run(end_ms)
        world.resting = True
        for what in world.held:
            what()
        until, why = world.now + REST_MS, "not looked at"
        while world.now < until and why:
            world.run(world.now + LOOK_MS)
            why = audit.unrest()
    except Broken as bad:
        return str(bad), None
    except Exception as bad:  # a part that raises on what a message holds is a fault
        return f"{type(bad).__name__}: {bad}", None
    return (audit.found[0] if audit.found else None), why

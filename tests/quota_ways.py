"""A scenario of the quota, and each way in which one of its messages may be changed."""

from random import Random

from quota_world import STEP_MS, TERM_MS, World, figures

from lichenquay.quota import quota_pb2 as pb

ACCOUNTS = [
    figures("a"),
    figures("b"),
    figures("c", rate=50, limit=0),
    figures("d", rate=20, term_ms=1000, limit=150),
]


def scenario(mutate=None, group=None):
    """Borrow, lend back, repay, a keeper that crashes, a front that is cut off for longer than its term and returns,
    one that is killed and comes back, one that leaves in order. No chance in it but the network's small delays."""
    world, chance = World(11, 3, ACCOUNTS[:3]), Random(5)
    for front in world.fronts.values():
        front.rights.period_ms = 800.0
    world.mutate = mutate
    world.group.elect("f0")

    def traffic(ms, **rates):
        end = world.now + ms
        while world.now < end:
            world.run(world.now + STEP_MS)
            for name, (tenant, rate) in rates.items():
                if chance.random() < rate * STEP_MS / 1000:
                    world.query(world.fronts[name], tenant, 20, 20 * chance.uniform(0.5, 1.5))

    f = world.fronts
    world.run(500)
    traffic(2500, f0=("a", 4), f1=("a", 16))  # borrows
    traffic(1500, f1=("a", 16), f2=("b", 16))  # its lender needs it
    f["f0"].kill()  # the keeper
    traffic(700, f1=("a", 4))
    world.group.elect("f1")
    traffic(500, f2=("b", 4))
    world.cut = {("f2", "f1"), ("f1", "f2")}
    traffic(2600, f2=("b", 4))  # lapses
    world.cut = set()
    f["f0"].start()
    traffic(1200, f2=("b", 4), f0=("c", 4))
    f["f0"].rights.return_all(f["f0"].now_ms)
    traffic(900, f2=("b", 4))
    f["f0"].kill()
    sent = world.sent
    world.rest(15000)
    return world, sent


def changed(message, change):
    out = type(message)()
    out.CopyFrom(message)
    change(out)
    return out


def asks(message):
    """Fields to their neighbours and edges, where who receives it can tell."""
    yield "book 0", changed(message, lambda m: setattr(m, "book", 0))
    yield "no 0", changed(message, lambda m: setattr(m, "no", 0))
    yield "of a later book", changed(message, lambda m: m.rows.add(tenant="a", book=m.book + 1))
    yield (
        "spent without grant",
        changed(
            message,
            lambda m: (
                [setattr(r, "spent_us", r.known_us + 1) for r in m.rows]
                or m.rows.add(tenant="a", book=m.book, spent_us=1)
            ),
        ),
    )
    yield "knows without grant", changed(message, lambda m: [setattr(r, "known_us", 1 << 62) for r in m.rows])
    yield (
        "nobody's",
        changed(message, lambda m: m.rows.add(tenant="nobody", book=m.book, upto_us=1000, need_us=1000)),
    )
    yield (
        "wants all",
        changed(
            message, lambda m: [r.MergeFrom(pb.Row(upto_us=(1 << 63) - 1, need_us=1 << 62)) for r in m.rows]
        ),
    )


def answers(message):
    yield "another front's", changed(message, lambda m: setattr(m, "front", "f9"))
    yield "older incarnation", changed(message, lambda m: setattr(m, "incarnation", m.incarnation - 1))
    yield "newer incarnation", changed(message, lambda m: setattr(m, "incarnation", m.incarnation + 1))
    yield "later book", changed(message, lambda m: setattr(m, "book", m.book + 1))
    yield "unknown ask", changed(message, lambda m: setattr(m, "no", 1 << 40))
    yield "older generation", changed(message, lambda m: setattr(m, "generation", 0))
    yield "closed", changed(message, lambda m: setattr(m, "closed", True))
    yield "all scarce", changed(message, lambda m: [setattr(r, "scarce", True) for r in m.rows])
    yield "nobody's", changed(message, lambda m: m.rows.add(tenant="nobody", book=m.book, granted_us=1000))
    yield "spent over", changed(message, lambda m: [setattr(r, "spent_us", r.granted_us + 1) for r in m.rows])


def ways(copy, before):
    """All that one change can do to a message: (name, what is delivered instead)."""
    to, name, incarnation, message, delay = copy
    others = [x for x in ("f0", "f1", "f2") if x != to]
    yield "lost", []
    yield "doubled", [copy, (to, name, incarnation, message, delay + 30)]
    yield "doubled much later", [copy, (to, name, incarnation, message, delay + 4000)]
    yield "late past the next", [(to, name, incarnation, message, delay + 700)]
    yield "late past the term", [(to, name, incarnation, message, delay + TERM_MS * 1.3)]
    yield "late past all", [(to, name, incarnation, message, delay + 9000)]
    yield "to another front", [(others[0], name, incarnation, message, delay)]
    yield "to all", [(x, name, incarnation, message, delay) for x in ("f0", "f1", "f2")]
    yield "older incarnation", [(to, name, incarnation - 1, message, delay)]
    if before is not None:
        yield "swapped", [(*before[:4], delay + 10), copy]
    for what, other in (asks if isinstance(message, pb.Ask) else answers)(message):
        yield what, [(to, name, incarnation, other, delay)]


def record():
    messages = []

    def note(number, copies):
        messages.append(copies[0])
        return copies

    world, _ = scenario(note)
    return messages, world


def mutants(messages):
    """Of each message each way: a function that changes that one and no other."""
    for i, copy in enumerate(messages):
        before = next((m for m in reversed(messages[:i]) if m[0] == copy[0] and m[1] == copy[1]), None)
        for what, instead in ways(copy, before):
            yield (
                f"message {i + 1}: {what}",
                lambda no, copies, at=i + 1, use=instead: use if no == at else copies,
            )

"""A scenario of the quota, and each way in which one of its messages may be changed."""

from random import Random

from quota_world import STEP_MS, TERM_MS, World, tenant_terms

from lichenquay.quota import quota_pb2 as pb

ACCOUNTS = [
    tenant_terms("a"),
    tenant_terms("b"),
    tenant_terms("c", rate=50, limit=0),
    tenant_terms("d", rate=20, term_ms=1000, limit=150),
]
GATEWAYS = ("f0", "f1", "f2")
SLOW_PERIOD_MS = 800.0


def scenario(mutate=None):
    """Every fault once: (the world at rest, the number of messages before that).

    A tenant borrows, its lender is repaid, the leader crashes, a gateway is cut off for longer than its term
    and returns, one is killed and comes back, one leaves in order. Only the network's small delays are
    random.
    """
    world = World(11, 3, ACCOUNTS[:3])
    random = Random(5)
    for gateway in world.gateways.values():
        gateway.escrow.period_ms = SLOW_PERIOD_MS
    world.mutate = mutate
    world.group.elect("f0")

    def play(duration_ms, **rates):
        end_ms = world.now + duration_ms
        while world.now < end_ms:
            world.run(world.now + STEP_MS)
            for name, (tenant, rate) in rates.items():
                if random.random() < rate * STEP_MS / 1000:
                    world.query(world.gateways[name], tenant, 20, 20 * random.uniform(0.5, 1.5))

    first = world.gateways["f0"]
    world.run(500)
    play(2500, f0=("a", 4), f1=("a", 16))  # borrows
    play(1500, f1=("a", 16), f2=("b", 16))  # its lender needs it
    first.kill()  # the leader
    play(700, f1=("a", 4))
    world.group.elect("f1")
    play(500, f2=("b", 4))
    world.cut_links = {("f2", "f1"), ("f1", "f2")}
    play(2600, f2=("b", 4))  # its tokens expire
    world.cut_links = set()
    first.start()
    play(1200, f2=("b", 4), f0=("c", 4))
    first.escrow.return_all(first.now_ms)
    play(900, f2=("b", 4))
    first.kill()
    sent = world.sent
    world.rest(15000)
    return world, sent


def changed(message, change):
    """A copy of the message, changed by `change(copy)`."""
    copy = type(message)()
    copy.CopyFrom(message)
    change(copy)
    return copy


def changed_field(message, field, value):
    """A copy with another value of one field."""
    return changed(message, lambda copy: setattr(copy, field, value))


def changed_rows(message, change):
    """A copy with `change(row)` done to each of its rows."""

    def change_all(copy):
        for row in copy.rows:
            change(row)

    return changed(message, change_all)


def _spend_without_grant(request):
    for row in request.rows:
        row.spent_us = row.known_us + 1
    if not request.rows:
        request.rows.add(tenant="a", book=request.book, spent_us=1)


def changed_requests(request):
    """(name, changed request): fields to their neighbours and edges, where the receiver can tell."""
    yield "book 0", changed_field(request, "book", 0)
    yield "no 0", changed_field(request, "no", 0)
    yield "of a later epoch", changed(request, lambda m: m.rows.add(tenant="a", book=m.book + 1))
    yield "spent without grant", changed(request, _spend_without_grant)
    yield "knows without grant", changed_rows(request, lambda row: setattr(row, "known_us", 1 << 62))
    unknown_tenant = pb.Row(tenant="nobody", book=request.book, upto_us=1000, need_us=1000)
    yield "unknown tenant", changed(request, lambda m: m.rows.append(unknown_tenant))
    everything = pb.Row(upto_us=(1 << 63) - 1, need_us=1 << 62)
    yield "requests everything", changed_rows(request, lambda row: row.MergeFrom(everything))


def changed_answers(answer):
    """(name, changed answer)."""
    yield "another gateway's", changed_field(answer, "front", "f9")
    yield "older incarnation", changed_field(answer, "incarnation", answer.incarnation - 1)
    yield "newer incarnation", changed_field(answer, "incarnation", answer.incarnation + 1)
    yield "later epoch", changed_field(answer, "book", answer.book + 1)
    yield "unknown request", changed_field(answer, "no", 1 << 40)
    yield "older generation", changed_field(answer, "generation", 0)
    yield "closed", changed_field(answer, "closed", True)
    yield "all scarce", changed_rows(answer, lambda row: setattr(row, "scarce", True))
    unknown_tenant = pb.Granted(tenant="nobody", book=answer.book, granted_us=1000)
    yield "unknown tenant", changed(answer, lambda m: m.rows.append(unknown_tenant))
    yield "spent over", changed_rows(answer, lambda row: setattr(row, "spent_us", row.granted_us + 1))


def mutations(copy, before):
    """All that one change can do to a message: (name, what is delivered instead).

    `before`: the message before it on the same link, or None.
    """
    to, name, incarnation, message, delay_ms = copy
    others = [gateway for gateway in GATEWAYS if gateway != to]
    yield "lost", []
    yield "doubled", [copy, (to, name, incarnation, message, delay_ms + 30)]
    yield "doubled much later", [copy, (to, name, incarnation, message, delay_ms + 4000)]
    yield "late past the next", [(to, name, incarnation, message, delay_ms + 700)]
    yield "late past the term", [(to, name, incarnation, message, delay_ms + TERM_MS * 1.3)]
    yield "late past all", [(to, name, incarnation, message, delay_ms + 9000)]
    yield "to another gateway", [(others[0], name, incarnation, message, delay_ms)]
    yield "to all", [(gateway, name, incarnation, message, delay_ms) for gateway in GATEWAYS]
    yield "older incarnation", [(to, name, incarnation - 1, message, delay_ms)]
    if before is not None:
        yield "swapped", [(*before[:4], delay_ms + 10), copy]
    changed_messages = changed_requests if isinstance(message, pb.Ask) else changed_answers
    for what, other in changed_messages(message):
        yield what, [(to, name, incarnation, other, delay_ms)]


def record():
    """(the messages of the scenario, the world at rest)."""
    messages = []

    def note(number, copies):
        messages.append(copies[0])
        return copies

    world, _ = scenario(note)
    return messages, world


def mutants(messages):
    """(name, `mutate`) of each message and mutation; it changes that message and no other."""
    for i, copy in enumerate(messages):
        same_link = (m for m in reversed(messages[:i]) if m[0] == copy[0] and m[1] == copy[1])
        for what, instead in mutations(copy, next(same_link, None)):
            yield f"message {i + 1}: {what}", _mutate_one(i + 1, instead)


def _mutate_one(mutated, instead):
    return lambda number, copies: instead if number == mutated else copies

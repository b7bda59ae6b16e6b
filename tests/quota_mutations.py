"""A scenario of the quota, and all mutations of one of its messages."""

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
    """Runs every fault once; returns (the quiescent world, the number of messages until the last fault).

    A tenant borrows, its lender is repaid, the leader crashes, a gateway is partitioned for longer than its
    term and reconnects, the crashed one restarts and shuts down gracefully. Traffic and the network's small
    delays are drawn from seeded random sources.
    """
    world = World(11, 3, ACCOUNTS[:3])
    random = Random(5)
    for gateway in world.gateways.values():
        gateway.escrow.period_ms = SLOW_PERIOD_MS
    world.mutate = mutate
    world.group.elect("f0")

    def run_traffic(duration_ms, **rates):
        end_ms = world.now + duration_ms
        while world.now < end_ms:
            world.run(world.now + STEP_MS)
            for name, (tenant, rate) in rates.items():
                if random.random() < rate * STEP_MS / 1000:
                    world.query(world.gateways[name], tenant, 20, 20 * random.uniform(0.5, 1.5))

    first = world.gateways["f0"]
    world.run(500)
    run_traffic(2500, f0=("a", 4), f1=("a", 16))  # a borrows
    run_traffic(1500, f1=("a", 16), f2=("b", 16))  # the lender of a needs its tokens
    first.kill()  # the leader
    run_traffic(700, f1=("a", 4))
    world.group.elect("f1")
    run_traffic(500, f2=("b", 4))
    world.cut_links = {("f2", "f1"), ("f1", "f2")}
    run_traffic(2600, f2=("b", 4))  # the tokens of f2 expire
    world.cut_links = set()
    first.start()
    run_traffic(1200, f2=("b", 4), f0=("c", 4))
    first.escrow.return_all(first.now_ms)
    run_traffic(900, f2=("b", 4))
    first.kill()
    sent = world.sent
    world.run_until_quiescent(15000)
    return world, sent


def changed(message, change):
    """Returns a copy of the message, changed by `change(copy)`."""
    copy = type(message)()
    copy.CopyFrom(message)
    change(copy)
    return copy


def changed_field(message, field, value):
    """Returns a copy with another value of one field."""
    return changed(message, lambda copy: setattr(copy, field, value))


def changed_rows(message, change):
    """Returns a copy with `change(row)` applied to each row."""

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
    """Yields (name, changed request): neighbouring and edge values that the receiver can recognize."""
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
    """Yields (name, changed answer)."""
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
    """Yields (name, copies to deliver instead) for all mutations of a message.

    `copy`: the message as it is sent. `before`: the message before it on the same link, or None.
    """
    to, name, incarnation, message, delay_ms = copy
    others = [gateway for gateway in GATEWAYS if gateway != to]
    yield "lost", []
    yield "duplicated", [copy, (to, name, incarnation, message, delay_ms + 30)]
    yield "duplicated much later", [copy, (to, name, incarnation, message, delay_ms + 4000)]
    yield "delayed beyond the next", [(to, name, incarnation, message, delay_ms + 700)]
    yield "delayed beyond the term", [(to, name, incarnation, message, delay_ms + TERM_MS * 1.3)]
    yield "delayed beyond all others", [(to, name, incarnation, message, delay_ms + 9000)]
    yield "to another gateway", [(others[0], name, incarnation, message, delay_ms)]
    yield "to all", [(gateway, name, incarnation, message, delay_ms) for gateway in GATEWAYS]
    yield "older incarnation", [(to, name, incarnation - 1, message, delay_ms)]
    if before is not None:
        yield "swapped", [(*before[:4], delay_ms + 10), copy]
    changed_messages = changed_requests if isinstance(message, pb.Ask) else changed_answers
    for change, changed_message in changed_messages(message):
        yield change, [(to, name, incarnation, changed_message, delay_ms)]


def record_scenario():
    """Runs the scenario; returns (its messages, the quiescent world)."""
    messages = []

    def record_message(number, copies):
        messages.append(copies[0])
        return copies

    world, _ = scenario(record_message)
    return messages, world


def mutants(messages):
    """Yields (name, `mutate`) for each message and mutation; `mutate` changes that message only."""
    for i, copy in enumerate(messages):
        same_link = (m for m in reversed(messages[:i]) if m[0] == copy[0] and m[1] == copy[1])
        for name, replacement in mutations(copy, next(same_link, None)):
            yield f"message {i + 1}: {name}", _mutate_one(i + 1, replacement)


def _mutate_one(mutated_number, replacement):
    return lambda number, copies: replacement if number == mutated_number else copies

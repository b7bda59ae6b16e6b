"""One scenario on a small world, recorded; then once more for messages in it, each changed in one way.

The scenario: a publisher is elected, changes, a gateway and a relay restart (a short history: snapshots), the
publisher is killed, changes. Required with each change of one message: the audit's invariants at each step,
and all that was accepted in force everywhere at the end, within `REST_MS`.

Fields whose neighbour no receiver can tell from truth ('nobody forges messages') only move figures:
`Follow.in_force` and `Follow.below` in what is known of coverage until the next Follow. Those of Delta,
SnapshotOffer and Page deliver a mark, so that a single wrong one is detected; Follow's version and digest
have to fit each other.
"""

from dataclasses import replace

from distribution_world import SETTINGS, World

from lichenquay.distribution import distribution_pb2 as pb

REST_MS = 20_000.0
WHOLE = ("lost", "doubled", "late past the next", "late past the source", "to another", "lost, and the next")
EDGES = {
    "uint64": (0, 1, 2**32, 2**64 - 1),
    "fixed64": (0, 1, 2**64 - 1),
    "uint32": (0, 1, 2**32 - 1),
}
KINDS = {4: "uint64", 6: "fixed64", 13: "uint32"}  # protobuf's numbers of types
MUTATED = replace(SETTINGS, most_changes=6, delta_bytes=300)


def scenario(seed, at=None, change=None):
    """Runs it with the `at`-th message of distribution changed; gives the messages sent and the world."""
    world, sent = World(seed, zones=1, gateways=2, settings=MUTATED), []

    def intercept(number, source, target, layer, message):
        if not isinstance(message, pb.Message):
            return None
        sent.append((source, target, message))
        if len(sent) - 1 != at:
            return None
        return change(world, target, message)

    world.net.meddle = intercept
    world.settle(REST_MS)
    for number in range(8):
        world.accept({f"config/k{number % 5}": b"%d" % number + bytes(90), "engine/z0/e": b"%d" % number})
        world.run(150)
    world.net.kill("f0-0")
    world.net.kill("r0b")
    world.accept({"config/k1": None, "config/k9": b"9"})
    world.net.start("f0-0")
    world.net.start("r0b")
    world.run(1500)
    world.net.kill(world.holder())
    world.accept({"config/last": b"1"})
    world.settle(REST_MS)
    return sent, world


def mutations(message):
    """(name, change) for all that can become of a message."""
    for name in WHOLE:
        yield name, _whole(name)
    kind = message.WhichOneof("kind")
    for path, field, value in fields(getattr(message, kind), (kind,)):
        for other in others(field, value):
            yield f"{'.'.join(map(str, path))} = {other!r:.40}", _changed(path, other)


def fields(body, path):
    """Every field of a message, also those that are not set; of entries those of the first and the last."""
    for field in body.DESCRIPTOR.fields:
        here = (*path, field.name)
        value = getattr(body, field.name)
        if field.name == "entries":
            yield here, field, value
            for at in sorted({0, len(value) - 1}) if value else ():
                yield from fields(value[at], (*here, at))
        elif field.message_type:
            yield from fields(value, here)
        else:
            yield here, field, value


def others(field, value):
    """Odd values of a field."""
    if field.name == "entries":
        more = [pb.Entry(key="config/odd", value=b"1", version=1)]
        return [[], list(value)[:-1], [*value, *value], [*value, *more]] if value else [more]
    if field.name == "prefixes":
        return [[], ["odd/"], [*value, "config/k"], ["x" * 90], [str(n) for n in range(40)]]
    if field.type == field.TYPE_STRING:
        return ["", value + "x"]
    if field.type == field.TYPE_BYTES:
        return [b"", value + b"x"]
    if field.type == field.TYPE_BOOL:
        return [not value]
    if field.type == field.TYPE_DOUBLE:
        return [0.0, -1.0, value + 1, 1e300, float("nan"), float("inf")]
    kind = KINDS[field.type]
    most = 2 ** (32 if kind.endswith("32") else 64) - 1
    return sorted({v for v in (value - 1, value + 1, *EDGES[kind]) if 0 <= v <= most and v != value})


def _changed(path, value):
    def change(world, target, message):
        new = pb.Message.FromString(message.SerializeToString())
        inner = new
        for name in path[:-1]:
            inner = inner[name] if isinstance(name, int) else getattr(inner, name)
        if isinstance(value, list):
            del getattr(inner, path[-1])[:]
            getattr(inner, path[-1]).extend(value)
        else:
            setattr(inner, path[-1], value)
        return [(target, 0.6, new)]

    return change


def _whole(name):
    def change(world, target, message):
        other = next(n for n in (*world.gateways, *world.relays) if n != target)
        ways = {
            "lost": [],
            "doubled": [(target, 0.6, message), (target, 0.9, message)],
            "late past the next": [(target, 1300.0, message)],
            "late past the source": [(target, 4000.0, message)],
            "to another": [(other, 0.6, message)],
        }
        if name == "lost, and the next":
            world.net.between([h for h in world.net.hosts if h != target], [target], cut=True)
            world.net.at(world.net.now_ms + 400, world.net.mend)
        return ways.get(name, [])

    return change


def run(seed, take):
    """(messages, mutants there are, mutants run, faults) of those of which `take(number)` is true."""
    sent, _ = scenario(seed)
    there = 0
    ran = 0
    faults = []
    for at, (source, target, message) in enumerate(sent):
        for name, change in mutations(message):
            there += 1
            if not take(there):
                continue
            ran += 1
            try:
                scenario(seed, at, change)
            except AssertionError as fault:
                kind = message.WhichOneof("kind")
                faults.append((f"{at}: {source} to {target}, {kind}", name, str(fault)[:300]))
    return len(sent), there, ran, faults

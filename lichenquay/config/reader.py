"""Reading settings in protobuf text format: the whole file, checked, or one line that says what is wrong and where.

What a file leaves out has the value in `WORLD`; every figure has a range in `RANGES`.
"""

import re

from google.protobuf import text_format

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.control_settings import RANGES as CONTROL_RANGES
from lichenquay.config.control_settings import fault_of_control, fault_of_distribution
from lichenquay.config.fleet_settings import RANGES as FLEET_RANGES
from lichenquay.config.fleet_settings import fault_of_fleet
from lichenquay.connection_admission.decide import Caps, Rules, networks

# a small world that runs on any machine: what `demo` plays, and what files leave out
WORLD = """
seed: 1
engines { count: 4 cores: 4 memory_mb: 4096 zones: "a" zones: "b" most_open: 64 warm_tables: 8 cold_table: 0.5 spill: 1.0
          cold_share: 0.3 cold_ms: 8000 cold_multiple: 3 fall_ms: 1500 keepalive_ms: 15000 }
groups { name: "status" effect: READ_ONLY target_ms: 500 stretch: 1.5 timeout_ms: 2500 value: 1 late_value: 0.2 threads: 1
         share: 0.75 work_ms: 12 work_sigma: 0.5 memory_mb: 16 rows: 3 estimate_sigma: 0.2 }
groups { name: "report" effect: READ_ONLY target_ms: 1000 stretch: 2.5 timeout_ms: 4000 value: 20 late_value: 0.2 threads: 3
         share: 0.13 work_ms: 180 work_sigma: 0.7 memory_mb: 256 rows: 300 estimate_sigma: 0.3 }
groups { name: "manifest" effect: MUTATING target_ms: 1000 stretch: 1 timeout_ms: 4000 value: 30 threads: 2 load: true
         share: 0.12 work_ms: 60 work_sigma: 0.4 memory_mb: 64 rows: 1 estimate_sigma: 0.2 }
tenants { name: "north" share: 0.4 allowance_per_s: 400 }
tenants { name: "south" share: 0.35 allowance_per_s: 350 }
tenants { name: "west" share: 0.25 allowance_per_s: 250 }
load { rate: 80 seconds: 10 peak: 3 workers: 2 connections: 12 addresses: 4 tables: 40 skew: 0.8 }
front { count: 1 memory_mb: 192 sockets: 1024 }
"""
SHARE, MANY, COUNT, MS = (0.0, 1.0), (0.0, 1e9), (1, 1_000_000), (0.0, 3.6e6)
RANGES = {
    "engines.count": (1, 10_000),
    "engines.cores": (0.01, 1024),
    "engines.memory_mb": (1, 1e9),
    "engines.most_open": COUNT,
    "engines.warm_tables": (0, 1_000_000),
    "engines.cold_table": (0, 1000),
    "engines.spill": (0, 1000),
    "engines.cold_share": (0.001, 1),
    "engines.cold_ms": MS,
    "engines.cold_multiple": (0.0, 1e6),
    "engines.fall_ms": MS,
    "engines.keepalive_ms": (1, 3.6e6),
    "groups.target_ms": (1, 3.6e6),
    "groups.stretch": (0, 1000),
    "groups.timeout_ms": (1, 3.6e6),
    "groups.value": MANY,
    "groups.late_value": SHARE,
    "groups.threads": (1, 1024),
    "groups.share": (0.0, 1e6),
    "groups.work_ms": (0.01, 3.6e6),
    "groups.work_sigma": (0, 4),
    "groups.memory_mb": MANY,
    "groups.rows": (0, 4000),
    "groups.estimate_sigma": (0, 4),
    "tenants.share": SHARE,
    "tenants.allowance_per_s": MANY,
    "faults.at_ms": MS,
    "faults.for_ms": MS,
    "faults.amount": MANY,
    "load.rate": (0.01, 1e6),
    "load.seconds": (0.1, 86_400),
    "load.peak": (0.01, 1000),
    "load.workers": (1, 64),
    "load.connections": (1, 20_000),
    "load.addresses": (1, 60_000),
    "load.tables": COUNT,
    "load.skew": (0, 5),
    "load.repeats": (0, 10),
    "load.leave_share": SHARE,
    **{
        f"{where}gate.{who}.{name}": bounds
        for where in ("", "front.")
        for who in ("address", "prefix")
        for name, bounds in (
            ("connections", (0, 1_000_000)),
            ("per_s", (0, 1e6)),
            ("burst", (0, 1e6)),
            ("queries", (0, 1_000_000)),
            ("held_bytes", (0, 1e12)),
            ("senseless_per_s", (0, 1e6)),
        )
    },
    **{
        f"{where}gate.{name}": bounds
        for where in ("", "front.")
        for name, bounds in (
            ("prefix4", (8, 32)),
            ("reserve", (0, 1_000_000)),
            ("most_queries", (0, 1_000_000)),
            ("most_seen", (2, 10_000_000)),
            ("again_ms", (1, 3.6e6)),
            ("lag_ms", (0, 10_000)),
        )
    },
    "front.count": (1, 1000),
    "front.memory_mb": (40, 1e6),
    "front.sockets": (64, 1_000_000),
    **FLEET_RANGES,
    **CONTROL_RANGES,
}
OPTIONAL = {"gate", "fleet", "address", "prefix", "control", "distribution", "figures"}  # messages
SPARSE = ("gate", "front.gate", "fleet", "control", "distribution")  # figures count only where they are said


class BadSettings(ValueError):
    """One line: file, place, cause."""


def fields(message, path=""):
    """Of figures that are said, or have a usual value: (path without numbers, shown path, value) of each plain field, lists one by one."""
    for field, _ in message.DESCRIPTOR.fields_by_name.items():
        value, name = getattr(message, field), f"{path}.{field}" if path else field
        if hasattr(value, "DESCRIPTOR"):
            if field in OPTIONAL and not message.HasField(field):
                continue
            yield from fields(value, name)
        elif hasattr(value, "append") and not hasattr(value, "add"):  # a list of plain values
            continue
        elif hasattr(value, "add"):
            for i, one in enumerate(value):
                for inner, shown, got in fields(one, name):
                    yield inner, f"{name}[{i}]" + shown[len(name) :], got
        elif not path.startswith(SPARSE) or message.HasField(field):
            yield name, name, value


def fault_of(lab):
    """The first thing that makes no sense in a whole world, or None."""
    if fault := out_of_range(lab):
        return fault
    for what in ("groups", "tenants"):
        names = [x.name for x in getattr(lab, what)]
        if not names or "" in names or len(set(names)) < len(names):
            return f"{what}: each needs a name of its own"
    if not sum(g.share for g in lab.groups) > 0 or not sum(t.share for t in lab.tenants) > 0:
        return "shares: some must be above 0"
    if lab.load.addresses > lab.load.connections:
        return f"load.addresses: {lab.load.addresses} of them need as many connections, there are {lab.load.connections}"
    if lab.load.workers > lab.load.connections:
        return f"load.workers: {lab.load.workers} of them need a connection each, there are {lab.load.connections}"
    for i, f in enumerate(lab.faults):
        if f.kind == pb.Fault.NONE:
            return f"faults[{i}].kind: missing"
        if f.engine >= lab.engines.count:
            return f"faults[{i}].engine: {f.engine}, but there are {lab.engines.count} engines, from 0"
        if f.kind == pb.Fault.ZONE_CUT and f.zone not in lab.engines.zones:
            return f"faults[{i}].zone: no engine is in {f.zone!r}"
        if f.kind in (pb.Fault.RESET, pb.Fault.SPOIL, pb.Fault.LOSE) and not 0 < f.amount <= 1:
            return f"faults[{i}].amount: {f.amount:g} is no share above 0"
        if f.kind == pb.Fault.SLOW and not 0 < f.amount <= 100:
            return f"faults[{i}].amount: {f.amount:g} is no factor above 0"
    return fault_of_gate(lab.front.gate, "front.gate")


GATE = """prefix4: 24 most_seen: 4096 again_ms: 1000 lag_ms: 50"""


def fault_of_gate(gate, name):
    for who in ("address", "prefix"):
        caps = getattr(gate, who)
        if caps.per_s and caps.burst < 1:
            return f"{name}.{who}.burst: {caps.burst:g} lets nobody in; 1 at least, as per_s is set"
    try:
        networks(gate.known)
    except ValueError as bad:
        return f"{name}.known: {bad}"
    if gate.reserve and not gate.known:
        return f"{name}.reserve: {gate.reserve}, but no range is known"
    return None


def rules_of(gate, most):
    """A gate's rules for `most` connections."""

    def caps(c):
        return Caps(c.connections, c.per_s, c.burst, c.queries, c.held_bytes, c.senseless_per_s)

    usual = pb.Gate()
    text_format.Parse(GATE, usual)
    usual.MergeFrom(gate)
    g = usual
    return Rules(
        most,
        g.most_queries,
        caps(g.address),
        caps(g.prefix),
        g.prefix4,
        networks(g.known),
        g.reserve,
        most_seen=g.most_seen,
        again_ms=g.again_ms,
        lag_ms=g.lag_ms,
    )


def line_of(text, fault):
    """The line that a fault's first word (`groups[1].target_ms: ...`) speaks of, if the text itself says it."""
    at = 0
    for name, no in re.findall(r"(\w+)(?:\[(\d+)\])?", fault.partition(":")[0]):
        found = list(re.finditer(rf"\b{name}\b\s*[:{{]", text[at:]))
        if len(found) <= int(no or 0):
            return None
        at += found[int(no or 0)].start()
    return text.count("\n", 0, at) + 1


def read_lab(text, name="settings"):
    """A world from text; `BadSettings` with one line otherwise. Lists that the text gives take the place of the usual ones,
    single figures theirs alone."""
    lab, said = pb.Lab(), parse(pb.Lab(), text, name)
    text_format.Parse(WORLD, lab)
    for field in ("groups", "tenants"):
        if getattr(said, field):
            lab.ClearField(field)
    if said.engines.zones:
        lab.engines.ClearField("zones")
    lab.MergeFrom(said)
    refuse(fault_of(lab), text, name)
    return lab


def parse(message, text, name):
    try:
        return text_format.Parse(text, message)
    except text_format.ParseError as bad:
        line = bad.GetLine()
        raise BadSettings(
            f"{name}{f':{line}' if line else ''}: {str(bad).partition(' : ')[2] or bad}"
        ) from None


def refuse(fault, text, name):
    if fault:
        line = line_of(text, fault)
        raise BadSettings(f"{name}{f':{line}' if line else ''}: {fault}")


def out_of_range(message):
    for path, shown, value in fields(message):
        least, most = RANGES.get(path, (None, None))
        if least is not None and not least <= value <= most:
            return f"{shown}: {value:g} is not between {least:g} and {most:g}"
    return None


def read_settings(text, name="settings"):
    """What a front is told beyond the platform's JSON."""
    said = parse(pb.Settings(), text, name)
    refuse(
        out_of_range(said)
        or fault_of_gate(said.gate, "gate")
        or said.HasField("fleet")
        and fault_of_fleet(said.fleet)
        or said.HasField("control")
        and fault_of_control(said)
        or said.HasField("distribution")
        and fault_of_distribution(said),
        text,
        name,
    )
    return said


def read_control(text, name="settings"):
    """What a control process is told: settings with `control`."""
    said = read_settings(text, name)
    refuse(None if said.HasField("control") else "control: missing", text, name)
    return said


def read_gate(text, name="gate"):
    """A gate by itself, by the same checks as in a file."""
    gate = parse(pb.Gate(), text, name)
    refuse(out_of_range(pb.Settings(gate=gate)) or fault_of_gate(gate, "gate"), text, name)
    return gate


def read_file(path, read=read_lab):
    try:
        with open(path, encoding="utf-8") as file:
            return read(file.read(), str(path))
    except OSError as bad:
        raise BadSettings(f"{path}: {bad.strerror}") from None
    except UnicodeDecodeError as bad:
        raise BadSettings(f"{path}: not UTF-8 text at byte {bad.start}") from None

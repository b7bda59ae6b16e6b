"""The rows of the capacity table: a role's need at the planned size, its budget, and what carries it."""

from collections.abc import Callable
from dataclasses import dataclass

from lichenquay.config.fleet_settings import MAX_GATEWAYS
from lichenquay.fleet.quota_participant import MAX_LEDGER_BYTES
from lichenquay.gateway.http import MAX_BODY_BYTES
from lichenquay.testbed.scale import plan

NONE_TODAY = "none today"
HOMES = 4  # engines that a set of tables has for its readers and its loads
At = Callable[[str, float], float]
"""at(quantity, size): a fitted quantity's value at a size."""


@dataclass(frozen=True)
class Row:
    """`what`: the quantity whose slope is shown; `size`: where it is read; `need`: in `unit`, by `at`.

    Without `need` nothing was measured. Without `budget` the plan names none.
    """

    role: str
    title: str
    what: str | None
    size: float | None
    need: Callable[[At], float] | None
    unit: str
    budget: float | None
    mechanism: str


def datagrams_processor(at: At, loss: int) -> float:
    """Milliseconds a second for one front's talk: decisions; datagrams sealed, sent, received, opened."""
    name = f"members.lost_{loss}"
    messages = at(f"{name}.messages", plan.FRONTS)
    size = at(f"{name}.bytes", plan.FRONTS) / max(1e-9, messages)
    each = sum(at(f"datagram.{step}", size) for step in ("seal", "socket", "open"))
    return at(f"{name}.processor", plan.FRONTS) + messages * each


def datagrams_bytes(at: At, loss: int) -> float:
    """Bytes a second of one front's talk, both ways, with the envelope."""
    name = f"members.lost_{loss}"
    messages = at(f"{name}.messages", plan.FRONTS)
    size = at(f"{name}.bytes", plan.FRONTS) / max(1e-9, messages)
    return 2 * messages * at("datagram.length", size)


def list_events_processor(at: At) -> float:
    """Milliseconds a second for list events at a front.

    A set of tables is ranked anew only where one of its homes left the list.
    """
    homes = plan.TABLE_SETS_ASSUMED * at("controller.homes", plan.ENGINES) * HOMES / plan.ENGINES
    return plan.LIST_EVENTS_PER_S * (at("controller.list_event", plan.ENGINES) + homes)


def front_memory(at: At) -> float:
    """Bytes that a front holds for engines and members."""
    engines = at("controller.state", plan.ENGINES) + at("discovery.engines", plan.ENGINES)
    return engines + at("members.state", plan.FRONTS)


def front_processor(at: At) -> float:
    """Milliseconds a second of a front's control on a calm day; its talk as real processes had it."""
    quota = at("quota.front.processor", plan.TENANTS_ASSUMED)
    beats = at("controller.beats", plan.ENGINES)
    return beats + list_events_processor(at) + at("host.quota.processor", plan.FRONTS) + quota


def front_bytes(at: At) -> float:
    """Bytes a second of a front's control on a calm day, both ways; the list's events are not in it."""
    quota = sum(at(f"quota.front.bytes_{way}", plan.TENANTS_ASSUMED) for way in ("out", "in"))
    idle = sum(at(f"discovery.idle_bytes_{way}", plan.ENGINES) for way in ("out", "in"))
    return datagrams_bytes(at, 0) + quota + idle


FRONT_MS, FRONT_B = plan.FRONT_PROCESSOR_MS_PER_S, plan.FRONT_BYTES_PER_S
E, F = plan.ENGINES, plan.FRONTS
LIST_ADDRESS = "discovery: every front asks the one address of the bulletin"
INCREMENTS = "admission: kept by increments, no pass over all engines"


def missing(role: str, title: str) -> Row:
    """A need that nothing in the tree carries."""
    return Row(role, title, None, None, None, "", None, NONE_TODAY)


MISSING = (
    missing("publisher", "50,000 configuration changes a day to all within 7 s"),
    missing("relay", "a zone's copy of list and configuration"),
    missing("voter", "who may publish: a lease over 3 regions"),
    missing("subscriber", "versions at a front: in force, confirmed, kept"),
    missing("failure detector", "a region or zone that is cut off, told as one"),
)

MEASURED = (
    Row(
        "front",
        "processor: beats and looks over the engines",
        "controller.beats",
        E,
        lambda at: at("controller.beats", E),
        "ms/s",
        FRONT_MS,
        INCREMENTS,
    ),
    Row(
        "front",
        "processor: list events of a day",
        "controller.list_event",
        E,
        list_events_processor,
        "ms/s",
        FRONT_MS,
        INCREMENTS,
    ),
    Row(
        "front",
        "processor: talk, decisions and datagrams alone, nothing lost",
        "members.lost_0.processor",
        F,
        lambda at: datagrams_processor(at, 0),
        "ms/s",
        FRONT_MS,
        "members",
    ),
    Row(
        "front",
        "processor: talk, decisions and datagrams alone, 20% lost",
        "members.lost_20.processor",
        F,
        lambda at: datagrams_processor(at, 20),
        "ms/s",
        FRONT_MS,
        "members",
    ),
    Row(
        "front",
        "processor: talk of members, real process",
        "host.members.processor",
        F,
        lambda at: at("host.members.processor", F),
        "ms/s",
        FRONT_MS,
        "fleet host",
    ),
    Row(
        "front",
        "processor: talk of members and an idle account, real process",
        "host.quota.processor",
        F,
        lambda at: at("host.quota.processor", F),
        "ms/s",
        FRONT_MS,
        "fleet host",
    ),
    Row(
        "front",
        "processor: quota, 100 tenants assumed",
        "quota.front.processor",
        plan.TENANTS_ASSUMED,
        lambda at: at("quota.front.processor", plan.TENANTS_ASSUMED),
        "ms/s",
        FRONT_MS,
        "quota rights",
    ),
    Row(
        "front",
        "processor: all control, calm",
        "controller.beats",
        E,
        front_processor,
        "ms/s",
        FRONT_MS,
        "as above",
    ),
    Row(
        "front",
        "memory: state of engines and members",
        "controller.state",
        E,
        front_memory,
        "bytes",
        plan.FRONT_MEMORY_BYTES,
        "controller, service, members",
    ),
    Row(
        "front",
        "bytes: all control, calm, both ways",
        "members.lost_0.bytes",
        F,
        front_bytes,
        "B/s",
        FRONT_B,
        "members, quota, discovery",
    ),
    Row(
        "front",
        "bytes: talk with fronts, 20% lost, both ways",
        "members.lost_20.bytes",
        F,
        lambda at: datagrams_bytes(at, 20),
        "B/s",
        FRONT_B,
        "members",
    ),
    Row(
        "front",
        "a whole list's length, of what a front reads",
        "discovery.body",
        E,
        lambda at: at("discovery.body", E),
        "bytes",
        float(MAX_BODY_BYTES),
        LIST_ADDRESS,
    ),
    Row(
        "front",
        "a whole list: parsed and taken, of 7 s",
        "controller.whole_list",
        E,
        lambda at: at("discovery.whole_list", E) + at("controller.whole_list", E),
        "ms",
        plan.CONFIGURATION_MS,
        "controller: compares lists pair by pair",
    ),
    Row(
        "front",
        "data path: controller at 4,091 statements a second, of one process",
        "controller.query",
        E,
        lambda at: plan.STATEMENTS_PER_S_A_FRONT * at("controller.query", E),
        "ms/s",
        plan.PROCESS_MS_PER_S,
        INCREMENTS,
    ),
    Row(
        "failure detector",
        "fronts that one fleet may have",
        None,
        F,
        lambda at: float(F),
        "fronts",
        float(MAX_GATEWAYS),
        "members: at most 1,024 names",
    ),
    Row(
        "failure detector",
        "a killed front is cut everywhere, of 10 s",
        "members.lost_0.detect",
        F,
        lambda at: at("members.lost_0.detect", F),
        "s",
        plan.PRIMARY_CHANGE_MS / 1_000,
        "members: hold grows with log10",
    ),
    Row(
        "account keeper",
        "processor of the one keeper, 4 tenants a front",
        "quota.keeper.processor",
        F,
        lambda at: at("quota.keeper.processor", F),
        "ms/s",
        plan.PROCESS_MS_PER_S,
        "quota keeper: one process",
    ),
    Row(
        "account keeper",
        "writing a second's records (round trip 2 ms, disk 2 ms)",
        "quota.keeper.record_bytes",
        F,
        lambda at: at("lease.large_record_made", at("quota.keeper.record_bytes", F)),
        "ms/s",
        plan.PROCESS_MS_PER_S,
        "lease group: 800 bytes a round trip",
    ),
    Row(
        "account keeper",
        "state of the ledger, 4 tenants",
        "quota.keeper.state",
        F,
        lambda at: at("quota.keeper.state", F),
        "bytes",
        float(MAX_LEDGER_BYTES),
        "lease group: max_state_bytes",
    ),
    Row(
        "voter",
        "a record made over 60 ms round trips, of 10 s",
        "lease.record_made",
        plan.REGIONS_ROUND_TRIP_MS,
        lambda at: at("lease.record_made", plan.REGIONS_ROUND_TRIP_MS),
        "ms",
        plan.PRIMARY_CHANGE_MS,
        "lease group",
    ),
    Row(
        "voter",
        "another holder after a kill, 60 ms round trips, of 10 s",
        "lease.takeover",
        plan.REGIONS_ROUND_TRIP_MS,
        lambda at: at("lease.takeover", plan.REGIONS_ROUND_TRIP_MS),
        "ms",
        plan.PRIMARY_CHANGE_MS,
        "lease group: lease",
    ),
    Row(
        "publisher",
        "calls at the bulletin's one address, calm",
        "discovery.idle_calls",
        E,
        lambda at: F * at("discovery.idle_calls", E),
        "1/s",
        None,
        LIST_ADDRESS,
    ),
    Row(
        "publisher",
        "lists when a zone's 367 fronts start",
        "discovery.body",
        E,
        lambda at: plan.FRONTS_A_ZONE * at("discovery.body", E),
        "bytes",
        None,
        LIST_ADDRESS,
    ),
)

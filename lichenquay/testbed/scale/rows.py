"""The rows of the capacity table: a role's need at the planned size, its budget, and the mechanism that
provides it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from lichenquay.config.fleet_settings import MAX_GATEWAYS
from lichenquay.fleet.quota_participant import MAX_LEDGER_BYTES
from lichenquay.gateway.http import MAX_BODY_BYTES
from lichenquay.testbed.scale import plan

NONE_TODAY = "none today"
PREFERRED_ENGINES_PER_TABLE_SET = 4  # For reads and loads together.
At = Callable[[str, float], float]
"""at(quantity, size): a fitted quantity's value at a size."""


@dataclass(frozen=True)
class Row:
    """Holds one row. `quantity`: whose slope is shown; `size`: where it is read; `need`: in `unit`,
    computed from `at`.

    `need` is None where nothing was measured, `budget` is None where the plan has none.
    """

    role: str
    title: str
    quantity: str | None
    size: float | None
    need: Callable[[At], float] | None
    unit: str
    budget: float | None
    mechanism: str


def membership_processor(at: At, loss: int) -> float:
    """Returns a gateway's processor time for membership in ms/s: decisions, and datagrams sealed, sent,
    received and opened.
    """
    name = f"members.lost_{loss}"
    messages = at(f"{name}.messages", plan.GATEWAYS)
    size = at(f"{name}.bytes", plan.GATEWAYS) / max(1e-9, messages)
    each = sum(at(f"datagram.{step}", size) for step in ("seal", "socket", "open"))
    return at(f"{name}.processor", plan.GATEWAYS) + messages * each


def membership_bytes(at: At, loss: int) -> float:
    """Returns a gateway's bytes a second for membership, sent and received, with the envelope."""
    name = f"members.lost_{loss}"
    messages = at(f"{name}.messages", plan.GATEWAYS)
    size = at(f"{name}.bytes", plan.GATEWAYS) / max(1e-9, messages)
    return 2 * messages * at("datagram.length", size)


def list_events_processor(at: At) -> float:
    """Returns a gateway's processor time for list events in ms/s.

    The preferred engines of a set of tables are ranked again only when one of them leaves the list.
    """
    preferred = (
        plan.TABLE_SETS_ASSUMED
        * at("controller.homes", plan.ENGINES)
        * PREFERRED_ENGINES_PER_TABLE_SET
        / plan.ENGINES
    )
    return plan.LIST_EVENTS_PER_S * (at("controller.list_event", plan.ENGINES) + preferred)


def gateway_memory(at: At) -> float:
    """Returns the bytes that a gateway holds for engines and members."""
    engines = at("controller.state", plan.ENGINES) + at("discovery.engines", plan.ENGINES)
    return engines + at("members.state", plan.GATEWAYS)


def gateway_processor(at: At) -> float:
    """Returns a gateway's processor time for control without faults in ms/s, with membership as measured on
    real processes.
    """
    quota = at("quota.front.processor", plan.TENANTS_ASSUMED)
    beats = at("controller.beats", plan.ENGINES)
    return beats + list_events_processor(at) + at("host.quota.processor", plan.GATEWAYS) + quota


def gateway_bytes(at: At) -> float:
    """Returns a gateway's bytes a second for control without faults, sent and received, without
    list events.
    """
    quota = sum(at(f"quota.front.bytes_{way}", plan.TENANTS_ASSUMED) for way in ("out", "in"))
    idle = sum(at(f"discovery.idle_bytes_{way}", plan.ENGINES) for way in ("out", "in"))
    return membership_bytes(at, 0) + quota + idle


GATEWAY_MS, GATEWAY_B = plan.GATEWAY_PROCESSOR_MS_PER_S, plan.GATEWAY_BYTES_PER_S
ENGINES, GATEWAYS = plan.ENGINES, plan.GATEWAYS
SINGLE_LIST_ADDRESS = "discovery: every gateway polls the single address of the service"
INCREMENTAL_STATE = "admission: maintained incrementally, no pass over all engines"


def not_implemented(role: str, title: str) -> Row:
    """Returns a row for a need that no mechanism provides yet."""
    return Row(role, title, None, None, None, "", None, NONE_TODAY)


NOT_IMPLEMENTED = (
    not_implemented("publisher", "50,000 configuration changes a day to all within 7 s"),
    not_implemented("relay", "a zone's copy of list and configuration"),
    not_implemented("voter", "leader election of publishers: a lease over 3 regions"),
    not_implemented("subscriber", "versions at a gateway: in force, confirmed, stored"),
    not_implemented("failure detector", "a partitioned region or zone, reported as one"),
)

MEASURED = (
    Row(
        "front",
        "processor: ticks and scans over the engines",
        "controller.beats",
        ENGINES,
        lambda at: at("controller.beats", ENGINES),
        "ms/s",
        GATEWAY_MS,
        INCREMENTAL_STATE,
    ),
    Row(
        "front",
        "processor: list events of a day",
        "controller.list_event",
        ENGINES,
        list_events_processor,
        "ms/s",
        GATEWAY_MS,
        INCREMENTAL_STATE,
    ),
    Row(
        "front",
        "processor: membership, decisions and datagrams alone, no loss",
        "members.lost_0.processor",
        GATEWAYS,
        lambda at: membership_processor(at, 0),
        "ms/s",
        GATEWAY_MS,
        "members",
    ),
    Row(
        "front",
        "processor: membership, decisions and datagrams alone, 20% loss",
        "members.lost_20.processor",
        GATEWAYS,
        lambda at: membership_processor(at, 20),
        "ms/s",
        GATEWAY_MS,
        "members",
    ),
    Row(
        "front",
        "processor: membership, real process",
        "host.members.processor",
        GATEWAYS,
        lambda at: at("host.members.processor", GATEWAYS),
        "ms/s",
        GATEWAY_MS,
        "fleet host",
    ),
    Row(
        "front",
        "processor: membership and an idle account, real process",
        "host.quota.processor",
        GATEWAYS,
        lambda at: at("host.quota.processor", GATEWAYS),
        "ms/s",
        GATEWAY_MS,
        "fleet host",
    ),
    Row(
        "front",
        "processor: quota, 100 tenants assumed",
        "quota.front.processor",
        plan.TENANTS_ASSUMED,
        lambda at: at("quota.front.processor", plan.TENANTS_ASSUMED),
        "ms/s",
        GATEWAY_MS,
        "quota escrow",
    ),
    Row(
        "front",
        "processor: all control, no faults",
        "controller.beats",
        ENGINES,
        gateway_processor,
        "ms/s",
        GATEWAY_MS,
        "as above",
    ),
    Row(
        "front",
        "memory: state of engines and members",
        "controller.state",
        ENGINES,
        gateway_memory,
        "bytes",
        plan.GATEWAY_MEMORY_BYTES,
        "controller, service, members",
    ),
    Row(
        "front",
        "bytes: all control, no faults, sent and received",
        "members.lost_0.bytes",
        GATEWAYS,
        gateway_bytes,
        "B/s",
        GATEWAY_B,
        "members, quota, discovery",
    ),
    Row(
        "front",
        "bytes: membership, 20% loss, sent and received",
        "members.lost_20.bytes",
        GATEWAYS,
        lambda at: membership_bytes(at, 20),
        "B/s",
        GATEWAY_B,
        "members",
    ),
    Row(
        "front",
        "a whole list's length, against a gateway's limit",
        "discovery.body",
        ENGINES,
        lambda at: at("discovery.body", ENGINES),
        "bytes",
        float(MAX_BODY_BYTES),
        SINGLE_LIST_ADDRESS,
    ),
    Row(
        "front",
        "a whole list: parsed and applied, within 7 s",
        "controller.whole_list",
        ENGINES,
        lambda at: at("discovery.whole_list", ENGINES) + at("controller.whole_list", ENGINES),
        "ms",
        plan.CONFIGURATION_TARGET_MS,
        "controller: compares lists pair by pair",
    ),
    Row(
        "front",
        "data path: controller at 4,091 statements a second, of one process",
        "controller.query",
        ENGINES,
        lambda at: plan.STATEMENTS_PER_S_PER_GATEWAY * at("controller.query", ENGINES),
        "ms/s",
        plan.PROCESS_MS_PER_S,
        INCREMENTAL_STATE,
    ),
    Row(
        "failure detector",
        "gateways in one fleet",
        None,
        GATEWAYS,
        lambda at: float(GATEWAYS),
        "fronts",
        float(MAX_GATEWAYS),
        "members: at most 1,024 names",
    ),
    Row(
        "failure detector",
        "a killed gateway is detected by all, within 10 s",
        "members.lost_0.detect",
        GATEWAYS,
        lambda at: at("members.lost_0.detect", GATEWAYS),
        "s",
        plan.PRIMARY_CHANGE_TARGET_MS / 1_000,
        "members: suspicion time grows with log10",
    ),
    Row(
        "account keeper",
        "processor of the single ledger leader, 4 tenants a gateway",
        "quota.keeper.processor",
        GATEWAYS,
        lambda at: at("quota.keeper.processor", GATEWAYS),
        "ms/s",
        plan.PROCESS_MS_PER_S,
        "ledger leader: one process",
    ),
    Row(
        "account keeper",
        "writing a second's records (round trip 2 ms, disk 2 ms)",
        "quota.keeper.record_bytes",
        GATEWAYS,
        lambda at: at("lease.large_record_made", at("quota.keeper.record_bytes", GATEWAYS)),
        "ms/s",
        plan.PROCESS_MS_PER_S,
        "lease group: 800 bytes a round trip",
    ),
    Row(
        "account keeper",
        "state of the ledger, 4 tenants",
        "quota.keeper.state",
        GATEWAYS,
        lambda at: at("quota.keeper.state", GATEWAYS),
        "bytes",
        float(MAX_LEDGER_BYTES),
        "lease group: max_state_bytes",
    ),
    Row(
        "voter",
        "a record committed over 60 ms round trips, within 10 s",
        "lease.record_made",
        plan.REGIONS_ROUND_TRIP_MS,
        lambda at: at("lease.record_made", plan.REGIONS_ROUND_TRIP_MS),
        "ms",
        plan.PRIMARY_CHANGE_TARGET_MS,
        "lease group",
    ),
    Row(
        "voter",
        "another lease holder after a kill, 60 ms round trips, within 10 s",
        "lease.takeover",
        plan.REGIONS_ROUND_TRIP_MS,
        lambda at: at("lease.takeover", plan.REGIONS_ROUND_TRIP_MS),
        "ms",
        plan.PRIMARY_CHANGE_TARGET_MS,
        "lease group: lease",
    ),
    Row(
        "publisher",
        "calls at the discovery service, no faults",
        "discovery.idle_calls",
        ENGINES,
        lambda at: GATEWAYS * at("discovery.idle_calls", ENGINES),
        "1/s",
        None,
        SINGLE_LIST_ADDRESS,
    ),
    Row(
        "publisher",
        "lists when a zone's 367 gateways start",
        "discovery.body",
        ENGINES,
        lambda at: plan.GATEWAYS_PER_ZONE * at("discovery.body", ENGINES),
        "bytes",
        None,
        SINGLE_LIST_ADDRESS,
    ),
)

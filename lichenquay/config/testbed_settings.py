"""Settings of the testbed and their defaults: engines, query groups, tenants, faults and load."""

from google.protobuf import text_format

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.connection_admission_settings import find_connection_admission_error
from lichenquay.config.text_format import find_range_error, parse, raise_if_error

# The defaults of each testbed file, and the testbed of `demo`; small enough for any machine.
DEFAULT_TESTBED = """
seed: 1
engines { count: 4 cores: 4 memory_mb: 4096 zones: "a" zones: "b" most_open: 64 warm_tables: 8
          cold_table: 0.5 spill: 1.0 cold_share: 0.3 cold_ms: 8000 cold_multiple: 3 fall_ms: 1500
          keepalive_ms: 15000 }
groups { name: "status" effect: READ_ONLY target_ms: 500 stretch: 1.5 timeout_ms: 2500 value: 1
         late_value: 0.2 threads: 1 share: 0.75 work_ms: 12 work_sigma: 0.5 memory_mb: 16 rows: 3
         estimate_sigma: 0.2 }
groups { name: "report" effect: READ_ONLY target_ms: 1000 stretch: 2.5 timeout_ms: 4000 value: 20
         late_value: 0.2 threads: 3 share: 0.13 work_ms: 180 work_sigma: 0.7 memory_mb: 256 rows: 300
         estimate_sigma: 0.3 }
groups { name: "manifest" effect: MUTATING target_ms: 1000 stretch: 1 timeout_ms: 4000 value: 30
         threads: 2 load: true share: 0.12 work_ms: 60 work_sigma: 0.4 memory_mb: 64 rows: 1
         estimate_sigma: 0.2 }
tenants { name: "north" share: 0.4 allowance_per_s: 400 }
tenants { name: "south" share: 0.35 allowance_per_s: 350 }
tenants { name: "west" share: 0.25 allowance_per_s: 250 }
load { rate: 80 seconds: 10 peak: 3 workers: 2 connections: 12 addresses: 4 tables: 40 skew: 0.8 }
front { count: 1 memory_mb: 192 sockets: 1024 }
"""
MAX_SLOWDOWN = 100  # the maximum factor of a SLOW fault


def read_testbed(text: str, name: str = "settings"):
    """Returns the settings of a testbed, with defaults for missing values. Raises ConfigurationError.

    A list in the text replaces the whole default list.
    """
    given = parse(pb.Lab(), text, name)
    testbed = pb.Lab()
    text_format.Parse(DEFAULT_TESTBED, testbed)
    for field in ("groups", "tenants"):
        if getattr(given, field):
            testbed.ClearField(field)
    if given.engines.zones:
        testbed.engines.ClearField("zones")
    testbed.MergeFrom(given)
    raise_if_error(find_testbed_error(testbed), text, name)
    return testbed


def find_testbed_error(testbed) -> str | None:
    """Returns the first error in the settings of a testbed, or None."""
    return (
        find_range_error(testbed)
        or _find_names_error(testbed)
        or _find_load_error(testbed)
        or _find_faults_error(testbed)
        or find_connection_admission_error(testbed.front.gate, "front.gate")
    )


def _find_names_error(testbed):
    for field in ("groups", "tenants"):
        names = [element.name for element in getattr(testbed, field)]
        if not names or "" in names or len(set(names)) < len(names):
            return f"{field}: each element requires a unique name"
    group_shares = sum(group.share for group in testbed.groups)
    tenant_shares = sum(tenant.share for tenant in testbed.tenants)
    if not group_shares > 0 or not tenant_shares > 0:
        return "shares: the sums over groups and over tenants must be above 0"
    return None


def _find_load_error(testbed):
    load = testbed.load
    if load.addresses > load.connections:
        return f"load.addresses: {load.addresses} exceeds the number of connections, {load.connections}"
    if load.workers > load.connections:
        return f"load.workers: {load.workers} exceeds the number of connections, {load.connections}"
    return None


def _find_faults_error(testbed):
    for index, fault in enumerate(testbed.faults):
        error = _find_fault_error(fault, testbed.engines)
        if error:
            return f"faults[{index}].{error}"
    return None


def _find_fault_error(fault, engines):
    if fault.kind == pb.Fault.NONE:
        return "kind: missing"
    if fault.engine >= engines.count:
        return f"engine: {fault.engine} is not between 0 and {engines.count - 1}"
    if fault.kind == pb.Fault.ZONE_CUT and fault.zone not in engines.zones:
        return f"zone: no engine is in {fault.zone!r}"
    is_probability = fault.kind in (pb.Fault.RESET, pb.Fault.SPOIL, pb.Fault.LOSE)
    if is_probability and not 0 < fault.amount <= 1:
        return f"amount: {fault.amount:g} is not a share above 0 and up to 1"
    if fault.kind == pb.Fault.SLOW and not 0 < fault.amount <= MAX_SLOWDOWN:
        return f"amount: {fault.amount:g} is not a factor above 0 and up to {MAX_SLOWDOWN}"
    return None

"""A deployment's settings: the operators' names for them, mapped to the types of the admission decisions.

The simulator adapter and the gateway both read their settings here; they differ only in how the settings
reach them. Nothing is decided here.
"""

from collections.abc import Sequence
from typing import NamedTuple, TypeVar

from lichenquay.admission.controller import Controller
from lichenquay.admission.domain import (
    DeduplicationScope,
    Effect,
    EndpointState,
    Engine,
    EngineCapabilities,
    GatewayIdentity,
    GatewayPermissions,
    LoadReportSource,
    MemoryShortageBehaviour,
    ResourceGroup,
    SafetyLimits,
    Tenant,
)
from lichenquay.admission.ports import GatewayPort
from lichenquay.settings_section import SettingsError, SettingsSection

__all__ = ["DeploymentSettings", "EngineSize", "SettingsError", "SettingsSection"]

EFFECTS = {
    "safe": Effect.READ_ONLY,
    "keyed": Effect.IDEMPOTENT_WITH_KEY,
    "unsafe": Effect.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
MEMORY_SHORTAGE_BEHAVIOURS = {
    "queue": MemoryShortageBehaviour.QUEUE,
    "trim": MemoryShortageBehaviour.TRIM,
    "swap": MemoryShortageBehaviour.SWAP,
}
LOAD_REPORT_SOURCES = {
    "answers": LoadReportSource.ANSWERS,
    "probe": LoadReportSource.HEALTH_CHECKS,
    "none": LoadReportSource.NONE,
}

_Item = TypeVar("_Item")


class EngineSize(NamedTuple):
    """The size of a kind of engine."""

    cores: float
    memory_mb: float


UNKNOWN_SIZE = EngineSize(0.0, 0.0)


def _item_or(values: Sequence[_Item], index: int, default: _Item) -> _Item:
    """The item at the index; the default where the list is shorter."""
    return values[index] if index < len(values) else default


class DeploymentSettings:
    """All settings of a deployment, and the controller that they configure."""

    def __init__(self, section: SettingsSection, seed: int):
        """Reads the settings; `seed`: of this gateway. Raises `SettingsError`."""
        engine_family = section.subsection("family_info")
        limits = section.subsection("limits")
        self.groups = {group.name: group for group in _read_groups(section, engine_family)}
        self.tenants = {tenant.name: tenant for tenant in _read_tenants(section)}
        self.sizes_by_kind = _read_sizes(section, engine_family)
        self.engine_keepalive_ms = limits.milliseconds(
            "keepalive_us", 0
        )  # engines close idle connections after this
        self.gateway = _read_gateway(section, seed)
        self.permissions = _read_permissions(limits)
        self.safety_limits = _read_safety_limits(section.subsection("rules"))
        self.capabilities = _read_capabilities(engine_family, section.subsection("report"), limits)

    def controller(self, port: GatewayPort) -> Controller:
        """A new controller for a gateway."""
        return Controller(
            port,
            self.gateway,
            list(self.groups.values()),
            list(self.tenants.values()),
            self.permissions,
            self.safety_limits,
            self.capabilities,
        )

    def update_engine(
        self,
        engine: Engine,
        zone: str,
        kind: str,
        cell: int,
        state: EndpointState,
        advertised_weight: float,
        started_ms: float | None,
    ) -> Engine:
        """Sets what an entry of the endpoint list says of an engine. `started_ms`: 0 or None: long ago."""
        size = self.sizes_by_kind.get(kind, UNKNOWN_SIZE)
        engine.zone = zone
        engine.kind = kind
        engine.cell = cell
        engine.state = state
        engine.advertised_weight = advertised_weight
        engine.started_ms = started_ms or None
        engine.cores = size.cores
        engine.memory_mb = size.memory_mb
        return engine


def _read_groups(section: SettingsSection, engine_family: SettingsSection) -> list[ResourceGroup]:
    threads = engine_family.numbers("width_by_class")
    bulk_loads = engine_family.flags("loads")
    waits = engine_family.flags("yields_to_loads")
    return [
        _read_group(
            group,
            threads=max(1, int(_item_or(threads, index, 1))),
            is_bulk_load=_item_or(bulk_loads, index, False),
            waits_for_bulk_load=_item_or(waits, index, False),
        )
        for index, group in enumerate(section.listed("classes", "class"))
    ]


def _read_group(
    section: SettingsSection, threads: int, is_bulk_load: bool, waits_for_bulk_load: bool
) -> ResourceGroup:
    effect = section.text("effect", "unsafe")
    if effect not in EFFECTS:
        raise section.error("effect", f"is {effect!r}, expected one of {', '.join(EFFECTS)}")
    scope = section.text("group", "all")
    return ResourceGroup(
        name=section.text("name"),
        effect=EFFECTS[effect],
        latency_objective_ms=section.milliseconds("aim_us"),
        latency_objective_stretch=section.number("aim_stretch", 0.0),
        max_timeout_ms=section.milliseconds("deadline_us"),
        priority_weight=section.number("worth", 1.0),
        late_weight_share=section.number("late_worth", 0.0),
        threads=threads,
        is_bulk_load=is_bulk_load,
        waits_for_bulk_load=waits_for_bulk_load,
        is_ordered_by_key=section.flag("serial_by_key", "0"),
        deduplication_scope=DEDUPLICATION_SCOPES.get(scope, DeduplicationScope.UNKNOWN),
        idempotency_window_ms=section.milliseconds("key_ttl_us", 0),
        allowed_zones=frozenset(section.words("failure_domains_only")) or None,
        allowed_kinds=frozenset(section.words("runs_on")) or None,
    )


def _read_tenants(section: SettingsSection) -> list[Tenant]:
    over_quota_weight_share = section.number("over_share_worth", 1.0)
    return [
        Tenant(
            name=tenant.text("name"),
            quota_share=tenant.number("share", 0.0),
            quota_per_s=tenant.number("allowance_per_s", 0.0),
            over_quota_weight_share=over_quota_weight_share,
        )
        for tenant in section.listed("tenants", "tenant")
    ]


def _read_sizes(section: SettingsSection, engine_family: SettingsSection) -> dict[str, EngineSize]:
    cores = engine_family.numbers("size_cores")
    memory_mb = engine_family.numbers("memory_by_kind_mb")
    return {
        kind: EngineSize(_item_or(cores, index, 0.0), _item_or(memory_mb, index, 0.0))
        for index, kind in enumerate(section.words("kinds"))
    }


def _read_gateway(section: SettingsSection, seed: int) -> GatewayIdentity:
    return GatewayIdentity(
        zone=section.text("my_zone", ""),
        gateway_count=section.integer("replicas_of_me", 1),
        seed=seed,
        min_loop_interval_ms=section.milliseconds("resolution_us", 0),
        polls_endpoint_list=section.text("registry_mode", "pushed") == "on_request",
        index=section.integer("slot_no") if section.has("slot_no") else None,
    )


def _read_permissions(limits: SettingsSection) -> GatewayPermissions:
    may_send_retry_after = limits.flag("retry_after", "0")
    return GatewayPermissions(
        max_attempts=limits.integer("most_tries", 1),
        may_cancel=limits.flag("cancel", "0"),
        may_health_check=limits.flag("may_probe", "0"),
        may_hedge=limits.flag("second_copies", "0"),
        max_retry_after_ms=limits.milliseconds("max_retry_after_us", 0) if may_send_retry_after else 0.0,
    )


def _read_safety_limits(rules: SettingsSection) -> SafetyLimits:
    has_retry_budget = rules.has("extra_free") or rules.has("further_ratio")
    return SafetyLimits(
        answer_slack_ms=rules.milliseconds("answer_slack_us", 0),
        drain_grace_ms=rules.milliseconds("stop_sending_within_us", 0),
        warm_up_initial_share=rules.number("start_capacity", 0.0),
        warm_up_ms=rules.milliseconds("ramp_time_us", 0),
        slow_start_overload_factor=rules.number("overload_factor", 0.0),
        slow_start_window_ms=rules.milliseconds("fall_us", 0),
        ordering_pause_ms=rules.milliseconds("order_pause_us", 0),
        retry_budget_free=rules.number("extra_free", 0.0) if has_retry_budget else None,
        retry_budget_ratio=rules.number("further_ratio", 0.0),
        retry_budget_window_ms=rules.milliseconds("counted_over_us", 0),
        discovery_poll_within_ms=rules.milliseconds("must_ask_in_us", 0),
    )


def _read_capabilities(
    engine_family: SettingsSection, report: SettingsSection, limits: SettingsSection
) -> EngineCapabilities:
    shortage = engine_family.text("out_of_memory", "queue")
    source = report.text("how", "none")
    return EngineCapabilities(
        honours_memory_grants=engine_family.flag("takes_grants", "0"),
        honours_priorities=engine_family.flag("ranks_heeded", "0"),
        max_grant_share=engine_family.number("most_grant", 1.0),
        memory_shortage=MEMORY_SHORTAGE_BEHAVIOURS.get(shortage, MemoryShortageBehaviour.QUEUE),
        progress_interval_ms=engine_family.milliseconds("progress_pace_us", 0),
        reports_cost=engine_family.flag("says_cost", "0"),
        load_report_fields=tuple(report.words("columns")),
        load_report_source=LOAD_REPORT_SOURCES.get(source, LoadReportSource.NONE),
        connect_timeout_ms=limits.milliseconds("connect_timeout_us", 0),
    )

"""What a front reads at start: the settings, by the names that the operators gave them, as objects of the trade.

The bench's adapter and the real front both open by this; they differ only in how the settings reach them. Nothing
is decided here.
"""

from lichenquay.admission import domain
from lichenquay.admission.controller import Controller

EFFECTS = {
    "safe": domain.Effect.READ_ONLY,
    "keyed": domain.Effect.IDEMPOTENT_WITH_KEY,
    "unsafe": domain.Effect.NON_IDEMPOTENT,
}


class SettingsError(ValueError):
    """A part that is missing or makes no sense; the text names it."""


class SettingsSection:
    """Parts by name, as text, and what they mean. Unknown names are left alone."""

    __slots__ = ("parts",)

    def __init__(self, parts):
        self.parts = parts

    def bad(self, name, why):
        return SettingsError(f"{name}: {why}")

    def text(self, name, otherwise=None):
        value = self.parts.get(name)
        if value is None:
            if otherwise is None:
                raise self.bad(name, "missing")
            return otherwise
        return value

    def number(self, name, otherwise=None):
        value = self.text(name, otherwise)
        try:
            got = float(value)
        except ValueError:
            got = float("nan")
        if got != got or got in (float("inf"), float("-inf")):
            raise self.bad(name, f"not a number: {value!r}")
        return got

    def integer(self, name, otherwise=None):
        value = self.text(name, otherwise)
        try:
            return int(value)
        except ValueError:
            raise self.bad(name, f"not a whole number: {value!r}") from None

    def ms(self, name, otherwise=None):
        return self.integer(name, otherwise) / 1000

    def flag(self, name, otherwise=None):
        value = self.text(name, otherwise)
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise self.bad(name, f"not a yes or no: {value!r}")

    def words(self, name):
        value = self.parts.get(name, "")
        return value.split(",") if value else []

    def flags(self, name):
        return [w in ("1", "true") for w in self.words(name)]

    def numbers(self, name):
        try:
            return [float(w) for w in self.words(name)]
        except ValueError:
            raise self.bad(name, "not numbers") from None


def at(values, i, otherwise):
    return values[i] if i < len(values) else otherwise


def plain_text(value):
    return str(value).lower() if isinstance(value, bool) else str(value)


def flat(value, path="", parts=None):
    """Nested JSON as parts: names joined by dots; plain lists by commas; lists of objects numbered and counted."""
    parts = {} if parts is None else parts
    if isinstance(value, dict):
        for name, inner in value.items():
            flat(inner, f"{path}.{name}" if path else name, parts)
    elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
        parts[path + ".count"] = str(len(value))
        for i, inner in enumerate(value):
            flat(inner, f"{path}.{i}", parts)
    elif isinstance(value, list):
        parts[path] = ",".join(map(plain_text, value))
    elif value is not None:
        parts[path] = plain_text(value)
    return parts


class DeploymentSettings:
    """Groups, tenants, permissions, safeguards and makes, and the controller that they open."""

    def __init__(self, f, seed):
        threads = f.numbers("family_info.width_by_class")
        loads, yields = f.flags("family_info.loads"), f.flags("family_info.yields_to_loads")
        self.groups = {}
        for i in range(f.integer("classes.count", 0)):
            p = f"classes.{i}."
            effect = f.text(p + "effect", "unsafe")
            if effect not in EFFECTS:
                raise f.bad(p + "effect", f"unknown: {effect!r}")
            places, kinds = f.words(p + "failure_domains_only"), f.words(p + "runs_on")
            group = domain.ResourceGroup(
                f.text(p + "name"),
                EFFECTS[effect],
                f.ms(p + "aim_us"),
                f.number(p + "aim_stretch", 0.0),
                f.ms(p + "deadline_us"),
                f.number(p + "worth", 1.0),
                f.number(p + "late_worth", 0.0),
                max(1, int(at(threads, i, 1))),
                at(loads, i, False),
                at(yields, i, False),
                f.flag(p + "serial_by_key", "0"),
                f.text(p + "group", "all"),
                f.ms(p + "key_ttl_us", 0),
                frozenset(places) if places else None,
                frozenset(kinds) if kinds else None,
            )
            self.groups[group.name] = group
        self.tenants = {}
        for i in range(f.integer("tenants.count", 0)):
            p = f"tenants.{i}."
            tenant = domain.Tenant(
                f.text(p + "name"),
                f.number(p + "share", 0.0),
                f.number(p + "allowance_per_s", 0.0),
                f.number("over_share_worth", 1.0),
            )
            self.tenants[tenant.name] = tenant
        kinds = f.words("kinds")
        cores, memory = f.numbers("family_info.size_cores"), f.numbers("family_info.memory_by_kind_mb")
        self.sizes_by_kind = {k: (at(cores, i, 0.0), at(memory, i, 0.0)) for i, k in enumerate(kinds)}
        self.idle_ms = f.ms("limits.keepalive_us", 0)  # engines close idle connections after this
        free = "rules.extra_free" in f.parts or "rules.further_ratio" in f.parts
        self.gateway = domain.GatewayIdentity(
            f.text("my_zone", ""),
            f.integer("replicas_of_me", 1),
            seed,
            f.ms("resolution_us", 0),
            f.text("registry_mode", "pushed") == "on_request",
            f.integer("slot_no") if "slot_no" in f.parts else None,
        )
        self.permissions = domain.GatewayPermissions(
            f.integer("limits.most_tries", 1),
            f.flag("limits.cancel", "0"),
            f.flag("limits.may_probe", "0"),
            f.flag("limits.second_copies", "0"),
            f.ms("limits.max_retry_after_us", 0) if f.flag("limits.retry_after", "0") else 0.0,
        )
        self.safety_limits = domain.SafetyLimits(
            f.ms("rules.answer_slack_us", 0),
            f.ms("rules.stop_sending_within_us", 0),
            f.number("rules.start_capacity", 0.0),
            f.ms("rules.ramp_time_us", 0),
            f.number("rules.overload_factor", 0.0),
            f.ms("rules.fall_us", 0),
            f.ms("rules.order_pause_us", 0),
            f.number("rules.extra_free", 0.0) if free else None,
            f.number("rules.further_ratio", 0.0),
            f.ms("rules.counted_over_us", 0),
            f.ms("rules.must_ask_in_us", 0),
        )
        self.capabilities = domain.EngineCapabilities(
            f.flag("family_info.takes_grants", "0"),
            f.flag("family_info.ranks_heeded", "0"),
            f.number("family_info.most_grant", 1.0),
            f.text("family_info.out_of_memory", "queue"),
            f.ms("family_info.progress_pace_us", 0),
            f.flag("family_info.says_cost", "0"),
            tuple(f.words("report.columns")),
            f.text("report.how", "none"),
            f.ms("limits.connect_timeout_us", 0),
        )

    def controller(self, door):
        return Controller(
            door,
            self.gateway,
            list(self.groups.values()),
            list(self.tenants.values()),
            self.permissions,
            self.safety_limits,
            self.capabilities,
        )

    def describe(self, e, place, kind, cell, state, units, started_ms):
        """What a row of the list says of an engine."""
        e.zone, e.kind, e.cell, e.state, e.advertised_weight = place, kind, cell, state, units
        e.started_ms = started_ms or None
        e.cores, e.memory_mb = self.sizes_by_kind.get(kind, (0.0, 0.0))
        return e

"""Domain types that a gateway shares with the admission controller.

Times are milliseconds with fractions, memory is in megabytes. Objects refer to each other directly;
identifiers are for the gateway alone. Nothing here decides anything: a gateway fills these in and the
controller reads them. The controller sets the last fields of `Query`, and `Attempt.sent_ms` once more as the
attempt is dispatched.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple


class Effect(StrEnum):
    """What a query does to data, and so whether it may be retried."""

    READ_ONLY = "read-only"
    IDEMPOTENT_WITH_KEY = "idempotent-with-key"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(StrEnum):
    """How an attempt ended."""

    COMPLETED = "completed"  # the engine reported its result
    FAILED = "failed"  # the engine reported an error; it may have run in part
    OVERLOADED = "overloaded"  # the engine shed it and promises that it never ran
    TIMED_OUT = "timed out"  # its time was up; it may have run, and may still run
    NOT_CONNECTED = "not connected"  # no connection to the engine; it never ran
    CONNECTION_RESET = "connection reset"  # its connection was lost; it may have run, and may still run
    CANCELLED = "cancelled"  # the gateway cancelled it; it may have run, and may still run
    NEVER_SENT = "never sent"  # the gateway wrote nothing of it; it never ran


NEVER_EXECUTED = frozenset((Outcome.OVERLOADED, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT))
ALL_OUTCOMES = frozenset(Outcome)


class ProgressKind(StrEnum):
    """What a progress event of an attempt reports."""

    PROGRESS = "progress"  # amount: the share done, 0 to 1
    SPILLING = "spilling"  # amount: missing memory in MB
    WAITING = "waiting"  # amount: a `WaitReason`
    RESPONSIVE = "responsive"  # the engine answers; what it reported was lost


class EndpointState(StrEnum):
    """What the endpoint list says of an engine."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "removed"


class WaitReason(IntEnum):
    """What an attempt waits for on its engine; the amount of a `ProgressKind.WAITING` event."""

    MEMORY = 1
    BULK_LOAD = 2  # a bulk load, perhaps of another gateway, locks its tables


class Priority(IntEnum):
    """Scheduling priority of an attempt on its engine."""

    LATE = 0  # its latency objective is missed already
    NORMAL = 1
    TIGHT = 2  # meets its objective only if the engine favours it
    INTERACTIVE = 3


class DeduplicationScope(StrEnum):
    """Which engines share their memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    UNKNOWN = "unknown"  # the settings gave some other word


class MemoryShortageBehaviour(StrEnum):
    """What an engine does with a query for which it has too little memory."""

    QUEUE = "queue"
    TRIM = "trim"
    SWAP = "swap"  # it slows down all its queries


class LoadReportSource(StrEnum):
    """How a gateway gets load reports of engines."""

    ANSWERS = "answers"  # with each answer
    HEALTH_CHECKS = "probe"  # with the answer to a health check only
    NONE = "none"


class ExecutionCost(NamedTuple):
    """What an engine says that a completed attempt used."""

    work_ms: float
    memory_mb: float


@dataclass(eq=False)
class ResourceGroup:
    """A class of queries with common objectives and constraints."""

    name: str
    effect: Effect
    latency_objective_ms: float  # the target runtime, without the stretch
    latency_objective_stretch: float  # added to it: ms for each ms of estimated work per thread
    max_timeout_ms: float  # longest deadline of a query
    priority_weight: float
    late_weight_share: float  # share of the weight that a result after the objective still has
    threads: int = 1
    is_bulk_load: bool = False  # locks its tables on its engine
    waits_for_bulk_load: bool = False  # cannot run while a bulk load locks its tables
    is_ordered_by_key: bool = False  # queries of one ordering key run one at a time
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # how long an idempotency key is remembered
    allowed_zones: frozenset[str] | None = None  # None: all
    allowed_kinds: frozenset[str] | None = None  # kinds of engine; None: all


@dataclass(eq=False)
class Tenant:
    """A customer with a quota."""

    name: str
    quota_share: float
    quota_per_s: float
    over_quota_weight_share: float  # share of the weight that a query over quota has


@dataclass(eq=False)
class Engine:
    """A query engine as the endpoint list describes it."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.SERVING
    advertised_weight: float = 1.0
    started_ms: float | None = None  # latest start; None: long ago
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(eq=False)
class Query:
    """A client's query, from admission to its final answer."""

    id: int
    group: ResourceGroup
    arrived_ms: float
    deadline_ms: float  # when its client stops waiting
    tenant: Tenant | None = None
    ordering_key: str = ""
    estimated_work_ms: float = 0.0  # of all its threads together; 0: no estimate
    estimated_memory_mb: float = 0.0  # 0: no estimate
    table_group: str | None = None
    attempts: list["Attempt"] = field(default_factory=list)
    has_idempotency_key: bool = True
    is_done: bool = False  # completed, rejected, failed, or its client has gone
    over_quota: bool | None = None  # as the fleet's quota ledger says; None: no ledger
    # Set by the controller:
    counts_over_quota: bool = False
    priority: Priority | None = None  # of its latest attempt; None: never set
    is_first_for_key: bool = False  # its ordering key's earlier queries are over

    @property
    def effect(self):
        """The group's effect; a query that lacks its idempotency key is non-idempotent."""
        # Without this, a retry of it could run twice.
        if self.has_idempotency_key or self.group.effect != Effect.IDEMPOTENT_WITH_KEY:
            return self.group.effect
        return Effect.NON_IDEMPOTENT

    @property
    def latency_objective_ms(self):
        """The group's objective, stretched by the estimated work."""
        group = self.group
        stretched_work_ms = group.latency_objective_stretch * self.estimated_work_ms
        return group.latency_objective_ms + stretched_work_ms / group.threads


@dataclass(eq=False)
class Attempt:
    """One try to run a query on one engine."""

    query: Query
    number: int  # 0 for the first, then 1 and up for retries
    engine: Engine
    sent_ms: float
    outcome: Outcome | None = None  # None while it is in flight


@dataclass(frozen=True)
class GatewayIdentity:
    """Which of the gateways this is."""

    zone: str
    gateway_count: int  # gateways that share the traffic
    seed: int
    min_loop_interval_ms: float  # least time between two turns of the event loop
    polls_endpoint_list: bool = False  # discovery pushes nothing unless asked
    index: int | None = None  # its own among the gateways, from 0; None: unknown


@dataclass(frozen=True)
class GatewayPermissions:
    """What the operators allow a gateway to do."""

    max_attempts: int
    may_cancel: bool
    may_health_check: bool
    may_hedge: bool
    max_retry_after_ms: float  # longest Retry-After; 0: clients are given none


@dataclass(frozen=True)
class SafetyLimits:
    """The figures of the service's rules."""

    answer_slack_ms: float
    drain_grace_ms: float
    warm_up_initial_share: float  # share of its capacity that a starting engine has at once
    warm_up_ms: float  # an engine is warm after this
    slow_start_overload_factor: float  # a cold engine falls over when sent this multiple of its capacity ...
    slow_start_window_ms: float  # ... for this time
    ordering_pause_ms: float = 0.0
    retry_budget_free: float | None = None  # None: retries are not limited
    retry_budget_ratio: float = 0.0
    retry_budget_window_ms: float = 0.0
    discovery_poll_within_ms: float = 0.0


@dataclass(frozen=True)
class EngineCapabilities:
    """What the engines support and report."""

    honours_memory_grants: bool
    honours_priorities: bool
    max_grant_share: float  # share of an engine's memory that one query gets at most
    memory_shortage: MemoryShortageBehaviour
    progress_interval_ms: float  # 0: no progress events
    reports_cost: bool
    load_report_fields: tuple[str, ...] = ()
    load_report_source: LoadReportSource = LoadReportSource.NONE
    connect_timeout_ms: float = 0.0

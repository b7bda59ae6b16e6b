"""Domain types that a gateway shares with the admission controller.

Times are milliseconds with fractions, memory is in megabytes. Objects refer to each other directly; only the
gateway uses identifiers. Nothing here decides anything: a gateway fills these objects in and the controller
reads them. The controller sets the last fields of `Query`, and updates `Attempt.sent_ms` when the attempt is
dispatched.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple

from lichenquay.admission.scheduled_call import ScheduledCall


class Effect(StrEnum):
    """What a query does to data, which determines whether it may be retried."""

    READ_ONLY = "read-only"
    IDEMPOTENT_WITH_KEY = "idempotent-with-key"
    NON_IDEMPOTENT = "non-idempotent"


class Outcome(StrEnum):
    """How an attempt ended."""

    COMPLETED = "completed"  # the engine reported its result
    FAILED = "failed"  # the engine reported an error; it may have run in part
    OVERLOADED = "overloaded"  # the engine shed it and guarantees that it never ran
    TIMED_OUT = "timed out"  # its deadline passed; it may have run, and may still run
    NOT_CONNECTED = "not connected"  # no connection to the engine was established; it never ran
    CONNECTION_RESET = "connection reset"  # the connection was lost; it may have run, and may still run
    CANCELLED = "cancelled"  # the gateway cancelled it; it may have run, and may still run
    NEVER_SENT = "never sent"  # the gateway wrote no byte of it; it never ran


NEVER_EXECUTED = frozenset((Outcome.OVERLOADED, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT))
ALL_OUTCOMES = frozenset(Outcome)


class ProgressKind(StrEnum):
    """What a progress event of an attempt reports."""

    PROGRESS = "progress"  # amount: the completed share, 0 to 1
    SPILLING = "spilling"  # amount: the missing memory in MB
    WAITING = "waiting"  # amount: a `WaitReason`
    RESPONSIVE = "responsive"  # the engine responded, but the content of its report was lost


class EndpointState(StrEnum):
    """The state of an engine on the endpoint list."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "removed"


class WaitReason(IntEnum):
    """What an attempt waits for on its engine; the amount of a `ProgressKind.WAITING` event."""

    MEMORY = 1
    BULK_LOAD = 2  # a bulk load, possibly from another gateway, locks its tables


class Priority(IntEnum):
    """Scheduling priority of an attempt on its engine."""

    LATE = 0  # its latency objective has already been missed
    NORMAL = 1
    TIGHT = 2  # meets its objective only if the engine prefers it to others
    INTERACTIVE = 3


class DeduplicationScope(StrEnum):
    """Which engines share their record of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    UNKNOWN = "unknown"  # the settings gave an unrecognized value


class MemoryShortageBehaviour(StrEnum):
    """What an engine does with a query for which it has too little memory."""

    QUEUE = "queue"
    TRIM = "trim"
    SWAP = "swap"  # slows down all queries of the engine


class LoadReportSource(StrEnum):
    """Which responses of an engine carry load reports."""

    ANSWERS = "answers"  # the response to every query
    HEALTH_CHECKS = "probe"  # only the response to a health check
    NONE = "none"


class ExecutionCost(NamedTuple):
    """The resources that an engine reports for a completed attempt."""

    work_ms: float
    memory_mb: float


@dataclass(eq=False)
class ResourceGroup:
    """A class of queries with common objectives and constraints."""

    name: str
    effect: Effect
    latency_objective_ms: float  # the target latency before the stretch is added
    latency_objective_stretch: float  # added to the target: ms for each ms of estimated work per thread
    max_timeout_ms: float  # longest time from a query's arrival to its deadline
    priority_weight: float
    late_weight_share: float  # share of the weight that a result later than the objective keeps
    threads: int = 1
    is_bulk_load: bool = False  # locks its tables on the engine that runs it
    waits_for_bulk_load: bool = False  # cannot run while a bulk load locks its tables
    is_ordered_by_key: bool = False  # queries of one ordering key run one at a time
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # how long an idempotency key is remembered
    allowed_zones: frozenset[str] | None = None  # None: all
    allowed_kinds: frozenset[str] | None = None  # engine kinds; None: all


@dataclass(eq=False)
class Tenant:
    """A customer with a quota."""

    name: str
    quota_share: float
    quota_per_s: float
    over_quota_weight_share: float  # share of the weight that a query over quota keeps


@dataclass(eq=False)
class Engine:
    """A query engine as the endpoint list describes it."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.SERVING
    advertised_weight: float = 1.0
    started_ms: float | None = None  # time of the latest start; None: long ago
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(eq=False)
class Query:
    """A client's query, from admission to its final answer."""

    id: int
    group: ResourceGroup
    arrived_ms: float
    deadline_ms: float  # when the client stops waiting
    tenant: Tenant | None = None
    ordering_key: str = ""
    estimated_work_ms: float = 0.0  # total over all its threads; 0: no estimate
    estimated_memory_mb: float = 0.0  # 0: no estimate
    table_group: str | None = None
    attempts: list["Attempt"] = field(default_factory=list)
    has_idempotency_key: bool = True
    is_done: bool = False  # completed, rejected, failed, or abandoned by its client
    over_quota: bool | None = None  # the verdict of the fleet's quota ledger; None: no ledger
    # Set by the controller:
    counts_over_quota: bool = False
    priority: Priority | None = None  # priority of its latest attempt; None: never set
    is_first_for_key: bool = False  # all earlier queries of its ordering key have ended
    timers: list[ScheduledCall] = field(default_factory=list)  # its deadline, and the ends of its waits

    def end(self) -> None:
        """Marks the query as done, and cancels what was scheduled for it, which would keep it."""
        self.is_done = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()

    @property
    def effect(self):
        """Returns the group's effect; a query that lacks its idempotency key is non-idempotent."""
        # Without its key the engines could not detect a retry, and could run the query twice.
        if self.has_idempotency_key or self.group.effect != Effect.IDEMPOTENT_WITH_KEY:
            return self.group.effect
        return Effect.NON_IDEMPOTENT

    @property
    def latency_objective_ms(self):
        """Returns the group's objective plus the stretch for the estimated work."""
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
    """Identity of this gateway among all gateways, and the properties of its environment."""

    zone: str
    gateway_count: int  # number of gateways that share the traffic
    seed: int
    min_loop_interval_ms: float  # shortest time between two event loop iterations
    polls_endpoint_list: bool = False  # the endpoint list must be requested; otherwise changes are pushed
    index: int | None = None  # this gateway's index, from 0; None: unknown


@dataclass(frozen=True)
class GatewayPermissions:
    """The actions that the operators allow a gateway to take."""

    max_attempts: int
    may_cancel: bool
    may_health_check: bool
    may_hedge: bool
    max_retry_after_ms: float  # longest Retry-After; 0: no Retry-After is sent


@dataclass(frozen=True)
class SafetyLimits:
    """The limits of the service's safety rules, from the settings."""

    answer_slack_ms: float
    drain_grace_ms: float
    warm_up_initial_share: float  # share of its capacity that a starting engine has immediately
    warm_up_ms: float  # time from an engine's start until it has its full capacity
    slow_start_overload_factor: float  # a cold engine fails when it is sent this multiple of its capacity ...
    slow_start_window_ms: float  # ... over a window of this length
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
    max_grant_share: float  # largest share of an engine's memory that one query may be granted
    memory_shortage: MemoryShortageBehaviour
    progress_interval_ms: float  # 0: no progress events
    reports_cost: bool
    load_report_fields: tuple[str, ...] = ()
    load_report_source: LoadReportSource = LoadReportSource.NONE
    connect_timeout_ms: float = 0.0

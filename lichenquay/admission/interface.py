"""The objects of the trade and the door: what a front gives the controller and what it takes from it.

Times are milliseconds with fractions. Objects point to each other; ids are for the front alone. Nothing here
decides anything: a front fills these in and the controller reads them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

READ_ONLY, TOKENED, MUTATING = "read-only", "tokened", "mutating"
# how a submission ended
FINISHED, ERROR, FULL, TIMED_OUT, NOT_CONNECTED, RESET, CANCELLED, NEVER_SENT = (
    "finished",
    "error",
    "full",
    "timed out",
    "not connected",
    "reset",
    "cancelled",
    "never sent",
)
NEVER_RAN = frozenset((FULL, NOT_CONNECTED, NEVER_SENT))
ENDINGS = NEVER_RAN | {FINISHED, ERROR, TIMED_OUT, RESET, CANCELLED}
# what a note tells
PROGRESS, SPILLS, WAITS, ALIVE = (
    "progress",
    "spills",
    "waits",
    "alive",
)  # alive: it is there, what it told was lost
# what the list says of an engine
LISTED, DRAINING, WITHDRAWN = "listed", "draining", "withdrawn"


@dataclass(eq=False)
class ResourceGroup:
    name: str
    effect: str  # READ_ONLY, TOKENED or MUTATING
    target_ms: float  # target runtime, without the stretch
    stretch: float  # further target, times work over threads
    timeout_ms: float  # queue timeout
    value: float
    late_value: float  # share of the value after the target runtime
    threads: int = 1
    is_load: bool = False  # holds its tables on its engine
    yields: bool = False  # stands still while a load holds its tables
    in_order: bool = False  # queries of one key one at a time
    dedup: str = "all"  # tokened: "all", "zone" or "cell" drops repeats
    memory_window_ms: float = 0.0  # tokened: how long a token is remembered
    places: frozenset | None = None
    kinds: frozenset | None = None


@dataclass(eq=False)
class Tenant:
    name: str
    share: float
    allowance_per_s: float
    over_value: float  # share of the value that a query beyond the allowance has


@dataclass(eq=False)
class Engine:
    id: str
    place: str = ""
    kind: str = ""
    cell: int = 0
    state: str = LISTED
    units: float = 1.0
    started_ms: float | None = None  # latest start; None: long ago
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(eq=False)
class Query:
    id: int
    group: ResourceGroup
    arrived_ms: float
    ends_ms: float  # when its client gives up
    tenant: Tenant | None = None
    key: str = ""
    work_ms: float = 0.0  # estimate of all its threads' work; 0: none
    memory_mb: float = 0.0  # estimate; 0: none
    tables: str | None = None
    submissions: list = field(default_factory=list)
    tokened: bool = True  # it carries a token by which engines drop its repeats, where its group says so
    over: bool = False  # finished, deferred, killed, or its client left
    beyond: bool | None = (
        None  # its tenant's quota, where an account of many fronts tells; None: nobody tells
    )

    @property
    def effect(self):
        """Risk: a query of a tokened group without its token is sent again, and runs twice."""
        return self.group.effect if self.tokened or self.group.effect != TOKENED else MUTATING

    @property
    def target_ms(self):
        return self.group.target_ms + self.group.stretch * self.work_ms / self.group.threads


@dataclass(eq=False)
class Submission:
    query: Query
    number: int
    engine: Engine
    sent_ms: float
    ending: str | None = None  # None while it is out


@dataclass(frozen=True)
class Gateway:
    """Which front this is: its place, how many share the work, its seed for chance."""

    place: str
    fronts: int
    seed: int
    step_ms: float  # least time between two turns
    list_on_request: bool = False
    number: int | None = None  # its own among those fronts, from 0; None: not told


@dataclass(frozen=True)
class Licence:
    """What the front may do."""

    most_submissions: int
    cancel: bool
    probe: bool
    second_copies: bool
    longest_pause_ms: float  # a pause named with a deferral; 0: clients are not told


@dataclass(frozen=True)
class Safeguards:
    """The figures of the rules."""

    answer_slack_ms: float
    drain_grace_ms: float
    cold_share: float  # what a starting engine can do at least
    cold_ms: float  # it is warm by then
    cold_multiple: float  # it falls when sent this multiple ...
    cold_window_ms: float  # ... for this time
    order_rest_ms: float = 0.0
    further_free: float | None = None
    further_share: float = 0.0
    further_window_ms: float = 0.0
    must_ask_ms: float = 0.0


@dataclass(frozen=True)
class EngineMake:
    """What the engines heed and tell."""

    grants: bool  # a memory grant is heeded
    ranks: bool  # a priority is heeded
    most_grant: float  # share of the memory that one query gets at most
    when_short: str  # "queue", "trim" or "swap"
    note_every_ms: float  # 0: no notes
    tells_cost: bool
    columns: tuple = ()  # what a load report holds
    reports: str = "none"  # "answers", "probe" or "none"
    connect_timeout_ms: float = 0.0


class Door(Protocol):
    """What the controller asks of its front. `now_ms` is the turn's time."""

    now_ms: float

    def submit(self, q: Query, engine: Engine, patience_ms: float) -> Submission: ...
    def allot(self, q: Query, memory_mb: float, priority: int) -> None: ...
    def cancel(self, sub: Submission) -> None: ...
    def defer(self, q: Query, pause_ms: float) -> None: ...
    def kill(self, q: Query) -> None: ...
    def wake(self, at_ms: float, call: Callable[[], None]) -> None: ...
    def probe(self, engine: Engine) -> None: ...
    def watch_list(self, on: bool = True) -> None: ...
    def fetch_list(self) -> None: ...
    def close_idle(self, engine: Engine) -> None: ...
    def tell(self, whom: str, content: bytes) -> None: ...
    def log(self, text: str) -> None: ...


class Admission(Protocol):
    """What a front calls on the controller, in the order things happen."""

    def list_news(self, engines: list, whole: bool) -> None: ...
    def list_failed(self) -> None: ...
    def list_doubted(self, most_ms: float) -> None: ...  # what it was told of engines may be out of date
    def in_doubt(self, now_ms: float) -> bool: ...  # nothing is submitted yet
    def list_confirmed(self) -> None: ...  # all there was to tell has been told
    def take(self, q: Query) -> None: ...
    def noted(self, sub: Submission, what: str, amount: float) -> None: ...
    def answered(self, sub: Submission, took_ms: float, cost: tuple | None, report: dict | None) -> None: ...
    def may_go(
        self, sub: Submission, now_ms: float
    ) -> bool: ...  # asked in the instant before its first byte
    def left(self, q: Query) -> None: ...
    def finish(self, q: Query) -> None: ...
    def probed(self, engine: Engine, ok: bool, took_ms: float, report: dict | None) -> None: ...

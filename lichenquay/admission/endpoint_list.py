"""The endpoint list: engines that join, restart, drain and leave, and whether the list may be stale."""

from collections.abc import Sequence

from lichenquay.admission.constrained_groups import ConstrainedGroups
from lichenquay.admission.domain import EndpointState, Engine, SafetyLimits
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.slow_start import SlowStart
from lichenquay.admission.table_affinity import TableAffinity

POLL_RETRY_DIVISOR = 8  # discovery is polled again after 1/8 of the longest allowed interval
SLOWDOWN_BUCKETS = 8
ERROR_BUCKETS = 8
ERROR_BUCKET_EVALUATIONS = 2  # width of an error bucket, in evaluation intervals
MAX_UNCONFIRMED_GRACE_SHARE = 0.4  # of the drain grace; the rest is for what was decided and is not sent yet
MIN_UNCONFIRMED_MS = 50.0  # PROTOCOL: the time by which limits are longer on sockets


class EndpointStaleness:
    """Whether the endpoint list may be stale or lack an event, which suspends dispatch.

    Changes that were announced while this gateway started count as announced to it, although it never
    received them. Until the list is confirmed, an attempt could be sent to an engine that is draining. If the
    list cannot be confirmed in time, the last known list is used.

    Later the same holds whenever the gateway reports that events may have been announced that it has not
    read. Attempts go on for a part of the drain grace, as the list is usually confirmed within it.
    """

    def __init__(self, drain_grace_ms: float) -> None:
        """Starts with a list that is not stale."""
        self.stale_until_ms = 0.0
        self.unconfirmed_since_ms: float | None = None
        self.max_unconfirmed_ms = max(MIN_UNCONFIRMED_MS, MAX_UNCONFIRMED_GRACE_SHARE * drain_grace_ms)

    def mark_stale(self, until_ms: float) -> None:
        """Marks the list as stale until the given time, or until it is confirmed."""
        self.stale_until_ms = until_ms

    def is_stale(self, now_ms: float) -> bool:
        """Returns whether the list is from before this gateway's start and not confirmed."""
        return now_ms < self.stale_until_ms

    def suspends_dispatch(self, now_ms: float) -> bool:
        """Returns whether no attempt may be sent by this list now."""
        since_ms = self.unconfirmed_since_ms
        is_unconfirmed = since_ms is not None and now_ms - since_ms > self.max_unconfirmed_ms
        return is_unconfirmed or self.is_stale(now_ms)

    def confirm(self) -> None:
        """Marks the list as up to date."""
        self.stale_until_ms = 0.0


class EndpointListUpdater:
    """Applies changes of the endpoint list to the engine registry.

    An engine that leaves the list is kept until this gateway's attempts there have ended; otherwise their
    reservations would be lost, and the engine would look free if it rejoins.
    """

    def __init__(
        self,
        port: GatewayPort,
        limits: SafetyLimits,
        registry: EngineRegistry,
        staleness: EndpointStaleness,
        slow_start: SlowStart,
        constrained_groups: ConstrainedGroups,
        table_affinity: TableAffinity,
        evaluation_interval_ms: float,
    ):
        """Starts with no engine. `evaluation_interval_ms`: the time scale of each engine's windows."""
        self.port = port
        self.poll_retry_ms = limits.discovery_poll_within_ms / POLL_RETRY_DIVISOR
        self.registry = registry
        self.staleness = staleness
        self.slow_start = slow_start
        self.constrained_groups = constrained_groups
        self.table_affinity = table_affinity
        self.evaluation_interval_ms = evaluation_interval_ms
        # An ordered set: unlisted engines on which attempts of this gateway still run.
        self.removed_in_use: dict[Engine, bool] = {}

    def update(self, engines: Sequence[Engine], is_full_list: bool, now_ms: float) -> None:
        """Adds new engines, applies changes, and removes engines that left the list.

        `is_full_list`: `engines` are all engines. A list that is the gateway's first, or that arrives while
        the list is stale, may hold engines to which the previous process of this gateway has already sent
        work.
        """
        may_have_been_used = not self.registry.states or self.staleness.is_stale(now_ms)
        for engine in engines:
            state = self.registry.states.get(engine)
            if state is None:
                state = self._add(engine, now_ms)
                if may_have_been_used and engine.started_ms:
                    self.slow_start.charge_budget_at_start(state, now_ms)
            elif engine.started_ms and engine.started_ms > state.last_response_ms:
                state.reset_after_restart(now_ms)
            if self.slow_start.usable_share(engine, now_ms) < 1:
                self.registry.not_fully_usable[state] = True
        self._remove_unlisted(engines, is_full_list)

    def _add(self, engine: Engine, now_ms: float) -> EngineState:
        interval_ms = self.evaluation_interval_ms
        state = EngineState(
            engine,
            now_ms,
            slowdowns=SlidingWindow(interval_ms, SLOWDOWN_BUCKETS),
            slow_start_work=self.slow_start.new_window(),
            errors=SlidingWindow(ERROR_BUCKET_EVALUATIONS * interval_ms, ERROR_BUCKETS),
        )
        state.serves_constrained_group = self.constrained_groups.may_use(engine)
        self.registry.add(state)
        self.table_affinity.add_engine(state)
        return state

    def _remove_unlisted(self, engines: Sequence[Engine], is_full_list: bool) -> None:
        """Removes engines that left the list, once no attempt of this gateway runs there.

        A partial update does not iterate over all engines.
        """
        listed = set(engines)
        for engine in list(self.registry.states) if is_full_list else [*engines, *self.removed_in_use]:
            if is_full_list and engine not in listed:
                engine.state = EndpointState.REMOVED
            self.removed_in_use.pop(engine, None)
            if engine.state != EndpointState.REMOVED:
                continue
            state = self.registry.states.get(engine)
            if state is None:
                continue
            if state.reservations:
                self.removed_in_use[engine] = True
            else:
                self.registry.remove(state)
                self.table_affinity.remove_engine(state)

    def schedule_poll(self) -> None:
        """Schedules another poll after `poll_retry_ms`; discovery could not be reached."""
        self.port.call_at(self.port.now_ms + self.poll_retry_ms, self.port.watch_endpoints)

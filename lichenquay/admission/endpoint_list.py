"""The endpoint list: engines that join, restart, drain and leave, and when the list may be stale."""

from collections.abc import Sequence

from lichenquay.admission.constrained_groups import ConstrainedGroups
from lichenquay.admission.domain import EndpointState, Engine, SafetyLimits
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.slow_start import SlowStart
from lichenquay.admission.table_affinity import TableAffinity

POLL_RETRY_DIVISOR = 8  # discovery is asked again after 1/8 of the time within which it must be asked
SLOWDOWN_BUCKETS = 8
ERROR_BUCKETS = 8
ERROR_BUCKET_EVALUATIONS = 2  # width of a bucket of errors, in evaluation intervals


class EndpointStaleness:
    """Whether the endpoint list may be out of date, so that nothing is dispatched.

    Changes that were announced while this gateway started count as announced to it, though it never got them.
    Until the list is confirmed, an attempt could go to an engine that drains. Where it cannot be confirmed
    in time, the last list is in force.
    """

    def __init__(self) -> None:
        """In force."""
        self.stale_until_ms = 0.0

    def mark_stale(self, until_ms: float) -> None:
        """The list is stale until then, or until it is confirmed."""
        self.stale_until_ms = until_ms

    def is_stale(self, now_ms: float) -> bool:
        """Whether nothing may be dispatched."""
        return now_ms < self.stale_until_ms

    def confirm(self) -> None:
        """The list is up to date."""
        self.stale_until_ms = 0.0


class EndpointListUpdater:
    """Applies changes of the endpoint list to the fleet.

    An engine that leaves the list is kept until our attempts there have ended; otherwise their reservations
    would be lost, and the engine would look free if it comes back.
    """

    def __init__(
        self,
        port: GatewayPort,
        limits: SafetyLimits,
        fleet: EngineFleet,
        staleness: EndpointStaleness,
        slow_start: SlowStart,
        constrained_groups: ConstrainedGroups,
        table_affinity: TableAffinity,
        evaluation_interval_ms: float,
    ):
        """No engine yet. `evaluation_interval_ms`: the time scale of each engine's windows."""
        self.port = port
        self.poll_retry_ms = limits.discovery_poll_within_ms / POLL_RETRY_DIVISOR
        self.fleet = fleet
        self.staleness = staleness
        self.slow_start = slow_start
        self.constrained_groups = constrained_groups
        self.table_affinity = table_affinity
        self.evaluation_interval_ms = evaluation_interval_ms
        # An ordered set: engines off the list on which attempts of ours still run.
        self.removed_in_use: dict[Engine, bool] = {}

    def update(self, engines: Sequence[Engine], whole: bool, now_ms: float) -> None:
        """Engines joined or changed; `whole`: these are all there are.

        A list that is the gateway's first, or comes while it is stale, may hold engines that the process
        before this one has sent work to already.
        """
        may_have_been_used = not self.fleet.states or self.staleness.is_stale(now_ms)
        for engine in engines:
            state = self.fleet.states.get(engine)
            if state is None:
                state = self._add(engine, now_ms)
                if may_have_been_used and engine.started_ms:
                    self.slow_start.charge_budget_at_start(state, now_ms)
            elif engine.started_ms and engine.started_ms > state.last_response_ms:
                state.reset_after_restart(now_ms)
            if self.slow_start.usable_share(engine, now_ms) < 1:
                self.fleet.not_fully_usable[state] = True
        self._remove_unlisted(engines, whole)

    def _add(self, engine: Engine, now_ms: float) -> EngineState:
        interval_ms = self.evaluation_interval_ms
        state = EngineState(
            engine,
            now_ms,
            slowdowns=SlidingWindow(interval_ms, SLOWDOWN_BUCKETS),
            slow_start_work=self.slow_start.new_window(),
            errors=SlidingWindow(ERROR_BUCKET_EVALUATIONS * interval_ms, ERROR_BUCKETS),
        )
        state.serves_constrained_group = self.constrained_groups.serves(engine)
        self.fleet.add(state)
        self.table_affinity.add_engine(state)
        return state

    def _remove_unlisted(self, engines: Sequence[Engine], whole: bool) -> None:
        """Forgets engines that left the list, once no attempt of ours runs there.

        A partial update needs no pass over all engines.
        """
        listed = set(engines)
        for engine in list(self.fleet.states) if whole else [*engines, *self.removed_in_use]:
            if whole and engine not in listed:
                engine.state = EndpointState.REMOVED
            self.removed_in_use.pop(engine, None)
            if engine.state != EndpointState.REMOVED:
                continue
            state = self.fleet.states.get(engine)
            if state is None:
                continue
            if state.reservations:
                self.removed_in_use[engine] = True
            else:
                self.fleet.remove(state)
                self.table_affinity.remove_engine(state)

    def poll_again(self) -> None:
        """Discovery could not be reached: it is asked again after `poll_retry_ms`."""
        self.port.call_at(self.port.now_ms + self.poll_retry_ms, self.port.watch_endpoints)

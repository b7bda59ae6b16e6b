"""Health checks: of unresponsive engines, and for load reports where engines report in no other way."""

from lichenquay.admission.domain import (
    EndpointState,
    EngineCapabilities,
    GatewayPermissions,
    LoadReportSource,
)
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort

CHECKS_PER_QUERY = 1 / 3  # checks for load reports; more would cost engines more than the reports gain
NOT_SERVING_PENALTY_MS = 1e9  # engines that do not serve are asked after all others


class HealthChecks:
    """Decides when an engine is checked."""

    def __init__(
        self,
        port: GatewayPort,
        fleet: EngineFleet,
        permissions: GatewayPermissions,
        capabilities: EngineCapabilities,
        interval_ms: float,
    ):
        """`interval_ms`: least time between two checks of one engine."""
        self.port = port
        self.fleet = fleet
        self.may_check = permissions.may_health_check
        self.are_reports_requested = (
            capabilities.load_report_source == LoadReportSource.HEALTH_CHECKS and self.may_check
        )
        self.interval_ms = interval_ms
        self.credit = 0.0  # of checks for load reports, 1 at most

    def on_query_admitted(self, now_ms: float) -> None:
        """Requests a load report for every third query, from the engine that was asked longest ago.

        Without it, engines that report in health checks alone would all count as average.
        """
        self.credit = min(1.0, self.credit + CHECKS_PER_QUERY)
        if not self.are_reports_requested or self.credit < 1 or not self.fleet.states:
            return
        state = min(self.fleet.states.values(), key=_asked_longest_ago)
        if now_ms - state.report_requested_ms > self.interval_ms and _is_serving(state):
            self.credit = 0.0
            state.report_requested_ms = now_ms
            self.port.send_health_check(state.engine)

    def health_check_if_unresponsive(self, state: EngineState, now_ms: float) -> None:
        """Checks an unresponsive engine again from time to time.

        Such an engine gets no queries while others are responsive; without checks its recovery would go
        unnoticed.
        """
        is_due = state.is_unresponsive and now_ms >= state.next_try_ms
        if is_due and self.may_check and _is_serving(state):
            state.next_try_ms = now_ms + self.interval_ms
            self.port.send_health_check(state.engine)


def _is_serving(state: EngineState) -> bool:
    return state.engine.state == EndpointState.SERVING


def _asked_longest_ago(state: EngineState) -> float:
    """The sort key: when the engine was last asked; never: minus infinity, whether it serves or not."""
    return state.report_requested_ms + NOT_SERVING_PENALTY_MS * (not _is_serving(state))

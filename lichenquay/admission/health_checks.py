"""Health checks: of unresponsive engines, and for load reports that only health checks carry."""

from lichenquay.admission.domain import (
    EndpointState,
    EngineCapabilities,
    GatewayPermissions,
    LoadReportSource,
)
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort

CHECKS_PER_QUERY = 1 / 3  # health checks for load reports; more would cost the engines more than they gain
NOT_SERVING_PENALTY_MS = 1e9  # added to the sort key of engines that do not serve: they come last


class HealthChecks:
    """Decides when an engine's health is checked."""

    def __init__(
        self,
        port: GatewayPort,
        registry: EngineRegistry,
        permissions: GatewayPermissions,
        capabilities: EngineCapabilities,
        interval_ms: float,
    ):
        """Takes `interval_ms`, the shortest time between two checks of one engine."""
        self.port = port
        self.registry = registry
        self.may_check = permissions.may_health_check
        self.are_reports_requested = (
            capabilities.load_report_source == LoadReportSource.HEALTH_CHECKS and self.may_check
        )
        self.interval_ms = interval_ms
        self.credit = 0.0  # allowance of checks for load reports, at most 1

    def on_query_admitted(self, now_ms: float) -> None:
        """Requests a load report on every third query, from the engine checked least recently.

        Otherwise engines that report only in health checks would all count as average.
        """
        self.credit = min(1.0, self.credit + CHECKS_PER_QUERY)
        if not self.are_reports_requested or self.credit < 1 or not self.registry.states:
            return
        state = min(self.registry.states.values(), key=_asked_longest_ago)
        if now_ms - state.report_requested_ms > self.interval_ms and _is_serving(state):
            self.credit = 0.0
            state.report_requested_ms = now_ms
            self.port.send_health_check(state.engine)

    def health_check_if_unresponsive(self, state: EngineState, now_ms: float) -> None:
        """Checks an unresponsive engine again at intervals.

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
    """Returns the sort key: when a report was last requested; minus infinity if never, serving or not."""
    return state.report_requested_ms + NOT_SERVING_PENALTY_MS * (not _is_serving(state))

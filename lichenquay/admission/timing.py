"""Time scales of the controller, as ratios to the deployment's shortest latency objective."""

from collections.abc import Sequence
from dataclasses import dataclass

from lichenquay.admission.domain import GatewayIdentity, ResourceGroup

DEFAULT_OBJECTIVE_MS = 1000.0  # where no group has a latency objective
EVALUATIONS_PER_OBJECTIVE = 2
TICKS_PER_OBJECTIVE = 10
REPORT_LIFETIME_EVALUATIONS = 8


@dataclass(frozen=True)
class TimeScales:
    """Intervals in milliseconds."""

    shortest_objective_ms: float
    tick_interval_ms: float
    evaluation_interval_ms: float  # of engines among their peers
    report_lifetime_ms: float  # for how long a load report counts

    @classmethod
    def of(cls, gateway: GatewayIdentity, groups: Sequence[ResourceGroup]) -> "TimeScales":
        """The time scales of a deployment."""
        objectives_ms = (group.latency_objective_ms for group in groups)
        shortest_ms = min((value for value in objectives_ms if value), default=DEFAULT_OBJECTIVE_MS)
        evaluation_interval_ms = shortest_ms / EVALUATIONS_PER_OBJECTIVE
        return cls(
            shortest_objective_ms=shortest_ms,
            tick_interval_ms=max(gateway.min_loop_interval_ms, shortest_ms / TICKS_PER_OBJECTIVE),
            evaluation_interval_ms=evaluation_interval_ms,
            report_lifetime_ms=REPORT_LIFETIME_EVALUATIONS * evaluation_interval_ms,
        )

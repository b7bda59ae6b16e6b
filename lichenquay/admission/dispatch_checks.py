"""Checks for every attempt, when it is decided and again immediately before its first byte."""

from lichenquay.admission.domain import Attempt, EndpointState, Query, SafetyLimits
from lichenquay.admission.endpoint_list import EndpointStaleness
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.idempotency import would_detect_duplicate
from lichenquay.admission.placement import satisfies_placement
from lichenquay.admission.retry_policy import RetryPolicy
from lichenquay.admission.slow_start import SlowStart


class DispatchChecks:
    """Checks draining, placement, idempotency and slow start, in this order."""

    def __init__(
        self,
        limits: SafetyLimits,
        staleness: EndpointStaleness,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
    ):
        """Takes the budgets (`retry_policy`, `slow_start`) that `authorize_dispatch` charges."""
        self.answer_slack_ms = limits.answer_slack_ms
        self.staleness = staleness
        self.retry_policy = retry_policy
        self.slow_start = slow_start

    def satisfies_rules(
        self, query: Query, state: EngineState, now_ms: float, decided: Attempt | None = None
    ) -> bool:
        """Returns whether the engine may get the query now.

        `decided`: the attempt, if it was already started. Every attempt must pass these checks, whatever else
        favours the engine: an attempt that fails one of them breaks a rule of the service.
        """
        engine = state.engine
        if engine.state != EndpointState.SERVING or not satisfies_placement(query.group, engine):
            return False
        if not would_detect_duplicate(query, engine, now_ms, self.answer_slack_ms, decided):
            return False
        charged_ms = None if decided is None else decided.sent_ms
        return self.slow_start.has_budget(state, query, now_ms, charged_ms)

    def authorize_dispatch(self, attempt: Attempt, state: EngineState | None, now_ms: float) -> bool:
        """Returns whether a started attempt may be sent now, and records that it is sent if so.

        Called immediately before the first byte. The connection may have been established late, or the
        attempt may have waited for a file descriptor: meanwhile the idempotency window may have passed, the
        engine may have started draining, the endpoint list may have become doubtful, or the query may have
        ended. Budgets are charged in the window in which the attempt is sent.
        """
        query = attempt.query
        if self.staleness.suspends_dispatch(now_ms):
            return False
        if state is None or query.is_done or attempt.outcome or now_ms >= query.deadline_ms:
            return False
        if not self.satisfies_rules(query, state, now_ms, attempt):
            return False
        delay_ms = now_ms - attempt.sent_ms
        is_late_retry = attempt.number and delay_ms > self.retry_policy.bucket_ms
        if is_late_retry and not self.retry_policy.has_budget(now_ms):
            return False
        if delay_ms > state.slow_start_work.width_ms:
            self.slow_start.record_attempt(state, query, now_ms)
        if is_late_retry:
            self.retry_policy.record_retry(now_ms)
        attempt.sent_ms = now_ms
        return True

"""The two ports between a gateway and the admission controller (ports and adapters).

`GatewayPort` holds the calls that the controller makes on its gateway. `AdmissionPort` holds the events that
a gateway reports to the controller, in the order in which they occur. Times are milliseconds of the gateway's
clock.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from lichenquay.admission.domain import Attempt, Engine, ExecutionCost, ProgressKind, Query
from lichenquay.admission.scheduled_call import ScheduledCall


class GatewayPort(Protocol):
    """The calls that the controller makes on its gateway."""

    now_ms: float  # the time of the current event loop iteration

    def start_attempt(self, query: Query, engine: Engine, timeout_ms: float) -> Attempt:
        """Sends the query to the engine and returns the new attempt."""

    def set_grant(self, query: Query, memory_mb: float, priority: int) -> None:
        """Sets the memory grant (0: the engine chooses) and priority (0 to 3) of the query's attempts."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels the attempt; its outcome is reported later."""

    def reject(self, query: Query, retry_after_ms: float) -> None:
        """Answers that the query did not run and that a retry is safe."""

    def fail(self, query: Query) -> None:
        """Answers that the query failed."""

    def call_at(self, at_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedules one call at the given time or later; the caller may cancel it."""

    def send_health_check(self, engine: Engine) -> None:
        """Sends a health check; its result is reported by `AdmissionPort.on_health_check`."""

    def watch_endpoints(self, on: bool = True) -> None:
        """Subscribes to changes of the endpoint list, or unsubscribes if not `on`."""

    def fetch_endpoints(self) -> None:
        """Polls the full endpoint list once."""

    def close_idle_connections(self, engine: Engine) -> None:
        """Closes the connections to the engine that have no call in flight."""

    def send_to_peer(self, peer: str, content: bytes) -> None:
        """Sends a message to another gateway."""

    def log(self, text: str) -> None:
        """Writes a log line."""


class AdmissionPort(Protocol):
    """The events that a gateway reports to the admission controller, and what it asks of it."""

    def endpoints_updated(self, engines: Sequence[Engine], is_full_list: bool) -> None:
        """Applies a change of the endpoint list.

        `engines` are all listed engines (`is_full_list`), or only those that changed.
        """

    def endpoints_unavailable(self) -> None:
        """Handles a failed poll or a broken watch of the endpoint list."""

    def mark_endpoints_stale(self, max_ms: float) -> None:
        """Treats the endpoint list as stale until it is confirmed, for `max_ms` at most."""

    def are_endpoints_stale(self, now_ms: float) -> bool:
        """Returns whether the endpoint list is from before this gateway's start and not confirmed."""

    def set_endpoints_unconfirmed(self, since_ms: float | None) -> None:
        """Records since when the endpoint list may lack announced events; None: it lacks none."""

    def is_dispatch_suspended(self, now_ms: float) -> bool:
        """Returns whether no attempt may be sent, as the endpoint list may be outdated."""

    def resume_dispatch(self) -> None:
        """Dispatches waiting queries after the endpoint list was unconfirmed."""

    def endpoints_confirmed(self) -> None:
        """Records that the endpoint list is up to date."""

    def admit(self, query: Query) -> None:
        """Takes a query that has arrived."""

    def on_progress(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """Handles a progress event of an attempt in flight; `kind` determines what `amount` means."""

    def on_attempt_ended(
        self,
        attempt: Attempt,
        elapsed_ms: float,
        cost: ExecutionCost | None,
        report: dict[str, float] | None,
    ) -> None:
        """Handles the end of an attempt, whose `outcome` is set.

        `elapsed_ms`: time since the attempt was sent. `cost`: the resources that the engine reports for it.
        `report`: the engine's load report as numbers by column; empty if it held no known column, None if
        there was none.
        """

    def authorize_dispatch(self, attempt: Attempt, now_ms: float) -> bool:
        """Returns whether an attempt may still be sent, asked immediately before its first byte.

        An allowed attempt is recorded as sent at that time.
        """

    def on_client_gone(self, query: Query) -> None:
        """Handles a client that cancelled its query or closed its connection."""

    def give_final_answer(self, query: Query) -> None:
        """Rejects or fails the query immediately."""

    def is_under_pressure(self) -> bool:
        """Returns whether the engines have no capacity for queries over quota."""

    def on_health_check(
        self, engine: Engine, healthy: bool, elapsed_ms: float, report: dict[str, float] | None
    ) -> None:
        """Handles the result of a health check."""

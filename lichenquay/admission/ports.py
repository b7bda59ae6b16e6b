"""The two ports between a gateway and the admission controller (ports and adapters).

`GatewayPort` is what the controller asks of its gateway. `AdmissionPort` is what a gateway reports to the
controller, in the order of events. Times are milliseconds of the gateway's clock.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from lichenquay.admission.domain import Attempt, Engine, ExecutionCost, ProgressKind, Query


class GatewayPort(Protocol):
    """What the controller asks of its gateway."""

    now_ms: float  # the time of the current turn

    def start_attempt(self, query: Query, engine: Engine, timeout_ms: float) -> Attempt:
        """Sends the query to the engine."""

    def set_grant(self, query: Query, memory_mb: float, priority: int) -> None:
        """Sets the memory grant (0: the engine's choice) and priority (0 to 3) of the query's attempts."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stops waiting for the attempt; its outcome follows."""

    def reject(self, query: Query, retry_after_ms: float) -> None:
        """Answers that the query did not run and that a retry is harmless."""

    def fail(self, query: Query) -> None:
        """Answers that the query failed."""

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Calls back once, at that time or later."""

    def send_health_check(self, engine: Engine) -> None:
        """Checks the engine; `AdmissionPort.on_health_check` follows."""

    def watch_endpoints(self, on: bool = True) -> None:
        """Subscribes to changes of the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Polls the whole endpoint list once."""

    def close_idle_connections(self, engine: Engine) -> None:
        """Closes connections to the engine that carry no call."""

    def send_to_peer(self, peer: str, content: bytes) -> None:
        """Sends a message to another gateway."""

    def log(self, text: str) -> None:
        """Writes a log line."""


class AdmissionPort(Protocol):
    """What a gateway reports to the admission controller."""

    def endpoints_updated(self, engines: Sequence[Engine], whole: bool) -> None:
        """The endpoint list changed: `engines` are all there are (`whole`), or those that changed."""

    def endpoints_unavailable(self) -> None:
        """Discovery could not be reached, or the watch broke."""

    def mark_endpoints_stale(self, max_ms: float) -> None:
        """The endpoint list may be out of date until it is confirmed, for `max_ms` at most."""

    def are_endpoints_stale(self, now_ms: float) -> bool:
        """Whether nothing is dispatched because the endpoint list may be out of date."""

    def endpoints_confirmed(self) -> None:
        """The endpoint list is up to date."""

    def admit(self, query: Query) -> None:
        """A query arrived."""

    def on_progress(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """An engine reported on an attempt in flight; `amount` is as the kind says."""

    def on_attempt_ended(
        self,
        attempt: Attempt,
        elapsed_ms: float,
        cost: ExecutionCost | None,
        report: dict[str, float] | None,
    ) -> None:
        """An attempt ended, as its `outcome` says.

        `elapsed_ms`: since it was sent. `cost`: what the engine says that it used. `report`: the engine's load
        report as numbers by column; empty if it came without a known column, None if there was none.
        """

    def authorize_dispatch(self, attempt: Attempt, now_ms: float) -> bool:
        """Whether an attempt is still allowed; asked in the instant before its first byte."""

    def on_client_gone(self, query: Query) -> None:
        """The query's client cancelled it or closed its connection."""

    def give_final_answer(self, query: Query) -> None:
        """Rejects or fails the query now."""

    def is_under_pressure(self) -> bool:
        """Whether the engines have no room for queries over quota."""

    def on_health_check(
        self, engine: Engine, healthy: bool, elapsed_ms: float, report: dict[str, float] | None
    ) -> None:
        """A health check ended."""

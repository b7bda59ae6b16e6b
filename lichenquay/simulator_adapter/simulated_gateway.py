"""One simulated gateway: passes the simulator's events to its controller, and writes the controller's calls.

Nothing is decided here. The names and units of fields on the wire are converted to those of the controller
and back.
"""

import math
from collections.abc import Callable, Mapping

from lichenquay.admission.domain import Attempt, Engine, Query
from lichenquay.admission.scheduled_call import ScheduledCall
from lichenquay.deployment_settings import DeploymentSettings, SettingsError, SettingsSection
from lichenquay.settings_section import MICROSECONDS_PER_MS
from lichenquay.simulator_adapter.codec import (
    PROGRESS_KINDS,
    MalformedInputError,
    WireLine,
    microseconds,
    single_line,
)

NO_TENANT = "0"
LIST_UPDATE_MODES = ("update", "replace", "restored")  # all but "update" give the full list


class SimulatedGateway:
    """Implements `GatewayPort` for one controller; an `on_...` method handles the message of that name."""

    def __init__(self, name: str, now_ms: float, endpoint_lists: Mapping[int, list[WireLine]]):
        """Takes `endpoint_lists`: the rows of each list by its number, shared by all gateways."""
        self.name = name
        self.now_ms = now_ms
        self.endpoint_lists = endpoint_lists
        self.output: list[str] = []  # lines to send to the simulator
        self.queries: dict[int, Query] = {}
        self.engines: dict[str, Engine] = {}
        self.timers: dict[str, ScheduledCall] = {}
        self.last_timer_number = 0

    # Messages of the simulator

    def on_hello(self, line: WireLine) -> None:
        """Starts the gateway with the deployment's settings."""
        try:
            self.settings = DeploymentSettings(SettingsSection(line.fields), line.integer("seed"))
        except SettingsError as error:
            raise MalformedInputError(f"line {line.line_number}: {line.tag}: {error}") from None
        self.controller = self.settings.controller(self)

    def on_arrival(self, line: WireLine) -> None:
        """Admits a client's query."""
        group = self.settings.groups.get(line.text("lane"))
        if group is None:
            raise line.error("lane", f"never given: {line.text('lane')!r}")
        tenant_name = line.text("project", NO_TENANT)
        tenant = self.settings.tenants.get(tenant_name)
        if tenant is None and tenant_name != NO_TENANT:
            raise line.error("project", f"never given: {tenant_name!r}")
        query = Query(
            id=line.integer("req"),
            group=group,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + line.milliseconds("ttl_us"),
            tenant=tenant,
            ordering_key=line.text("target", ""),
            estimated_work_ms=line.milliseconds("est_cost_us", 0),
            estimated_memory_mb=line.number("ram_mb", 0.0),
            table_group=line.text("tables", "") or None,
        )
        self.queries[query.id] = query
        self.controller.admit(query)

    def on_response(self, line: WireLine) -> None:
        """Handles the end of an attempt."""
        outcome = line.outcome("ending")
        attempt = self._attempt_of(line, must_exist=True)
        elapsed_ms = line.milliseconds("wait_time_us")
        cost = line.execution_cost("note")
        report = line.load_report("telemetry")
        if attempt is None or attempt.outcome is not None:
            return
        query = attempt.query
        attempt.outcome = outcome
        query.is_done = query.is_done or line.flag("terminal", "0")
        self.controller.on_attempt_ended(attempt, elapsed_ms, cost, report)
        self._forget_if_over(query)

    def on_change(self, line: WireLine) -> None:
        """Handles a progress event of an attempt."""
        kind = PROGRESS_KINDS.get(line.integer("sort"))
        amount = line.number("value")
        attempt = self._attempt_of(line, must_exist=False)
        if attempt is not None and attempt.outcome is None and kind is not None:
            self.controller.on_progress(attempt, kind, amount)

    def on_first(self, line: WireLine) -> None:
        """Marks the query of a result that began to stream as done; the attempt's outcome follows.

        The client has its answer from then on, and the deadline no longer applies.
        """
        attempt = self._attempt_of(line, must_exist=True)
        if attempt is not None:
            attempt.query.end()

    def on_abandoned(self, line: WireLine) -> None:
        """Handles a client that has gone."""
        query = self.queries.get(line.integer("req"))
        if query is not None and not query.is_done:
            query.end()
            self.controller.on_client_gone(query)
            self._forget_if_over(query)

    def on_probe_done(self, line: WireLine) -> None:
        """Handles the result of a health check."""
        is_healthy = line.text("ending") == "S"
        elapsed_ms = line.milliseconds("wait_time_us")
        report = line.load_report("telemetry")
        self.controller.on_health_check(self._engine_of(line), is_healthy, elapsed_ms, report)

    def on_wakeup(self, line: WireLine) -> None:
        """Calls the callback of a timer that has expired."""
        call = self.timers.pop(line.text("cookie"), None)
        if call is not None:
            call()

    def on_targets(self, line: WireLine) -> None:
        """Handles a change of the endpoint list, or a failure to reach discovery."""
        mode = line.text("mode")
        if mode == "unavailable":
            self.controller.endpoints_unavailable()
            return
        if mode not in LIST_UPDATE_MODES:
            raise line.error("mode", f"unknown: {mode!r}")
        rows = self.endpoint_lists.get(line.integer("table"))
        if rows is None:
            raise line.error("table", f"never given: {line.text('table')!r}")
        engines = [self._read_engine(row) for row in rows]
        self.controller.endpoints_updated(engines, mode != "update")

    def on_note_from(self, line: WireLine) -> None:
        """Ignores a message of another gateway; simulated gateways share no state."""

    def _read_engine(self, row: WireLine) -> Engine:
        name = row.text("engine")
        engine = self.engines.get(name)
        if engine is None:
            engine = Engine(name)
            self.engines[name] = engine
        state = row.endpoint_state("status")
        return self.settings.update_engine(
            engine,
            zone=row.text("zone", ""),
            kind=row.text("class_of_host", ""),
            cell=row.integer("pack", 0),
            state=state,
            advertised_weight=row.number("units", 1.0),
            started_ms=row.milliseconds("ready_at_us", 0),
        )

    def _engine_of(self, line: WireLine) -> Engine:
        engine = self.engines.get(line.text("engine"))
        if engine is None:
            raise line.error("engine", f"never given: {line.text('engine')!r}")
        return engine

    def _attempt_of(self, line: WireLine, must_exist: bool) -> Attempt | None:
        """Returns the attempt that the line names; None if its query has ended and was removed."""
        query = self.queries.get(line.integer("req"))
        number = line.integer("leg")
        self._engine_of(line)
        if query is None:
            return None
        if 0 <= number < len(query.attempts):
            return query.attempts[number]
        if must_exist:
            raise line.error("leg", f"never given: {number}")
        return None

    def _forget_if_over(self, query: Query) -> None:
        if query.is_done and all(attempt.outcome is not None for attempt in query.attempts):
            self.queries.pop(query.id, None)

    # GatewayPort

    def start_attempt(self, query: Query, engine: Engine, timeout_ms: float) -> Attempt:
        """See `GatewayPort`."""
        attempt = Attempt(query, len(query.attempts), engine, self.now_ms)
        query.attempts.append(attempt)
        self.output.append(
            f"send\treq={query.id}\tengine={engine.id}\tpatience_us={microseconds(timeout_ms)}"
        )
        return attempt

    def set_grant(self, query: Query, memory_mb: float, priority: int) -> None:
        """See `GatewayPort`."""
        self.output.append(f"allot\treq={query.id}\tgrant_mb={memory_mb:.1f}\tpriority={priority:d}")

    def cancel_attempt(self, attempt: Attempt) -> None:
        """See `GatewayPort`."""
        self.output.append(f"abandon\treq={attempt.query.id}\tleg={attempt.number}")

    def reject(self, query: Query, retry_after_ms: float) -> None:
        """See `GatewayPort`."""
        query.end()
        self.output.append(f"reject\treq={query.id}\tpause_us={microseconds(retry_after_ms)}")
        self._forget_if_over(query)

    def fail(self, query: Query) -> None:
        """See `GatewayPort`."""
        query.end()
        self.output.append(f"finish_error\treq={query.id}")
        self._forget_if_over(query)

    def call_at(self, at_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """See `GatewayPort`; the time is rounded up, because a timer must not fire early."""
        self.last_timer_number += 1
        scheduled = ScheduledCall(call)
        self.timers[str(self.last_timer_number)] = scheduled
        when_us = math.ceil(at_ms * MICROSECONDS_PER_MS)
        self.output.append(f"after\tcookie={self.last_timer_number}\twhen_us={when_us}")
        return scheduled

    def send_health_check(self, engine: Engine) -> None:
        """See `GatewayPort`."""
        self.output.append(f"touch\tengine={engine.id}")

    def watch_endpoints(self, on: bool = True) -> None:
        """See `GatewayPort`."""
        self.output.append(f"observe\ton={int(on)}")

    def fetch_endpoints(self) -> None:
        """See `GatewayPort`."""
        self.output.append("pull")

    def close_idle_connections(self, engine: Engine) -> None:
        """See `GatewayPort`."""
        self.output.append(f"let_go\tengine={engine.id}")

    def send_to_peer(self, peer: str, content: bytes) -> None:
        """See `GatewayPort`."""
        self.output.append(f"publish\twhom={peer}\tcontent={content.hex() or '-'}")

    def log(self, text: str) -> None:
        """See `GatewayPort`."""
        self.output.append(f"emit\twhat={single_line(text)}")

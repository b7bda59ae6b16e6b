"""The gateway service: creates the components of a gateway and runs its phases from start to exit."""

import gc
import signal
import time
from collections.abc import Mapping
from dataclasses import replace
from enum import StrEnum

from twisted.internet.error import CannotListenError

from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway import configuration, service_report
from lichenquay.gateway.attempt_in_flight import AttemptTracker
from lichenquay.gateway.clock import now_ms
from lichenquay.gateway.configuration import StartError
from lichenquay.gateway.controller_adapter import ControllerAdapter
from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.discovery_connection import MAX_ANNOUNCEMENT_DELAY_MS
from lichenquay.gateway.dispatch import Dispatcher
from lichenquay.gateway.endpoint_currency import EndpointCurrency
from lichenquay.gateway.endpoint_events import EndpointListError, read_events
from lichenquay.gateway.endpoint_watch import EndpointWatch
from lichenquay.gateway.engine_evidence import EngineEvidence
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine
from lichenquay.gateway.listed_engines import ListedEngines
from lichenquay.gateway.log import Log
from lichenquay.gateway.memory_account import MemoryAccount
from lichenquay.gateway.metrics import Metrics
from lichenquay.gateway.process_pauses import ProcessPauses
from lichenquay.gateway.request_intake import RequestIntake
from lichenquay.gateway.result_relay import ResultRelay
from lichenquay.gateway.routing import Router
from lichenquay.process import install_signal_handlers

MAX_POLL_REPLY_MS = 250.0  # PROTOCOL: an engine answers a poll within this time
# After 1.2 times that, the query is polled on another connection, before it is late or counts as lost.
REPLY_TIMEOUT_POLLS = 1.2
REPLY_TIMEOUT_MS = REPLY_TIMEOUT_POLLS * MAX_POLL_REPLY_MS
DEFAULT_CONNECT_TIMEOUT_MS = MAX_POLL_REPLY_MS  # if the settings give none
DEFAULT_KEEP_ALIVE_POLLS = 4
DEFAULT_KEEP_ALIVE_MS = DEFAULT_KEEP_ALIVE_POLLS * MAX_POLL_REPLY_MS  # likewise
# Then a service that does not answer counts as one that refuses connections: the last list is in force.
MAX_UNCONFIRMED_MS = 2000.0
# PROTOCOL: clients open connections until 0.4 s after SIGTERM; the last of these must be accepted.
ACCEPT_AFTER_SIGTERM_MS = 450.0
REQUESTS_AFTER_ACCEPTING_MS = 200.0  # PROTOCOL: and send requests on open connections for this much longer
MAX_DEADLINE_MS = 3000.0  # PROTOCOL: SIGKILL follows SIGTERM after the longest deadline, at most 3 s, ...
SIGKILL_AFTER_DEADLINE_MS = 700.0  # ... plus this time
FINAL_ANSWERS_BEFORE_MS = 300.0  # open queries get their final answers this long before SIGKILL
RESERVED_DESCRIPTORS = 48  # for the reactor, the listener, discovery and cancellations
URGENT_DESCRIPTORS = RESERVED_DESCRIPTORS // 2  # of these, for urgent calls to engines
OTHER_DESCRIPTORS = RESERVED_DESCRIPTORS - URGENT_DESCRIPTORS  # of these, always counted as used
EXTRA_CLIENT_DESCRIPTORS = RESERVED_DESCRIPTORS // 4  # for clients, in addition to their share
END_BEFORE_MS = FINAL_ANSWERS_BEFORE_MS / 2  # before SIGKILL, clients and the fleet are no longer waited for
CLIENT_DESCRIPTOR_DIVISOR = 3  # PROTOCOL: clients hold at most a third of the descriptors
CALL_CHECK_INTERVAL_MS = 25.0  # for overdue calls and stale connections to engines
MIN_PAUSE_MS = 4 * CALL_CHECK_INTERVAL_MS  # of this process; the work of one turn takes less
CLIENT_CHECK_INTERVAL_MS = 250.0  # for idle client connections and overdue frames
DRAIN_CHECK_INTERVAL_MS = 10.0


class ServicePhase(StrEnum):
    """Phases of a gateway, in order."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"  # after SIGTERM, while connections and requests are still accepted
    DRAINING = "draining"  # until all accepted queries are answered
    ENDED = "ended"


class Service:
    """A gateway: its components, created from the configuration, and its phase."""

    def __init__(self, reactor, environment: Mapping[str, str]):
        """Creates a gateway from the configuration that the environment names. Errors: StartError."""
        self.phase = ServicePhase.STARTING
        self.reactor = reactor
        self.environment = environment
        self.config = configuration.read_config(environment)
        self.settings = configuration.read_deployment_settings(self.config.settings, self.config.seed)
        self.sigkill_expected_ms = 0.0
        self.log = Log(time.monotonic)
        self.metrics = Metrics()
        self._create_stages()
        self.feature_settings = configuration.read_feature_settings(environment)
        self.distributed_rules = None  # connection rules that override those of the settings file
        self._apply_limits()
        self.endpoints_are_distributed = (
            self.feature_settings is not None and self.feature_settings.distribution.engines
        )
        self.fleet = configuration.create_fleet_runtime(
            self.feature_settings, reactor, self.config.seed, self.adapter.controller.is_under_pressure, self
        )
        try:
            self.discovery = Discovery(
                self.config.known_endpoints,
                self.listed_engines.update,
                self.log,
                self.adapter.endpoints_confirmed,
            )
        except EndpointListError as error:
            raise StartError(f"known: {error}") from None
        self.endpoint_watch.discovery = self.discovery
        # The list is applied by now, and may take much memory: it can have thousands of engines.
        self.config = replace(self.config, known_endpoints=None)

    def _create_stages(self):
        """Creates the stages that a query passes through; each refers to the next."""
        self.memory = MemoryAccount(0)
        self.engines = EnginePool(
            self.reactor,
            urgent_reserve=URGENT_DESCRIPTORS,
            connect_timeout_ms=self.settings.capabilities.connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS,
            reply_timeout_ms=REPLY_TIMEOUT_MS,
            keep_alive_ms=self.settings.engine_keepalive_ms or DEFAULT_KEEP_ALIVE_MS,
            memory=self.memory,
        )
        self.adapter = ControllerAdapter(
            self.settings, self.reactor, self.engines, now_ms, self.metrics, self.log
        )
        self.listed_engines = ListedEngines(self.settings, self.engines, self.adapter, now_ms, self.log)
        self.attempts = AttemptTracker(self.metrics, self.adapter.attempt_ended, self.memory)
        currency = EndpointCurrency(
            self.adapter.controller.staleness.max_unconfirmed_ms,
            min(MAX_UNCONFIRMED_MS, MAX_ANNOUNCEMENT_DELAY_MS),
            self.adapter.endpoints_unconfirmed,
        )
        self.endpoint_watch = EndpointWatch(
            self.reactor, currency, self.engines.connect_timeout_ms, self.metrics, self.log
        )
        self.relay = ResultRelay(
            self.engines,
            EngineEvidence(self.engines, self.endpoint_watch.confirm, now_ms),
            self.attempts,
            self.metrics,
            self.adapter.progress_reported,
            now_ms,
            self.log,
            self.memory,
        )
        self.dispatcher = Dispatcher(
            self.engines,
            self.relay,
            self.attempts,
            self.metrics,
            self.adapter.call_at,
            self.adapter.authorize_dispatch,
            self._read_news,
            now_ms,
        )
        self.router = Router(self.dispatcher, self.relay)
        self.adapter.router = self.router
        self.pauses = ProcessPauses(
            CALL_CHECK_INTERVAL_MS,
            MIN_PAUSE_MS,
            lambda call: self.reactor.callLater(0, call),
            lambda: self.clients.listener.may_have_backlog,
        )
        self.clients = RequestIntake(
            self.settings,
            self.reactor,
            self.adapter,
            self.metrics,
            self.log,
            now_ms,
            self.is_ready,
            self.memory,
        )
        self.clients.earliest_arrival_ms = self.pauses.earliest_arrival_ms

    def _read_news(self, in_flight):
        """Handles what has arrived and concerns an attempt: the endpoint list's news, and its client's."""
        self.endpoint_watch.read_pending()
        client = in_flight.query.client
        if client is not None:
            client.read_pending()

    def _apply_limits(self):
        """Divides the configured descriptors between engines and clients, and sets the limits for clients."""
        max_descriptors = self.config.max_descriptors
        client_descriptors = max_descriptors // CLIENT_DESCRIPTOR_DIVISOR
        self.engines.descriptor_budget = max_descriptors - client_descriptors - RESERVED_DESCRIPTORS
        rules = configuration.effective_connection_rules(
            self.feature_settings, client_descriptors + EXTRA_CLIENT_DESCRIPTORS, self.distributed_rules
        )
        self.clients.set_limits(self.config.client_memory_bytes, rules)

    # Distributed configuration

    def apply_connection_rules(self, rules) -> None:
        """Applies distributed connection rules, or the settings file's if None; closes no connection."""
        self.distributed_rules = rules
        self._apply_limits()

    def apply_endpoints(self, whole: bool, records: list[EndpointRecord]) -> None:
        """Applies distributed endpoints in place of discovery's: the complete list (`whole`), or changes."""
        self.listed_engines.update(whole, records)
        self.discovery.confirm()

    @property
    def engines_by_id(self) -> dict[str, GatewayEngine]:
        """The engines on the endpoint list."""
        return self.listed_engines.by_id

    # Start

    def start(self) -> None:
        """Starts to listen and to follow the endpoint list; the reactor calls `run`. Errors: StartError."""
        if self.fleet is not None:
            error = self.fleet.open()
            if error:
                raise StartError(error)
        try:
            self.clients.listener.open(*self.config.listen_address)
        except CannotListenError as error:
            reason = error.socketError.strerror
            raise StartError(f"cannot listen on {self.config.listen_address}: {reason}") from None
        self.adapter.endpoints_stale(MAX_ANNOUNCEMENT_DELAY_MS)
        if not self.endpoints_are_distributed:
            self.endpoint_watch.start(self.config.discovery_address)
        self.reactor.callWhenRunning(self.run)

    def run(self) -> None:
        """Installs the signal handlers and starts to serve."""
        handlers = {
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGUSR1: self.log_counters,
            signal.SIGHUP: self.reload,
        }
        install_signal_handlers(self.reactor, handlers)
        self.adapter.run_turn()
        gc.collect()
        gc.freeze()
        self._check_clients()
        self._check_calls()
        self.phase = ServicePhase.SERVING
        if self.fleet is not None:
            self.fleet.begin()
            self.adapter.quota = self.fleet.tenant_usage
        self.log(
            "service",
            f"serving on {self.config.listen_address}, {len(self.engines_by_id)} engines known; "
            f"{self.engines.descriptor_budget} descriptors for engines, "
            f"{self.clients.max_connections} for clients, {self.memory.max_bytes >> 20} MB for them",
        )

    # Operation

    def is_ready(self) -> bool:
        """Returns whether the gateway is ready for clients.

        A gateway that cannot reach the discovery service for long uses its last endpoint list and is ready.
        """
        if self.phase != ServicePhase.SERVING or not self.engines_by_id:
            return False
        return self.discovery.is_confirmed or not self.adapter.controller.are_endpoints_stale(now_ms())

    def _check_clients(self):
        self.engines.call_later(CLIENT_CHECK_INTERVAL_MS, self._check_clients)
        self.clients.close_expired()

    def _check_calls(self):
        check_ms = self.reactor.seconds() * 1000
        lag_ms = self.pauses.on_tick(now_ms())
        if lag_ms > MIN_PAUSE_MS:
            self.metrics.count("process pauses")
            self.log("pause", f"process: stood still pause_ms={lag_ms:.0f} phase={self.phase}")
        self.clients.connection_admission.update_load(self._used_share(), lag_ms, check_ms)
        self.engines.call_later(CALL_CHECK_INTERVAL_MS, self._check_calls)
        self.engines.check_connections()

    def _used_share(self):
        """Returns the used share of the descriptors or of the clients' memory, whichever is larger."""
        clients = self.clients
        descriptors = self.engines.open_count + len(clients.connections) + OTHER_DESCRIPTORS
        memory_share = self.memory.held_bytes / max(1, self.memory.max_bytes)
        return max(descriptors / self.config.max_descriptors, memory_share)

    def reload(self) -> None:
        """Handles SIGHUP: applies the discovery address, endpoints and limits of the new configuration.

        A configuration that is invalid in any part is rejected as a whole. No client connection or query is
        closed.
        """
        if self.phase in (ServicePhase.STARTING, ServicePhase.ENDED):
            return
        try:
            new_config = configuration.read_config(self.environment)
            configuration.read_deployment_settings(new_config.settings, new_config.seed)
            new_feature_settings = configuration.read_feature_settings(self.environment)
            self._apply_known_endpoints(new_config.known_endpoints)
        except (StartError, EndpointListError) as error:
            self.metrics.count("configurations rejected")
            self.log("service", f"{error}; the old configuration stays in force")
            return
        self.metrics.count("configurations reloaded")
        if self._needs_restart(new_config, new_feature_settings):
            self.log(
                "service",
                "changed settings, listen address or fleet: these take effect at the next start",
            )
        old_config = self.config
        self.config = replace(
            new_config,
            listen_address=old_config.listen_address,
            settings=old_config.settings,
            known_endpoints=None,
        )
        self.feature_settings = new_feature_settings
        self._apply_limits()
        has_moved = self.config.discovery_address != old_config.discovery_address
        if has_moved and self.endpoint_watch.address is not None:
            self.endpoint_watch.start(self.config.discovery_address)

    def _apply_known_endpoints(self, known_endpoints):
        """Applies the configuration's endpoint list if it is newer. Errors: EndpointListError."""
        is_newer = read_events(known_endpoints).last_number > self.discovery.last_number
        distributed = self.endpoints_are_distributed and self.discovery.is_confirmed
        if is_newer and not distributed:
            self.discovery.apply(known_endpoints)

    def _needs_restart(self, new_config, new_feature_settings):
        if new_config.listen_address != self.config.listen_address:
            return True
        if new_config.settings != self.config.settings:
            return True
        old_settings = configuration.restart_only_settings(self.feature_settings)
        return configuration.restart_only_settings(new_feature_settings) != old_settings

    # Shutdown

    def leave(self) -> None:
        """Handles SIGTERM: sends GO_AWAY, goes on accepting as long as PROTOCOL requires, then drains."""
        if self.phase != ServicePhase.SERVING:
            return
        self.phase = ServicePhase.LEAVING
        longest_ms = max(group.max_timeout_ms or MAX_DEADLINE_MS for group in self.settings.groups.values())
        signalled_ms = self.pauses.earliest_arrival_ms(now_ms())
        self.sigkill_expected_ms = signalled_ms + min(MAX_DEADLINE_MS, longest_ms) + SIGKILL_AFTER_DEADLINE_MS
        self.clients.send_go_away()
        self.engines.call_later(ACCEPT_AFTER_SIGTERM_MS, self._stop_listening)
        final_answers_ms = self.sigkill_expected_ms - FINAL_ANSWERS_BEFORE_MS
        self.engines.call_later(final_answers_ms - now_ms(), self.adapter.evict_all)

    def _stop_listening(self):
        self.clients.stop_listening()
        if self.fleet is not None:
            self.fleet.leave()
        self.engines.call_later(REQUESTS_AFTER_ACCEPTING_MS, self._begin_drain)

    def _begin_drain(self):
        """Drains from the next turn of the reactor on: what has arrived by now is read and accepted first."""
        self.phase = ServicePhase.DRAINING
        self.engines.call_later(DRAIN_CHECK_INTERVAL_MS, self._drain)

    def _drain(self):
        """Drains: ends the service once all queries are answered, all attempts over and all answers sent.

        New queries are rejected, and each connection is closed once its queries are answered: clients that go
        on sending would keep a query open for ever. Shortly before SIGKILL is due, open queries get their
        final answers and attempts are no longer waited for; then the service ends in any case.
        """
        left_ms = self.sigkill_expected_ms - now_ms()
        are_final_answers_due = left_ms < FINAL_ANSWERS_BEFORE_MS
        is_late = left_ms < END_BEFORE_MS
        self.clients.is_stopping = True
        if are_final_answers_due:
            self.adapter.evict_all()
        self.clients.close_idle()
        all_answered = not self.adapter.open_queries and not self.adapter.events
        nothing_in_flight = self.attempts.in_flight_count == 0 or are_final_answers_due
        fleet_is_over = self.fleet is None or self.fleet.is_leave_complete()
        is_complete = nothing_in_flight and fleet_is_over and not self.clients.connections
        if (all_answered or left_ms < 0) and (is_complete or is_late):
            self._end()
        else:
            self.engines.call_later(DRAIN_CHECK_INTERVAL_MS, self._drain)

    def _end(self):
        self.phase = ServicePhase.ENDED
        self.endpoint_watch.stop()
        if self.fleet is not None:
            self.fleet.close()
        self.reactor.stop()

    def log_counters(self) -> None:
        """Logs the counters and the current state, on SIGUSR1 and at the end."""
        for line in service_report.lines(self):
            self.log.line(line)

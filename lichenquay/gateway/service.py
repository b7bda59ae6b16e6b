"""The running gateway: its parts, and its phases from start to exit."""

import gc
import signal
import time
from collections.abc import Mapping
from dataclasses import replace
from enum import StrEnum

from twisted.internet.error import CannotListenError

from lichenquay.admission import domain
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway import configuration, service_report
from lichenquay.gateway.attempt_in_flight import AttemptTracker
from lichenquay.gateway.clock import now_ms, wall_clock_step_ms
from lichenquay.gateway.configuration import StartError
from lichenquay.gateway.controller_adapter import ControllerAdapter
from lichenquay.gateway.discovery import Discovery, DiscoveryFactory
from lichenquay.gateway.dispatch import Dispatcher
from lichenquay.gateway.endpoint_events import EndpointListError, read_events
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine
from lichenquay.gateway.log import Log
from lichenquay.gateway.metrics import Metrics
from lichenquay.gateway.request_intake import RequestIntake
from lichenquay.gateway.result_relay import ResultRelay
from lichenquay.gateway.routing import Router
from lichenquay.process import install_signal_handlers

POLL_REPLY_MS = 250.0  # PROTOCOL: an engine answers a poll after this at the latest
# Then it is polled on another connection, before its query is late or counts as lost.
REPLY_TIMEOUT_POLLS = 1.2
REPLY_TIMEOUT_MS = REPLY_TIMEOUT_POLLS * POLL_REPLY_MS
DEFAULT_CONNECT_TIMEOUT_MS = POLL_REPLY_MS  # where the settings name none
DEFAULT_KEEP_ALIVE_POLLS = 4
DEFAULT_KEEP_ALIVE_MS = DEFAULT_KEEP_ALIVE_POLLS * POLL_REPLY_MS  # likewise
# PROTOCOL: an event of the discovery service counts as announced this much later at the latest.
MAX_ANNOUNCEMENT_DELAY_MS = 7000.0
# PROTOCOL: new connections go on coming 0.4 s after SIGTERM; the last of them is accepted.
ACCEPT_AFTER_SIGTERM_MS = 450.0
REQUESTS_AFTER_ACCEPTING_MS = 200.0  # PROTOCOL: and requests on open ones for this long more
MAX_DEADLINE_MS = 3000.0  # PROTOCOL: SIGKILL comes no sooner than the longest deadline, 3 s at most, ...
SIGKILL_AFTER_DEADLINE_MS = 700.0  # ... and this long more after SIGTERM
FINAL_ANSWERS_BEFORE_MS = 300.0  # before SIGKILL, what is still open gets its final answer
RESERVED_DESCRIPTORS = 48  # for the reactor, accepting, discovery and cancellations
URGENT_DESCRIPTORS = RESERVED_DESCRIPTORS // 2  # of these, for urgent calls to engines
OTHER_DESCRIPTORS = RESERVED_DESCRIPTORS - URGENT_DESCRIPTORS  # of these, always counted as used
EXTRA_CLIENT_DESCRIPTORS = RESERVED_DESCRIPTORS // 4  # beyond the clients' share
LATE_FINAL_ANSWERS_MS = FINAL_ANSWERS_BEFORE_MS / 2  # from here on nothing in flight is waited for
CLIENT_DESCRIPTOR_SHARE = 3  # PROTOCOL: clients hold a third of the descriptors at most
CHECK_CALLS_EACH_MS = 25.0  # for calls that have waited too long
CHECK_CLIENTS_EACH_MS = 250.0  # for connections that have outlived their use
CHECK_DRAINED_EACH_MS = 10.0


class ServicePhase(StrEnum):
    """The phases of a gateway, in order."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"  # after SIGTERM: still accepts connections and requests
    DRAINING = "draining"  # until all that was accepted is answered
    ENDED = "ended"


class Service:
    """A gateway: its parts, made from the configuration, and its phases."""

    def __init__(self, reactor, environment: Mapping[str, str]):
        """Reads the configuration that the environment names. Errors: StartError."""
        self.phase = ServicePhase.STARTING
        self.reactor = reactor
        self.environment = environment
        self.config = configuration.read_config(environment)
        self.settings = configuration.read_deployment_settings(self.config.settings, self.config.seed)
        self.engines_by_id: dict[str, GatewayEngine] = {}
        self.next_check_ms = 0.0
        self.sigkill_expected_ms = 0.0
        self.log = Log(time.monotonic)
        self.metrics = Metrics()
        self._make_stages()
        self.feature_settings = configuration.read_feature_settings(environment)
        self.distributed_rules = None  # of connection admission
        self._set_bounds()
        self.endpoints_are_distributed = (
            self.feature_settings is not None and self.feature_settings.distribution.engines
        )
        self.discovery_factory = None
        self.fleet = configuration.make_fleet(
            self.feature_settings, reactor, self.config.seed, self.adapter.controller.is_under_pressure, self
        )
        try:
            self.discovery = Discovery(
                self.config.known_endpoints, self.on_endpoints, self.log, self.adapter.endpoints_confirmed
            )
        except EndpointListError as error:
            raise StartError(f"known: {error}") from None
        self.config = replace(self.config, known_endpoints=None)  # applied; it may be of thousands of engines

    def _make_stages(self):
        """The stages of a query's way; each refers to the next."""
        self.engines = EnginePool(
            self.reactor,
            urgent_reserve=URGENT_DESCRIPTORS,
            connect_timeout_ms=self.settings.capabilities.connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS,
            reply_timeout_ms=REPLY_TIMEOUT_MS,
            keep_alive_ms=self.settings.engine_keepalive_ms or DEFAULT_KEEP_ALIVE_MS,
        )
        self.adapter = ControllerAdapter(
            self.settings, self.reactor, self.engines, now_ms, self.metrics, self.log
        )
        self.attempts = AttemptTracker(self.metrics, self.adapter.attempt_ended)
        self.relay = ResultRelay(
            self.engines, self.attempts, self.metrics, self.adapter.progress_reported, now_ms, self.log
        )
        self.dispatcher = Dispatcher(
            self.engines,
            self.relay,
            self.attempts,
            self.metrics,
            self.adapter.call_at,
            self.adapter.authorize_dispatch,
            now_ms,
        )
        self.router = Router(self.dispatcher, self.relay)
        self.adapter.router = self.router
        self.clients = RequestIntake(
            self.settings, self.reactor, self.adapter, self.metrics, self.log, now_ms, self.is_ready
        )

    def _set_bounds(self):
        """Shares of the configured limits: of descriptors for engines and clients, of memory for clients."""
        max_descriptors = self.config.max_descriptors
        client_descriptors = max_descriptors // CLIENT_DESCRIPTOR_SHARE
        self.engines.descriptor_budget = max_descriptors - client_descriptors - RESERVED_DESCRIPTORS
        rules = configuration.effective_connection_rules(
            self.feature_settings, client_descriptors + EXTRA_CLIENT_DESCRIPTORS, self.distributed_rules
        )
        self.clients.set_bounds(self.config.client_memory_bytes, rules)

    # Distributed configuration.

    def apply_connection_rules(self, rules) -> None:
        """Distributed rules take the place of the file's; None: the file's again. What is open stays open."""
        self.distributed_rules = rules
        self._set_bounds()

    def apply_endpoints(self, whole: bool, records: list[EndpointRecord]) -> None:
        """Distributed endpoints take the place of discovery's: all there are, or those that changed."""
        self.on_endpoints(whole, records)
        self.discovery.confirm()

    # The endpoint list.

    def on_endpoints(self, whole: bool, records: list[EndpointRecord]) -> None:
        """The endpoint list changed: `records` are all engines (`whole`), or those that changed."""
        named = []
        removed = set(self.engines_by_id.values()) if whole else set()
        for record in records:
            engine = self._update_engine(record)
            named.append(engine)
            if record.state == domain.EndpointState.REMOVED:
                removed.add(engine)
            else:
                removed.discard(engine)
        self.adapter.endpoints_updated(named, whole)
        for engine in removed:  # its address may be another's by now
            engine.state = domain.EndpointState.REMOVED
            self.engines.close_idle_connections(engine)
            self.engines_by_id.pop(engine.id, None)

    def _update_engine(self, record):
        engine = self.engines_by_id.get(record.uid)
        if engine is None:
            engine = GatewayEngine(record.uid)
            self.engines_by_id[record.uid] = engine
        if engine.address != record.address:
            self.engines.close_idle_connections(engine)
            engine.address = record.address
        # The wall clock by which it started may have stepped since this gateway took its own from it.
        started_ms = record.started_ms + wall_clock_step_ms() if record.started_ms else record.started_ms
        self.settings.update_engine(
            engine, record.zone, record.kind, record.cell, record.state, record.advertised_weight, started_ms
        )
        return engine

    # Starting.

    def start(self) -> None:
        """Listens; the rest follows once the reactor runs. Errors: StartError."""
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
        self._follow_discovery()
        self.reactor.callWhenRunning(self.run)

    def _follow_discovery(self):
        """Where the endpoint list does not come as distributed configuration."""
        if self.endpoints_are_distributed:
            return
        self.discovery_factory = DiscoveryFactory(
            self.reactor, self.discovery, *self.config.discovery_address, self.engines.connect_timeout_ms
        )

    def run(self) -> None:
        """Serves, and handles signals."""
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
            f"{self.clients.max_connections} for clients, {self.clients.max_held_bytes >> 20} MB for them",
        )

    # Serving.

    def is_ready(self) -> bool:
        """Whether clients should come here.

        With the discovery service out of reach for long, a gateway serves by its last endpoint list, and is
        ready.
        """
        if self.phase != ServicePhase.SERVING or not self.engines_by_id:
            return False
        return self.discovery.is_confirmed or not self.adapter.controller.are_endpoints_stale(now_ms())

    def _check_clients(self):
        self.engines.call_later(CHECK_CLIENTS_EACH_MS, self._check_clients)
        self.clients.close_expired()

    def _check_calls(self):
        check_ms = self.reactor.seconds() * 1000
        lag_ms = max(0.0, check_ms - self.next_check_ms) if self.next_check_ms else 0.0
        self.next_check_ms = check_ms + CHECK_CALLS_EACH_MS
        self.clients.connection_admission.update_load(self._used_share(), lag_ms, check_ms)
        self.engines.call_later(CHECK_CALLS_EACH_MS, self._check_calls)
        self.engines.check_connections()

    def _used_share(self):
        """The larger of the shares of descriptors and of clients' memory that are used up."""
        clients = self.clients
        descriptors = self.engines.open_count + len(clients.connections) + OTHER_DESCRIPTORS
        memory_share = clients.held_bytes / max(1, clients.max_held_bytes)
        return max(descriptors / self.config.max_descriptors, memory_share)

    def reload(self) -> None:
        """SIGHUP: discovery and limits by the new configuration, or nothing where any of it cannot be read.

        Half of a new configuration is never in force. Nothing that is open is closed.
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
                "new settings, another listen address or another fleet: these count from the next start",
            )
        old_config = self.config
        self.config = replace(
            new_config,
            listen_address=old_config.listen_address,
            settings=old_config.settings,
            known_endpoints=None,
        )
        self.feature_settings = new_feature_settings
        self._set_bounds()
        has_moved = self.config.discovery_address != old_config.discovery_address
        if has_moved and self.discovery_factory is not None:
            self.discovery_factory.stop()
            self._follow_discovery()

    def _apply_known_endpoints(self, known_endpoints):
        """Applies the configuration's endpoint list, if that is newer. Errors: EndpointListError."""
        is_newer = read_events(known_endpoints).last_number > self.discovery.last_number
        distributed = self.endpoints_are_distributed and self.discovery.is_confirmed
        if is_newer and not distributed:
            self.discovery.apply(known_endpoints)

    def _needs_restart(self, new_config, new_feature_settings):
        if new_config.listen_address != self.config.listen_address:
            return True
        if new_config.settings != self.config.settings:
            return True
        old_start_only = configuration.start_only_settings(self.feature_settings)
        return configuration.start_only_settings(new_feature_settings) != old_start_only

    # Ending.

    def leave(self) -> None:
        """SIGTERM: accepts as long as PROTOCOL says, answers all that was accepted, sends GO_AWAY."""
        if self.phase != ServicePhase.SERVING:
            return
        self.phase = ServicePhase.LEAVING
        longest_ms = max(group.max_timeout_ms or MAX_DEADLINE_MS for group in self.settings.groups.values())
        self.sigkill_expected_ms = now_ms() + min(MAX_DEADLINE_MS, longest_ms) + SIGKILL_AFTER_DEADLINE_MS
        self.clients.send_go_away()
        self.engines.call_later(ACCEPT_AFTER_SIGTERM_MS, self._stop_listening)
        final_answers_ms = self.sigkill_expected_ms - FINAL_ANSWERS_BEFORE_MS
        self.engines.call_later(final_answers_ms - now_ms(), self.adapter.evict_all)

    def _stop_listening(self):
        self.clients.stop_listening()
        if self.fleet is not None:
            self.fleet.leave()
        self.engines.call_later(REQUESTS_AFTER_ACCEPTING_MS, self._drain)

    def _drain(self):
        """Until all that was accepted is answered, what was cancelled is over, and the answers are sent."""
        self.phase = ServicePhase.DRAINING
        left_ms = self.sigkill_expected_ms - now_ms()
        is_late = left_ms < LATE_FINAL_ANSWERS_MS
        if left_ms < FINAL_ANSWERS_BEFORE_MS:
            # What came since the final answers were asked for would end with the process, unanswered.
            self.clients.is_stopping = True
            self.adapter.evict_all()
        all_answered = not self.adapter.open_queries and not self.adapter.events
        nothing_in_flight = self.attempts.in_flight_count == 0
        if (all_answered or left_ms < 0) and (nothing_in_flight or is_late):
            self.clients.close_idle()
            fleet_is_over = self.fleet is None or self.fleet.is_leave_complete()
            if is_late or (not self.clients.connections and fleet_is_over):
                self._end()
                return
        self.engines.call_later(CHECK_DRAINED_EACH_MS, self._drain)

    def _end(self):
        self.phase = ServicePhase.ENDED
        if self.discovery_factory is not None:
            self.discovery_factory.stop_reconnecting()
        if self.fleet is not None:
            self.fleet.close()
        self.reactor.stop()

    def log_counters(self) -> None:
        """SIGUSR1, and at the end: counters and the present state, as lines of the log."""
        for line in service_report.lines(self):
            self.log.line(line)

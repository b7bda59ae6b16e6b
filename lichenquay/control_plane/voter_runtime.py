"""Runtime of a voter: the lease group and its store, the publisher, and the endpoint list from discovery."""

from collections.abc import Sequence

from lichenquay.config.control_settings import lease_duration_ms
from lichenquay.config.distributed_values import CHECKS_BY_PREFIX
from lichenquay.config.process_entries import parse_address
from lichenquay.control_plane.endpoint_importer import EndpointImporter
from lichenquay.control_plane.lease_candidate import LeaseCandidate
from lichenquay.control_plane.report import voter_lines
from lichenquay.control_plane.runtime import MIN_LOG_INTERVAL_MS, ControlRuntime
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution import publisher
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.validation import find_change_error
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.fleet.message_envelope import Layer
from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.endpoint_currency import EndpointCurrency
from lichenquay.gateway.endpoint_watch import EndpointWatch
from lichenquay.gateway.metrics import Metrics
from lichenquay.lease import lease_pb2

# Keys of the components that send no messages, in place of a layer.
CANDIDATE = "candidate"
IMPORTER = "importer"
DISCOVERY_CONNECT_TIMEOUT_MS = 1000.0
MAX_UNCONFIRMED_MS = 7000.0  # PROTOCOL: an event counts as announced after at most this time
NO_EVENTS = {"no": 0, "items": []}  # In the format of discovery; used until discovery has answered.


def find_rejection_reason(entries: Sequence[pb.Entry], store: KeyStore, settings: Settings) -> str | None:
    """Returns why the publisher rejects a change, or None; gateways check the values in the same way."""
    return find_change_error(entries, store, settings, CHECKS_BY_PREFIX)


class VoterRuntime(ControlRuntime):
    """Runs a voter, which publishes while it holds the lease."""

    role = "voter"
    section_prefix = f"owner/{publisher.LEASE_GROUP_NAME}/"
    message_types = {**ControlRuntime.message_types, Layer.LEASE: lease_pb2.Message}
    importer: EndpointImporter | None = None
    endpoint_watch: EndpointWatch | None = None
    logged_lease_generation = 0
    discovery_logged_ms = float("-inf")

    def make_components(self, now_ms: float) -> None:
        """Creates the group from its stored state, the publisher and, if there is discovery, the importer."""
        self.group, self.publisher = self._make_group(now_ms)
        self.candidate = LeaseCandidate(self.group, now_ms)
        self.components = {
            Layer.LEASE: self.group,
            Layer.DISTRIBUTION: self.publisher,
            CANDIDATE: self.candidate,
        }
        if self.settings.discovery:
            self._follow_discovery(now_ms)

    def _make_group(self, now_ms):
        return publisher.make_voter(
            self.settings.name,
            self.incarnation,
            sorted(voter.name for voter in self.settings.voters),
            self.rng,
            publisher.group_settings(self.protocol_settings, lease_duration_ms(self.settings)),
            self.protocol_settings,
            now_ms,
            self.stored_sections(),
            check=find_rejection_reason,
        )

    def _follow_discovery(self, now_ms):
        self.importer = EndpointImporter(self.publisher, self.rng, now_ms, self.log)
        self.components[IMPORTER] = self.importer
        self.endpoint_watch = EndpointWatch(
            self.reactor,
            EndpointCurrency(MAX_UNCONFIRMED_MS, MAX_UNCONFIRMED_MS),
            DISCOVERY_CONNECT_TIMEOUT_MS,
            Metrics(),
            self.log_discovery_error,
        )
        self.endpoint_watch.discovery = Discovery(NO_EVENTS, self.on_endpoints, self.log_discovery_error)
        self.endpoint_watch.start(parse_address(self.settings.discovery))

    def on_endpoints(self, is_whole: bool, records: Sequence[EndpointRecord]) -> None:
        """Passes an announcement of discovery to the importer: the whole list, or what changed."""
        if not self.is_closed:
            self.importer.on_endpoints(self.now_ms(), is_whole, records)
            self.tick_due_components()

    def log_discovery_error(self, kind: str, line: str) -> None:
        """Logs an error of discovery, at most once in `MIN_LOG_INTERVAL_MS`."""
        now_ms = self.now_ms()
        if now_ms - self.discovery_logged_ms >= MIN_LOG_INTERVAL_MS:
            self.discovery_logged_ms = now_ms
            self.log.warning("discovery", reason=line)

    def close(self) -> None:
        """Stops following discovery, and closes socket and folder."""
        if self.endpoint_watch is not None:
            self.endpoint_watch.stop()
        super().close()

    def after_flush(self) -> None:
        """Logs whether this voter publishes, and the newest version."""
        lease_generation = self.group.generation
        if lease_generation != self.logged_lease_generation:
            self._log_lease(lease_generation)
        if lease_generation:
            self.log_version(self.publisher.source.version, lease_generation)

    def _log_lease(self, lease_generation):
        status = "holds the lease" if lease_generation else "lost the lease"
        self.log.info("publisher", status=status, generation=lease_generation or self.logged_lease_generation)
        self.logged_lease_generation = lease_generation

    def release_all(self, now_ms: float) -> None:
        """Releases the lease, so that another voter may acquire it immediately."""
        self.candidate.leave(now_ms)

    def has_released_all(self) -> bool:
        """Returns whether the lease is released, and the other voters were notified more than once."""
        return not self.group.generation and not self.group.is_announcing_release

    def component_lines(self, now_ms: float) -> list[str]:
        """Returns the lines of group and publisher, and of the importer if there is one."""
        importer_lines = self.importer.lines() if self.importer is not None else []
        return [*voter_lines(self.group, self.publisher, now_ms), *importer_lines]

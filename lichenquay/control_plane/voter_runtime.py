"""A voter's process: the lease group and its disk, the publisher, and the endpoint list from discovery."""

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
from lichenquay.gateway.discovery import Discovery, DiscoveryFactory
from lichenquay.lease import lease_pb2

# Parts that send nothing are listed under these names in place of a layer.
CANDIDATE = "candidate"
IMPORTER = "importer"
DISCOVERY_CONNECT_TIMEOUT_MS = 1000.0
NO_EVENTS = {"no": 0, "items": []}  # Discovery's answer before it has answered, in its own format.


def find_error_in_change(entries: Sequence[pb.Entry], store: KeyStore, settings: Settings) -> str | None:
    """Return why the publisher refuses a change, or None; gateways check the values in the same way."""
    return find_change_error(entries, store, settings, CHECKS_BY_PREFIX)


class VoterRuntime(ControlRuntime):
    """Runs a voter, which publishes while it holds the lease."""

    role = "voter"
    section_prefix = f"owner/{publisher.LEASE_GROUP_NAME}/"
    kinds = {**ControlRuntime.kinds, Layer.LEASE: lease_pb2.Message}
    importer: EndpointImporter | None = None
    discovery: DiscoveryFactory | None = None
    logged_generation = 0
    discovery_logged_ms = float("-inf")

    def make_parts(self, now_ms: float) -> None:
        """Make the group from its stored state, the publisher, and the importer if there is discovery."""
        self.group, self.publisher = self._make_group(now_ms)
        self.candidate = LeaseCandidate(self.group, now_ms)
        self.parts = {Layer.LEASE: self.group, Layer.DISTRIBUTION: self.publisher, CANDIDATE: self.candidate}
        if self.settings.discovery:
            self._follow_discovery(now_ms)

    def _make_group(self, now_ms):
        return publisher.make_voter(
            self.settings.name,
            self.incarnation,
            sorted(voter.name for voter in self.settings.voters),
            self.rng,
            publisher.group_settings(self.figures, lease_duration_ms(self.settings)),
            self.figures,
            now_ms,
            self.stored_sections(),
            check=find_error_in_change,
        )

    def _follow_discovery(self, now_ms):
        self.importer = EndpointImporter(self.publisher, self.rng, now_ms, self.log)
        self.parts[IMPORTER] = self.importer
        discovery = Discovery(NO_EVENTS, self.on_endpoints, self.log_discovery_error)
        host, port = parse_address(self.settings.discovery)
        self.discovery = DiscoveryFactory(self.reactor, discovery, host, port, DISCOVERY_CONNECT_TIMEOUT_MS)

    def on_endpoints(self, is_whole: bool, records: Sequence[EndpointRecord]) -> None:
        """Pass an announcement of discovery to the importer: the whole list, or what changed."""
        if not self.is_closed:
            self.importer.on_endpoints(self.now_ms(), is_whole, records)
            self.run_due_parts()

    def log_discovery_error(self, kind: str, line: str) -> None:
        """Log an error of discovery, at most once in `MIN_LOG_INTERVAL_MS`."""
        now_ms = self.now_ms()
        if now_ms - self.discovery_logged_ms >= MIN_LOG_INTERVAL_MS:
            self.discovery_logged_ms = now_ms
            self.log.warning("discovery", reason=line)

    def close(self) -> None:
        """Stop to follow discovery, and close socket and folder."""
        if self.discovery is not None:
            self.discovery.stop()
        super().close()

    def after_flush(self) -> None:
        """Log whether this voter publishes, and the newest version."""
        generation = self.group.generation
        if generation != self.logged_generation:
            self._log_lease(generation)
        if generation:
            self.log_version(self.publisher.source.version, generation)

    def _log_lease(self, generation):
        status = "holds the lease" if generation else "lost the lease"
        self.log.info("publisher", status=status, generation=generation or self.logged_generation)
        self.logged_generation = generation

    def start_leaving(self, now_ms: float) -> None:
        """Release the lease, so that another voter may acquire it at once."""
        self.candidate.leave(now_ms)

    def has_left(self) -> bool:
        """Whether the lease is released, and the other voters were notified more than once."""
        return not self.group.generation and not self.group.is_announcing_release

    def part_lines(self, now_ms: float) -> list[str]:
        """Return the lines of group and publisher, and of the importer if there is one."""
        importer_lines = self.importer.lines() if self.importer is not None else []
        return [*voter_lines(self.group, self.publisher, now_ms), *importer_lines]

"""A relay's process: a subscriber of everything, and a source for the gateways of its zone."""

from lichenquay.config.control_settings import region_of
from lichenquay.control_plane.report import relay_lines
from lichenquay.control_plane.runtime import ControlRuntime
from lichenquay.distribution.relay import Relay
from lichenquay.fleet.message_envelope import Layer
from lichenquay.fleet.source_ranking import rank_sources


class RelayRuntime(ControlRuntime):
    """Runs a relay."""

    role = "relay"
    logged_source: str | None = None

    def make_parts(self, now_ms: float) -> None:
        """Make a relay that follows the voters, those of its own region first."""
        settings = self.settings
        voters = rank_sources(settings.voters, settings.name, region=region_of(settings))
        self.relay = Relay(settings.name, voters, self.rng, self.figures, now_ms, self.log_subscriber_error)
        self.parts = {Layer.DISTRIBUTION: self.relay}

    def log_subscriber_error(self, now_ms: float, line: str) -> None:
        """Log an error of the subscriber."""
        self.log.warning("distribution", reason=line, source=self.relay.subscriber.source)

    def after_flush(self) -> None:
        """Log which source the relay follows, and the newest version."""
        subscriber = self.relay.subscriber
        if subscriber.source != self.logged_source:
            self.logged_source = subscriber.source
            self.log.info("source", source=subscriber.source)
        self.log_version(subscriber.version, subscriber.generation, source=subscriber.source)

    def start_leaving(self, now_ms: float) -> None:
        """Stop to follow; the relay's subscribers find another source by themselves."""
        self.relay.subscriber.stop()

    def has_left(self) -> bool:
        """Return True: a relay holds nothing that others wait for."""
        return True

    def part_lines(self, now_ms: float) -> list[str]:
        """Return the lines of the subscriber and of the source."""
        return relay_lines(self.relay, now_ms)

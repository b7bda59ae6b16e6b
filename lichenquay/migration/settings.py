"""The settings of session migration. Times are in milliseconds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MigrationSettings:
    """The settings of one replica group.

    `max_concurrent`: sessions at a time that are frozen, or handed over and not yet acknowledged.
    `bytes_per_s`: total size of the sessions that are handed over per second.
    `answer_timeout_ms`: until an offer or a handover is retried; it doubles with each retry of a handover.
    `max_offers`: offers of one session to one replica group before another is tried.
    `max_freeze_ms`: a session that is frozen for longer is resumed, and handed over later.
    `backoff_ms`: wait after a failure, doubled with each further one, up to `max_backoff_ms`.
    `reservation_ms`: for which a target reserves room for an offered session.
    `tick_period_ms`: between ticks while there is something to hand over.
    `announce_ms`: between the announcement and leaving, so that the other gateways learn of it.
    `max_leaving_share`: share of the fleet that leaves at a time; always at least one gateway.
    """

    max_concurrent: int = 8
    bytes_per_s: int = 64_000
    answer_timeout_ms: float = 150.0
    max_offers: int = 3
    max_freeze_ms: float = 1500.0
    backoff_ms: float = 500.0
    max_backoff_ms: float = 4000.0
    reservation_ms: float = 3000.0
    tick_period_ms: float = 50.0
    announce_ms: float = 2000.0
    max_leaving_share: float = 0.25

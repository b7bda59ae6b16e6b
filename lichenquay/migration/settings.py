"""What a coordinator is told. Times are milliseconds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Of one replica group; ms, bytes and counts as the names and remarks say."""

    at_once: int = 8  # sessions frozen or gone and not yet on record elsewhere, of one replica group
    bytes_s: int = 64_000  # of sessions handed over in a second
    answer_ms: float = 150.0  # until an offer or a hand-over is sent again; a hand-over's doubles with each
    offers: int = 3  # of one session to one replica group, before another is asked
    freeze_ms: float = 1500.0  # frozen for longer, and not gone: it is given back, and tried again later
    back_off_ms: float = 500.0  # doubled with each failure
    most_wait_ms: float = 4000.0  # of any wait that doubles
    reserve_ms: float = 3000.0  # room kept for what was offered
    period_ms: float = 50.0  # between looks while there is something to move
    settle_ms: float = (
        2000.0  # from saying that one wants to leave to leaving, so that the others have heard it
    )
    share: float = 0.25  # of the fleet that leaves at a time; always one

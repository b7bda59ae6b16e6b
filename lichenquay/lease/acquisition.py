"""One acquisition of a group's lease under one generation. No I/O."""

from collections.abc import Callable, Sequence
from random import Random

from lichenquay.lease.log import FindStateError, LogPosition, ReplicatedLog
from lichenquay.lease.messages import AcquireRequest, SnapshotChunk, SnapshotOffer
from lichenquay.lease.quorum import Quorum
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.snapshot_transfer import LogSnapshotFetch


class Acquisition:
    """The acquire requests, their grants, and the fetch of the newest log among the granting voters."""

    def __init__(
        self,
        now_ms: float,
        generation: int,
        voters: Sequence[str],
        rng: Random,
        settings: LeaseSettings,
        send: Callable,
        find_state_error: FindStateError,
    ):
        """Sends nothing yet.

        `voters`: names of the voters. `rng` draws the token that replies must echo. `find_state_error` checks
        a fetched log.
        """
        self.started_ms = now_ms
        self.last_progress_ms = now_ms  # its start, or when the fetch has got further
        self.generation = generation
        self.settings = settings
        self.send = send
        self.find_state_error = find_state_error
        self.echo_token = rng.getrandbits(63) + 1
        self.quorum = Quorum(voters)
        self.bootstrap_nonces = {}  # by voter; set if all voters are recovering
        self.fetch = None

    @property
    def ends_ms(self) -> float:
        """The time by which a majority has to have granted. Voters with lost folders rely on it (`voter`)."""
        return self.started_ms + self.settings.lease_ms

    @property
    def abandoned_ms(self) -> float:
        """The time at which it is abandoned unless the transfer of the log goes on by then."""
        return max(self.last_progress_ms, self.quorum.catch_up_ms) + self.settings.lease_ms

    def send_requests(self, now_ms: float) -> None:
        """Sends an acquire request to every voter."""
        for name in self.quorum.voters:
            self.send_request(now_ms, name)

    def send_request(self, now_ms: float, name: str) -> None:
        """Sends an acquire request to one voter."""
        self.quorum.voters[name].acquire_sent_ms = now_ms
        request = AcquireRequest(
            generation=self.generation,
            echo_token=self.echo_token,
            bootstrap_nonce=self.bootstrap_nonces.get(name, 0),
        )
        self.send(name, request)

    def is_reply(self, name: str, message) -> bool:
        """Returns whether a message echoes a token that was sent to this voter."""
        return message.echo_token == self.echo_token or self.quorum.voters[name].has_sent(message.echo_token)

    def record_grant(self, name: str, position: LogPosition, offer: SnapshotOffer) -> None:
        """Records the log position and the snapshot offer of a voter that granted."""
        voter = self.quorum.voters[name]
        voter.position = position
        voter.snapshot_offer = offer
        voter.recovery_nonce = 0
        voter.rejection_wait_ms = None

    def newest_granting_voter(self) -> str | None:
        """Returns the granting voter with the newest log; None without a majority of grants."""
        granting_voters = self.quorum.granting_voters()
        if len(granting_voters) < self.quorum.majority:
            return None
        return max(granting_voters, key=lambda name: self.quorum.voters[name].position.order)

    def start_fetch(self, now_ms: float, name: str, earlier: LogSnapshotFetch | None) -> ReplicatedLog | None:
        """Starts to fetch the log of a voter; returns it if an `earlier` fetch had all of it."""
        offer = self.quorum.voters[name].snapshot_offer
        self.fetch = LogSnapshotFetch(
            now_ms, name, self.generation, offer, self.settings, self.find_state_error
        )
        self.fetch.resume(earlier)
        return self._log_or_request(now_ms)

    def continue_fetch(self, now_ms: float) -> None:
        """Requests the next missing chunks."""
        self.send(self.fetch.source, self.fetch.request(now_ms))

    def add_chunk(self, now_ms: float, name: str, chunk: SnapshotChunk) -> ReplicatedLog | None:
        """Records a chunk and returns the log once it is complete; requests the next window until then."""
        is_window_complete = self.fetch.add_chunk(now_ms, name, chunk)
        self.last_progress_ms = max(self.last_progress_ms, self.fetch.last_progress_ms)
        return self._log_or_request(now_ms) if is_window_complete else None

    def _log_or_request(self, now_ms):
        log = self.fetch.assembled_log()
        if log is None:
            self.continue_fetch(now_ms)
        return log

    def bootstrap(self, now_ms: float) -> None:
        """Repeats the acquire requests, with the recovery nonces of all voters.

        Each voter had been recovering for `expiry_wait_ms` before it reported that, so no disk holds any
        state.
        """
        voters = self.quorum.voters
        self.bootstrap_nonces = {name: voter.recovery_nonce for name, voter in voters.items()}
        for name, voter in voters.items():
            voter.recovery_nonce = 0
            self.send_request(now_ms, name)

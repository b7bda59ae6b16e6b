"""The fetch of a snapshot by a subscriber: pages of one version, requested one window at a time."""

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.errors import DigestError
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.settings import Settings

MIN_PAGE_BYTES = 64  # On average. An offer of more and smaller pages is invalid.


def is_valid_offer(offer: pb.SnapshotOffer, settings: Settings) -> bool:
    """Returns whether an offer's sizes are consistent and possible for a state within the settings."""
    max_bytes = 2 * settings.most_state_bytes
    is_empty_consistent = (offer.pages > 0) == (offer.bytes > 0)
    return offer.bytes <= max_bytes and offer.pages <= max_bytes // MIN_PAGE_BYTES and is_empty_consistent


class SnapshotFetch:
    """Collects the pages of one snapshot. They are used only once all are there and the digest matches."""

    def __init__(self, offer: pb.SnapshotOffer, settings: Settings, now_ms: float):
        """Starts to fetch the offered snapshot."""
        self.session = offer.session
        self.version = offer.version
        self.digest = offer.digest
        self.page_count = offer.pages
        self.settings = settings
        self.store = KeyStore()
        self.received_pages: set[int] = set()
        self.first_missing = 0
        self.requested_end = 0
        self.due_ms = now_ms
        self._retry_delay_ms = settings.retry_ms

    def matches_offer(self, offer: pb.SnapshotOffer) -> bool:
        """Returns whether an offer is for the snapshot that is being fetched."""
        fetched = self.session, self.version, self.digest, self.page_count
        return fetched == (offer.session, offer.version, offer.digest, offer.pages)

    def make_request(self, now_ms: float) -> pb.FetchPages:
        """Returns the next request and schedules its repetition, with backoff while no page arrives."""
        self.due_ms = now_ms + self._retry_delay_ms
        self._retry_delay_ms = min(self.settings.report_ms, 2 * self._retry_delay_ms)
        self.requested_end = min(self.page_count, self.first_missing + self.settings.window_pages)
        return pb.FetchPages(
            session=self.session,
            version=self.version,
            first=self.first_missing,
            count=self.requested_end - self.first_missing,
        )

    def add_page(self, now_ms: float, page: pb.Page) -> bool:
        """Adds a page; returns False if it is of another snapshot or was added already.

        Raises DigestError if the pages hold more bytes than a state may have.
        """
        if page.version != self.version or page.number >= self.page_count:
            return False
        if page.number in self.received_pages:
            return False
        self.received_pages.add(page.number)
        self.store.apply(self.version, page.entries)
        if self.store.bytes > 2 * self.settings.most_state_bytes:
            raise DigestError(
                f"snapshot of version {self.version} is too large: {self.store.bytes} bytes received"
            )
        while self.first_missing in self.received_pages:
            self.first_missing += 1
        self._retry_delay_ms = self.settings.retry_ms
        self.due_ms = now_ms + self._retry_delay_ms
        return True

    @property
    def needs_request(self) -> bool:
        """Returns whether all requested pages are there while others are missing."""
        return self.requested_end <= self.first_missing < self.page_count

    @property
    def is_complete(self) -> bool:
        """Returns whether all pages are there."""
        return self.first_missing == self.page_count

    def result(self) -> KeyStore:
        """Returns the state. Raises DigestError if the pages do not match the offered digest."""
        self.store.version = self.version
        if self.store.digest != self.digest:
            raise DigestError(f"digest mismatch in the snapshot of version {self.version}")
        return self.store

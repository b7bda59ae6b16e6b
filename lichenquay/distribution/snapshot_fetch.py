"""One snapshot on its way to a subscriber: pages of one version, asked for a window at a time. No I/O."""

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import Store
from lichenquay.distribution.messages import DigestError

LEAST_PAGE = 64  # Bytes; more pages than so many fit into the largest state make no sense.


def makes_sense(offer, settings):
    """Whether an offer can be one of a state within the settings."""
    most = 2 * settings.most_state_bytes
    return (
        offer.bytes <= most and offer.pages <= most // LEAST_PAGE and (offer.pages > 0) == (offer.bytes > 0)
    )


class Fetch:
    """Collects the pages; they are put together as they come, and count only when all are there and their
    digest fits.
    """

    def __init__(self, offer, settings, now_ms):
        """Nothing is there yet."""
        self.session, self.version, self.digest = offer.session, offer.version, offer.digest
        self.pages, self.settings = offer.pages, settings
        self.store, self.got, self.first = Store(), set(), 0  # `first`: the first page that is missing.
        self.due_ms, self.asked_end, self.delay_ms = now_ms, 0, settings.retry_ms

    def continues(self, offer):
        """Whether an offer is of what is being fetched."""
        mine = self.session, self.version, self.digest, self.pages
        return mine == (offer.session, offer.version, offer.digest, offer.pages)

    def ask(self, now_ms):
        """The next question; asked again, ever later, while no page comes."""
        self.due_ms = now_ms + self.delay_ms
        self.delay_ms = min(self.settings.report_ms, 2 * self.delay_ms)
        self.asked_end = min(self.pages, self.first + self.settings.window_pages)
        return pb.FetchPages(
            session=self.session,
            version=self.version,
            first=self.first,
            count=self.asked_end - self.first,
        )

    def take(self, now_ms, page):
        """A page.

        False: not one of these, or there already. Raises DigestError where there are too many bytes.
        """
        if page.version != self.version or page.number >= self.pages or page.number in self.got:
            return False
        self.got.add(page.number)
        self.store.apply(self.version, page.entries)
        if self.store.bytes > 2 * self.settings.most_state_bytes:
            raise DigestError(f"a snapshot of version {self.version} of over {self.store.bytes} bytes")
        while self.first in self.got:
            self.first += 1
        self.delay_ms = self.settings.retry_ms
        self.due_ms = now_ms + self.delay_ms
        return True

    @property
    def wants_more(self):
        """Whether all that was asked for is there, and more is missing."""
        return self.asked_end <= self.first < self.pages

    @property
    def complete(self):
        """Whether all pages are there."""
        return self.first == self.pages

    def whole(self):
        """The state; raises DigestError where the pages are not what was offered."""
        self.store.version = self.version
        if self.store.digest != self.digest:
            raise DigestError(f"a snapshot of version {self.version} with a wrong digest")
        return self.store

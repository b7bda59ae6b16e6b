"""A snapshot: the state of one view, split into pages."""

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.messages import size_of
from lichenquay.distribution.prefix_view import PrefixView
from lichenquay.distribution.settings import Settings


class Snapshot:
    """Holds the entries of one view at one version as pages, shared by all sessions of the view.

    Pages are kept serialized, which takes half the memory of message objects.
    """

    def __init__(self, view: PrefixView, store: KeyStore, settings: Settings):
        """Builds all pages in one pass over all keys."""
        self.version = store.version
        self.digest = view.digest
        self.pages: list[bytes] = []
        self.bytes = 0
        batch: list[pb.Entry] = []
        batch_size = 0
        for entry in store.entries_with(view.prefixes):
            entry_size = size_of(entry)
            if batch_size + entry_size > settings.delta_bytes:
                self._add_page(batch)
                batch = []
                batch_size = 0
            batch.append(entry)
            batch_size += entry_size
        if batch:
            self._add_page(batch)

    def _add_page(self, entries: list[pb.Entry]) -> None:
        page = pb.Page(version=self.version, number=len(self.pages), entries=entries)
        self.pages.append(page.SerializeToString())
        self.bytes += len(self.pages[-1])

    def page(self, number: int) -> pb.Page:
        """Returns one page, without session, generation and checksum."""
        return pb.Page.FromString(self.pages[number])

"""Snapshots of a source: offers, and the paced sending of the pages that subscribers request."""

from typing import TYPE_CHECKING

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import set_checksum
from lichenquay.distribution.pacing import SnapshotPacer
from lichenquay.distribution.snapshot import Snapshot
from lichenquay.distribution.subscriber_sessions import SubscriberSession

if TYPE_CHECKING:
    from lichenquay.distribution.source import Source


class SnapshotServer:
    """Serves snapshots for one source."""

    def __init__(self, source: "Source", now_ms: float):
        """Starts without a snapshot."""
        self.source = source
        self.settings = source.settings
        self.pacer = SnapshotPacer(source.settings, now_ms)

    @property
    def due_ms(self) -> float:
        """Returns the time at which the next page may be sent."""
        return self.pacer.due_ms

    def offer(self, now_ms: float, session: SubscriberSession) -> None:
        """Offers a snapshot, or asks the subscriber to wait if too many others fetch one."""
        source = self.source
        if not self.pacer.admit(now_ms, session.name):
            source.counts["paced"] += 1
            source.send_wait(session.name, session.session_id)
            return
        snapshot = self._snapshot(now_ms, session)
        source.counts["offers"] += 1
        offer = pb.SnapshotOffer(
            session=session.session_id,
            generation=source.generation,
            version=snapshot.version,
            digest=snapshot.digest,
            pages=len(snapshot.pages),
            bytes=snapshot.bytes,
        )
        source.send(session.name, offer=set_checksum(offer, session.audience.view.prefixes))

    def _snapshot(self, now_ms: float, session: SubscriberSession) -> Snapshot:
        """Returns the snapshot of a session's audience, rebuilt unless the cached one is usable."""
        audience = session.audience
        if not self._is_usable(now_ms, session):
            audience.snapshot_made_ms = now_ms
            audience.snapshot = Snapshot(audience.view, self.source.history.store, self.settings)
        return audience.snapshot

    def _is_usable(self, now_ms: float, session: SubscriberSession) -> bool:
        """Returns whether the cached snapshot is new enough for a session.

        It is not rebuilt while others fetch it and it is recent, nor more often than once in `report_ms`.
        """
        audience, snapshot = session.audience, session.audience.snapshot
        if snapshot is None or snapshot.version < max(session.version, self.source.history.base_version):
            return False
        if snapshot.version == self.source.version:
            return True
        others_fetch = any(name in audience.sessions and name != session.name for name in self.pacer.slots)
        is_recent = self.source.version - snapshot.version <= self.settings.most_changes // 2
        if others_fetch and is_recent:
            return True
        return now_ms < audience.snapshot_made_ms + self.settings.report_ms

    def on_fetch(self, now_ms: float, session: SubscriberSession, fetch: pb.FetchPages) -> None:
        """Handles a request for pages; offers a snapshot again if the requested one is no longer served."""
        snapshot = session.audience.snapshot
        is_offered = snapshot is not None and fetch.version == snapshot.version
        if not is_offered or session.name not in self.pacer.slots:
            self.offer(now_ms, session)
        elif fetch.first >= len(snapshot.pages) or not fetch.count:
            self.source.counts["malformed"] += 1
        else:
            self.pacer.admit(now_ms, session.name)
            self.pacer.request(session.name, snapshot, fetch.first, fetch.count)

    def send_pages(self, now_ms: float) -> None:
        """Sends the pages that may be sent now."""
        if not self.pacer.requests:
            return
        source = self.source
        for receiver, page in self.pacer.take_pages(now_ms):
            session = source.registry.get(receiver)
            page.session = session.session_id
            page.generation = source.generation
            source.send(receiver, page=set_checksum(page, session.audience.view.prefixes))
            source.counts["pages"] += 1

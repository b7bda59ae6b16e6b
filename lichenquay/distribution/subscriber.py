"""Follows one source out of several and keeps what it subscribed to whole, at a version that only rises.

No I/O.
"""

from collections import Counter

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.failback import Failback
from lichenquay.distribution.key_store import Store
from lichenquay.distribution.messages import (
    MOST_MESSAGE,
    MOST_VERSION,
    DigestError,
    GapError,
    is_marked,
    is_time,
)
from lichenquay.distribution.snapshot_fetch import Fetch, makes_sense
from lichenquay.distribution.source_session import Link

INF = float("inf")
MOST_BACKOFF = 6  # Doublings of `report_ms` between two snapshots that a wrong digest costs.
MOST_APPLY = 3  # Doublings of `report_ms` between two tries to put in force what was refused.
LEAVE_AFTER = 2  # Snapshots asked for in vain; then another source is tried.


def nothing(now_ms, line):
    """Told of what happens, does nothing."""


class Subscriber:
    """`apply(now_ms, changed, whole)` puts values in force, or gives a line that says why it can't.

    `changed` is {key: value, or None: gone}, all since what is in force; `whole`: it is all there is.
    `told(now_ms, line)` is told of faults. `coverage()`, where set, is what a relay says of its own
    subscribers; `took(now_ms, entries)`, where set, is called after each step of what is held, with None in
    place of entries: a whole state.
    """

    def __init__(self, name, sources, prefixes, rng, settings, now_ms, apply, told=None):
        """Holds nothing. ValueError where the prefixes are too many for a message."""
        self.name, self.prefixes, self.settings = name, tuple(sorted(set(prefixes))), settings
        self.apply, self.told = apply, told or nothing
        self.coverage = self.took = None
        self.outbox, self.counts = [], Counter()
        self.link = Link(sources, rng, settings, now_ms)
        self.failback = Failback(sources, rng, settings)
        self.generation, self.held, self.fetch = 0, Store(), None
        self.values, self.in_force = {}, 0
        self.newest, self.newest_ms, self.confirmed_ms = 0, -INF, -INF
        self._behind, self._behind_whole = set(), False  # What is held and not in force.
        self._apply_ms, self._refusals = INF, 0  # When to try again, and refusals in a row.
        self._want_whole, self._whole_ms, self._attempts = False, -INF, 0
        self._stopped = False
        self._check_prefixes()

    def _check_prefixes(self):
        longest = pb.Follow(prefixes=self.prefixes).ByteSize() + 160
        if not self.prefixes or len(self.prefixes) > self.settings.most_prefixes or longest > MOST_MESSAGE:
            raise ValueError(f"{len(self.prefixes)} prefixes do not fit into a subscription")

    # What is known here.

    @property
    def version(self):
        """Held, whole."""
        return self.held.version

    @property
    def digest(self):
        """Of what is held."""
        return self.held.digest

    @property
    def source(self):
        """The name of the one that is followed."""
        return self.link.source

    def age_ms(self, now_ms):
        """Since what is held was confirmed to be the newest, by the own clock, at most; inf: never."""
        return now_ms - self.confirmed_ms

    def stale(self, now_ms):
        """Whether what is held may be old."""
        return self.age_ms(now_ms) > self.settings.stale_ms

    # What the host calls.

    @property
    def due_ms(self):
        """When `tick` is wanted."""
        if self._stopped:
            return INF
        fetch = self.fetch.due_ms if self.fetch else INF
        link = min(self.link.follow_ms, self.link.leave_ms)
        return min(link, self.failback.due_ms, self._apply_ms, fetch)

    def tick(self, now_ms):
        """What is due: another source, a Follow, pages that are missing."""
        if self._stopped:
            return
        if now_ms >= self.link.leave_ms:
            self._fail_over(now_ms)
        if now_ms >= self.link.follow_ms:
            self._follow(now_ms)
        if now_ms >= self.failback.due_ms:
            self._try_first(now_ms)
        if self.fetch and now_ms >= self.fetch.due_ms:
            self._send(fetch=self.fetch.ask(now_ms))
        if now_ms >= self._apply_ms:
            self._enforce(now_ms)
            self.link.speak_soon(now_ms)

    def stop(self):
        """Says and takes nothing any more; what is in force stays."""
        self._stopped = True
        self.outbox.clear()

    def heard(self, now_ms, sender, message):
        """A source's message; what is not of the present session counts for nothing."""
        kind = message.WhichOneof("kind")
        handle = self._HANDLERS.get(kind)
        if self._stopped:
            return
        if handle is None:
            self.counts["senseless"] += 1
            return
        body = getattr(message, kind)
        if self.failback.is_answer(sender[0], body.session):
            self._first_answered(now_ms, kind, body)
        if sender[0] != self.source or body.session != self.link.session:
            self.counts["stray"] += 1
            return
        if kind not in ("delta", "offer", "page") or self._current(body):
            handle(self, now_ms, body)

    def _current(self, body):
        """Whether a message's fields belong together, and its generation is none of the past."""
        if not is_marked(body, self.prefixes):
            self.counts["senseless"] += 1
            return False
        # Risk: a publisher that lost its lease goes on for a moment, or comes back after a pause.
        if body.generation < self.generation:
            self.counts["old_generation"] += 1
            return False
        self.generation = body.generation
        return True

    # Deltas.

    def _delta(self, now_ms, delta):
        since = getattr(delta, "from")
        sane = since <= delta.to <= delta.newest < MOST_VERSION and is_time(delta.age_ms)
        if not sane or not self._fits(delta.entries, since, delta.to):
            self.counts["senseless"] += 1
            return
        self._useful(now_ms)
        try:
            self._advance(now_ms, since, delta)
        except GapError:
            self.counts["gaps"] += 1
            self.link.speak_soon(now_ms)
        except DigestError as fault:
            self._wrong(now_ms, str(fault))
        else:
            self._confirm(delta)

    def _useful(self, now_ms):
        """The source has something for us: those that were left for it need not count us any more."""
        self.link.alive(now_ms)
        for source, session in self.link.take_former():
            self.outbox.append((source, pb.Message(leave=pb.Leave(session=session))))

    def _fits(self, entries, since, to):
        return all(since < e.version <= to and e.key.startswith(self.prefixes) for e in entries)

    def _advance(self, now_ms, since, delta):
        """Takes what is newer than what is held, whole.

        Raises GapError, DigestError; then nothing is taken.
        """
        if since > self.version:
            raise GapError
        if delta.to < self.version:
            self.counts["old_version"] += 1
            return
        fresh = [entry for entry in delta.entries if entry.version > self.version]
        if self.held.digest_after(fresh) != delta.digest:
            raise DigestError(f"changes up to version {delta.to} with a wrong digest")
        self._want_whole = False
        if delta.to > self.version:
            self._take(now_ms, delta.to, fresh)
        if self.fetch is not None and self.fetch.version <= self.version:
            self.fetch = None

    def _take(self, now_ms, version, fresh):
        self.held.apply(version, fresh)
        if fresh:
            self.counts["deltas"] += 1
            self._attempts = 0
        self._behind.update(entry.key for entry in fresh)
        self._step(now_ms, fresh)
        if fresh:
            self._follow(now_ms)

    def _confirm(self, delta):
        sent_ms = self.link.sent.get(delta.follow)
        if sent_ms is None:
            return
        # Risk: a message on its way for an hour must not make an old version look new. So the age counts
        # from the sending of the Follow that came before it.
        at_ms = sent_ms - delta.age_ms
        if delta.newest >= self.newest:
            before = self.newest_ms if delta.newest == self.newest else -INF
            self.newest, self.newest_ms = delta.newest, max(before, at_ms)
        if self.version == delta.newest:
            self.confirmed_ms = max(self.confirmed_ms, at_ms)

    def _step(self, now_ms, entries):
        """What is held has changed: puts it in force, tells a relay's source."""
        # What was refused is not tried again for a version without news, but after its delay.
        if entries or entries is None or not (self._behind or self._behind_whole):
            self._enforce(now_ms)
        if self.took is not None:
            self.took(now_ms, entries)

    def _enforce(self, now_ms):
        if self._behind or self._behind_whole:
            whole, held = self._behind_whole, self.held.entries
            keys = held if whole else self._behind
            changed = {key: held[key][0] if key in held else None for key in keys}
            if (fault := self.apply(now_ms, changed, whole)) is not None:
                self._refused(now_ms, fault)
                return
            self._put_in_force(changed, whole)
        self.in_force, self._apply_ms, self._refusals = self.version, INF, 0

    def _refused(self, now_ms, fault):
        """The last good version stays in force. It is tried again, ever later, as the cause may pass."""
        self.counts["refused"] += 1
        if not self._refusals:
            self.told(now_ms, f"version {self.version} is not in force, {self.in_force} is: {fault}")
        self._apply_ms = now_ms + self.settings.report_ms * 2 ** min(self._refusals, MOST_APPLY)
        self._refusals += 1

    def _put_in_force(self, changed, whole):
        if whole:
            self.values = dict(changed)
        else:
            for key, value in changed.items():
                if value is None:
                    self.values.pop(key, None)
                else:
                    self.values[key] = value
        self._behind, self._behind_whole = set(), False

    # Snapshots.

    def _offer(self, now_ms, offer):
        if offer.version >= MOST_VERSION or not makes_sense(offer, self.settings):
            self.counts["senseless"] += 1
            return
        self._useful(now_ms)
        if self.fetch is not None and self.fetch.continues(offer):
            return
        if not self._welcome(offer):
            self.counts["old_version"] += 1
            return
        self.fetch = Fetch(offer, self.settings, now_ms)
        self._fetch_on(now_ms)

    def _welcome(self, offer):
        """Whether it leads on from what is held. Never back: then it waits, or goes to another source."""
        if offer.version == self.version:
            return self._want_whole or offer.digest != self.digest
        return offer.version > self.version

    def _page(self, now_ms, page):
        if self.fetch is None:
            self.counts["stray"] += 1
            return
        self.link.progress(now_ms)
        try:
            if self.fetch.take(now_ms, page):
                self._fetch_on(now_ms)
        except DigestError as fault:
            self.fetch = None
            self._wrong(now_ms, str(fault))

    def _fetch_on(self, now_ms):
        if self.fetch.complete:
            fetch, self.fetch = self.fetch, None
            self._swap(now_ms, fetch)
        elif self.fetch.wants_more or not self.fetch.asked_end:
            self._send(fetch=self.fetch.ask(now_ms))

    def _swap(self, now_ms, fetch):
        try:
            state = fetch.whole()
        except DigestError as fault:
            self._wrong(now_ms, str(fault))
            return
        # Risk: changes that came meanwhile would be taken back.
        if state.version < self.version:
            self.counts["old_version"] += 1
            return
        if not all(key.startswith(self.prefixes) for key in state.entries):
            self.counts["senseless"] += 1
            return
        self.counts["snapshots"] += 1
        self.held, self._want_whole, self._behind_whole = state, False, True
        self._step(now_ms, None)
        self._follow(now_ms)

    def _wrong(self, now_ms, line):
        """A wrong digest costs a snapshot, ever later while it goes on; one line for all of that."""
        self.counts["digest_wrong"] += 1
        if self._want_whole:
            return
        if not self._attempts:
            self.told(now_ms, f"{line} from {self.source}")
        self._want_whole = True
        self.link.follow_ms = min(self.link.follow_ms, max(now_ms, self._whole_ms))

    # Messages.

    def _wait(self, now_ms, wait):
        if not is_time(wait.wait_ms):
            self.counts["senseless"] += 1
            return
        self.link.wait(now_ms, wait.wait_ms)

    def _unknown(self, now_ms, unknown):
        self.fetch = None
        self.link.unknown(now_ms)

    def _not_leader(self, now_ms, answer):
        self.counts["redirects"] += 1
        self.fetch = None
        self.link.redirect(now_ms, answer.leader if answer.generation >= self.generation else "")
        self.failback.cancel()  # Whom to follow is told: no order of preference counts.

    def _fail_over(self, now_ms):
        self.counts["failovers"] += 1
        self.fetch = None
        self.link.next_source(now_ms)
        self.failback.moved(now_ms, self.source)

    def _try_first(self, now_ms):
        trial = self.failback.tick(now_ms)
        if trial is not None:
            self.outbox.append((trial.source, pb.Message(follow=self._follow_in(now_ms, trial))))

    def _first_answered(self, now_ms, kind, body):
        """What the preferred source answered: it is followed again if it has something for us."""
        if kind == "not_leader":
            self.failback.cancel()
        elif kind not in ("delta", "offer"):
            self.failback.in_vain(now_ms)
        elif self._current(body):
            self.counts["failbacks"] += 1
            self.fetch, self.link = None, self.failback.done(now_ms, self.link)

    def _follow(self, now_ms):
        whole = self._asks_whole(now_ms)
        self._send(follow=self._follow_in(now_ms, self.link, whole))

    def _follow_in(self, now_ms, link, whole=False):
        follow = link.follow(now_ms, self.prefixes)
        follow.generation, follow.version, follow.digest = self.generation, self.version, self.digest
        follow.in_force, follow.whole = self.in_force, whole
        if self.coverage is not None:
            follow.below.CopyFrom(self.coverage())
        return follow

    def _asks_whole(self, now_ms):
        if not self._want_whole or self.fetch is not None:
            return self._want_whole
        if now_ms < self._whole_ms:
            return False
        self._attempts += 1
        if self._attempts > LEAVE_AFTER and len(self.link.sources) > 1:
            self._fail_over(now_ms)
        delay_ms = self.settings.report_ms * 2 ** min(self._attempts, MOST_BACKOFF)
        self._whole_ms = now_ms + delay_ms
        return True

    def _send(self, **kind):
        self.outbox.append((self.source, pb.Message(**kind)))

    _HANDLERS = {
        "delta": _delta,
        "offer": _offer,
        "page": _page,
        "wait": _wait,
        "unknown": _unknown,
        "not_leader": _not_leader,
    }

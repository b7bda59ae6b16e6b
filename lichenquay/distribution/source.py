"""Serves subscribers: changes at once, snapshots paced, by sessions that expire. No I/O.

A session holds no queue, only which version its subscriber holds and whether a delta is unanswered: what it
lacks is built from the view that all sessions with the same prefixes share. So a slow subscriber costs
nobody anything; it resumes by the version in its next Follow.
"""

import heapq
from collections import Counter, OrderedDict
from itertools import count

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.coverage import Census, share_of
from lichenquay.distribution.history import History
from lichenquay.distribution.key_store import Store
from lichenquay.distribution.messages import MOST_KEY, MOST_VERSION, marked, size_of
from lichenquay.distribution.pacing import PAGE_OVERHEAD, Pacer, Snapshot

INF = float("inf")
MOST_AGE_MS = 1e12  # Said where nothing was confirmed.
MOST_NUMBERS = 1 << 16  # Follows that may be lost between two that are heard.


class Session:
    """One subscription of one subscriber."""

    def __init__(self, sender, follow, audience):
        """Of a Follow that brings its prefixes."""
        self.name, self.incarnation = sender
        self.id, self.audience = follow.session, audience
        self.number, self.heard_ms = 0, 0.0  # Of its last Follow.
        self.version, self.in_force = 0, 0  # By its last Follow, as far as it is believed.
        self.share = None
        self.awaited = False  # A delta with entries is not answered.
        self.sends = self.tries = 0  # Deltas sent; those in a row that were not answered.


class Audience:
    """All sessions with the same prefixes; `ready` are those that a change is pushed to."""

    def __init__(self, view):
        """Nobody yet."""
        self.view, self.sessions, self.ready = view, {}, {}
        self.snapshot, self.made_ms = None, -INF


class Source:
    """`sender` is (name, incarnation) as the envelope said; `outbox` is [(name, message)]."""

    def __init__(self, name, rng, settings, now_ms, generation=0):
        """Holds nothing, and tells subscribers to wait, until `reset`, `advance` or `confirm`."""
        self.name, self.rng, self.settings = name, rng, settings
        self.outbox, self.counts = [], Counter()
        self._order = count()
        self._begin(now_ms, Store(), generation)
        self.open, self.confirmed_ms = False, -INF

    def _begin(self, now_ms, store, generation):
        self.history = History(store, self.settings)
        self.generation, self.newest = generation, store.version
        self.sessions, self.audiences = OrderedDict(), {}
        self.census, self.pacer = Census(self.settings), Pacer(self.settings, now_ms)
        self._retries, self._dirty = [], {}
        self._push_ms, self._pushed_ms = INF, -INF

    # What the one that feeds it tells.

    @property
    def version(self):
        """The version that it serves."""
        return self.history.store.version

    def reset(self, now_ms, store, generation):
        """Goes on from another state, which is its own from now on; sessions begin anew."""
        self._begin(now_ms, store, generation)
        self.open, self.confirmed_ms = True, -INF
        self.counts["resets"] += 1

    def advance(self, now_ms, generation, version, entries, confirmed_ms):
        """The next change. `confirmed_ms`: when the publisher confirmed `version`, by the clock of `now_ms`.

        False: of an older generation, or not after what is held; nothing is taken.
        """
        if generation < self.generation or version <= self.version:
            self.counts["old_generation" if generation < self.generation else "old_version"] += 1
            return False
        for view in self.history.add(version, entries):
            self._dirty[view.prefixes] = self.audiences[view.prefixes]
        self.confirm(now_ms, generation, version, now_ms - confirmed_ms)
        self._push_ms = min(self._push_ms, max(now_ms, self._pushed_ms + self.settings.merge_ms))
        if now_ms >= self._push_ms:
            self._push(now_ms)
        return True

    def confirm(self, now_ms, generation, newest, age_ms):
        """`newest` was the newest version `age_ms` ago. False: said by an older generation."""
        if generation < self.generation:
            self.counts["old_generation"] += 1
            return False
        self.open, self.generation = True, generation
        if newest > self.newest:
            self.newest, self.confirmed_ms = newest, now_ms - age_ms
        elif newest == self.newest:
            self.confirmed_ms = max(self.confirmed_ms, now_ms - age_ms)
        return True

    def coverage(self, now_ms):
        """What its subscribers have in force."""
        return self.census.coverage(self.version)

    # What the host calls.

    @property
    def due_ms(self):
        """When `tick` is wanted."""
        due = min(self._push_ms, self.pacer.due_ms, self.census.due_ms)
        if self.sessions:
            due = min(due, next(iter(self.sessions.values())).heard_ms + self.settings.expire_ms)
        return min(due, self._retries[0][0]) if self._retries else due

    def tick(self, now_ms):
        """What is due: a push of merged changes, retries, pages, sessions that expire."""
        if now_ms >= self._push_ms:
            self._push(now_ms)
        while self._retries and now_ms >= self._retries[0][0]:
            self._retry(now_ms, *heapq.heappop(self._retries)[2:])
        while self.sessions:
            oldest = next(iter(self.sessions.values()))
            if now_ms < oldest.heard_ms + self.settings.expire_ms:
                break
            self._drop(oldest)
            self.census.lose(now_ms, oldest.name, oldest.share)
            self.counts["expired"] += 1
        self.census.tick(now_ms)
        self._send_pages(now_ms)

    def heard(self, now_ms, sender, message):
        """A Follow, a FetchPages or a Leave."""
        kind = message.WhichOneof("kind")
        if kind == "follow":
            self._follow(now_ms, sender, message.follow)
        elif kind == "fetch":
            self._fetch(now_ms, sender, message.fetch)
        elif kind == "leave":
            self._leave(sender, message.leave)
        else:
            self.counts["senseless"] += 1
        self._send_pages(now_ms)

    # Sessions.

    def _follow(self, now_ms, sender, follow):
        if follow.version >= MOST_VERSION or follow.in_force > follow.version or not follow.session:
            self.counts["senseless"] += 1
            return
        session = self.sessions.get(sender[0])
        if session is not None and sender[1] < session.incarnation:
            self.counts["late"] += 1
            return
        if not self._same(session, sender, follow):
            session = self._admit(now_ms, sender, follow)
        if session is not None and self._take(now_ms, session, follow):
            self._answer(now_ms, session, follow)

    def _same(self, session, sender, follow):
        if session is None or (session.id, session.incarnation) != (follow.session, sender[1]):
            return False
        return not follow.prefixes or _sorted(follow.prefixes) == session.audience.view.prefixes

    def _admit(self, now_ms, sender, follow):
        """A new session; None where there is none, and why is told."""
        if not follow.prefixes:
            self._send(sender[0], unknown=pb.UnknownSession(session=follow.session))
            return None
        prefixes, settings = _sorted(follow.prefixes), self.settings
        if len(prefixes) > settings.most_prefixes or any(len(p) > MOST_KEY for p in prefixes):
            self.counts["senseless"] += 1
            return None
        full = len(self.sessions) >= settings.most_sessions and sender[0] not in self.sessions
        audience = None if full or not self.open else self._audience(prefixes)
        if audience is None:
            self.counts["turned_away"] += 1
            self._wait(sender[0], follow.session)
            return None
        if sender[0] in self.sessions:
            self._drop(self.sessions[sender[0]], audience)
        session = Session(sender, follow, audience)
        self.sessions[session.name] = audience.sessions[session.name] = session
        self.census.find(session.name)
        return session

    def _audience(self, prefixes):
        known = self.audiences.get(prefixes)
        if known is None:
            view = self.history.view(prefixes)
            known = self.audiences[prefixes] = Audience(view) if view else None
            if view is None:
                del self.audiences[prefixes]
        return known

    def _drop(self, session, keep=None):
        """Ends a session; `keep`: an audience that is used on."""
        audience = session.audience
        del self.sessions[session.name], audience.sessions[session.name]
        audience.ready.pop(session.name, None)
        self.pacer.leave(session.name)
        if session.share is not None:
            self.census.remove(session.share)
        if not audience.sessions and audience is not keep:
            self.history.drop(audience.view)
            del self.audiences[audience.view.prefixes]
            self._dirty.pop(audience.view.prefixes, None)

    def _leave(self, sender, leave):
        """It follows another source: here it counts no longer, not as stale either."""
        session = self.sessions.get(sender[0])
        if session is None:
            self.census.find(sender[0])
        elif (session.id, session.incarnation) == (leave.session, sender[1]):
            self._drop(session)

    def _take(self, now_ms, session, follow):
        """What a Follow says, if it is a later one than the last heard and makes sense."""
        known = session.number
        if known and not known < follow.number <= known + MOST_NUMBERS:
            self.counts["late" if follow.number <= known else "senseless"] += 1
            return False
        credible = self._credible(session, follow)
        in_force = min(follow.in_force, self.version) if credible else session.in_force
        share = share_of(follow, in_force)
        if share is None:
            self.counts["senseless"] += 1
            share = session.share or share_of(pb.Follow(version=follow.version), 0)
        if session.share is not None:
            self.census.remove(session.share)
        self.census.add(share)
        session.share, session.in_force = share, in_force
        session.number, session.heard_ms = follow.number, now_ms
        session.version, session.awaited, session.tries = follow.version, False, 0
        self.sessions.move_to_end(session.name)
        return True

    def _credible(self, session, follow):
        """Whether its digest is the one of the version that it says to hold, as far as that is known here."""
        known = session.audience.view.digest_at(follow.version) if follow.version <= self.version else None
        if known is not None and known != follow.digest:
            self.counts["digest_wrong"] += 1
            return False
        return True

    def _answer(self, now_ms, session, follow):
        if session.version > self.version:
            # It held on to a better source before, or lies. It does not go back.
            self.counts["ahead"] += 1
            session.audience.ready.pop(session.name, None)
            self._wait(session.name, session.id)
            return
        known = session.audience.view.digest_at(session.version)
        wrong = known is not None and known != follow.digest
        if follow.whole or wrong or self._far_behind(session):
            session.audience.ready.pop(session.name, None)
            self._offer(now_ms, session)
            return
        self.pacer.leave(session.name)
        self._send_delta(now_ms, session)

    def _far_behind(self, session):
        """Whether its way is a snapshot, which is paced."""
        if session.version < self.history.floor:
            return True
        # Risk: all that start at once would be sent the whole history in deltas, which are not paced.
        many = self.settings.window_pages * self.settings.delta_bytes
        return session.version == 0 and session.audience.view.bytes > many

    # Deltas.

    def _push(self, now_ms):
        """To each session that is up to date and that the changes concern, one delta."""
        self._push_ms, self._pushed_ms = INF, now_ms
        dirty, self._dirty = self._dirty, {}
        for audience in dirty.values():
            for session in list(audience.ready.values()):
                self._send_delta(now_ms, session)

    def _send_delta(self, now_ms, session):
        audience, settings = session.audience, self.settings
        if session.version < self.history.floor:
            # Risk: a part of what it lacks is forgotten here. Its next Follow gets a snapshot.
            audience.ready.pop(session.name, None)
            return
        part = audience.view.delta(session.version, self.version, settings.delta_bytes)
        fields = {"from": session.version, "to": part.version, "digest": part.digest}
        delta = pb.Delta(
            session=session.id,
            generation=self.generation,
            entries=part.entries,
            age_ms=min(MOST_AGE_MS, max(0.0, now_ms - self.confirmed_ms)),
            newest=self.newest,
            follow=session.number,
            **fields,
        )
        self._send(session.name, delta=marked(delta, audience.view.prefixes))
        session.awaited = bool(part.entries)
        if not session.awaited:
            audience.ready[session.name] = session
            return
        audience.ready.pop(session.name, None)
        self._overdraw(now_ms, part.entries)
        session.sends += 1
        delay_ms = min(settings.report_ms, settings.retry_ms * 2**session.tries)
        retry = now_ms + delay_ms, next(self._order), session.name, session.id, session.sends
        heapq.heappush(self._retries, retry)

    def _overdraw(self, now_ms, entries):
        self.pacer.bucket.fill(now_ms)
        self.pacer.bucket.take(sum(map(size_of, entries)) + PAGE_OVERHEAD)

    def _retry(self, now_ms, name, session_id, sends):
        session = self.sessions.get(name)
        if session is None or not session.awaited or (session.id, session.sends) != (session_id, sends):
            return
        session.tries += 1
        self.counts["retries"] += 1
        self._send_delta(now_ms, session)

    # Snapshots.

    def _offer(self, now_ms, session):
        snapshot = self._snapshot(now_ms, session) if self.pacer.admit(now_ms, session.name) else None
        if snapshot is None:
            self.counts["paced"] += 1
            self._wait(session.name, session.id)
            return
        self.counts["offers"] += 1
        offer = pb.SnapshotOffer(
            session=session.id,
            generation=self.generation,
            version=snapshot.version,
            digest=snapshot.digest,
            pages=len(snapshot.pages),
            bytes=snapshot.bytes,
        )
        self._send(session.name, offer=marked(offer, session.audience.view.prefixes))

    def _snapshot(self, now_ms, session):
        """The one that all of its audience fetch, made anew when it is too old and nobody is at it."""
        audience, made = session.audience, session.audience.snapshot
        if made is not None and made.version >= max(session.version, self.history.floor):
            others = any(n in audience.sessions and n != session.name for n in self.pacer.slots)
            near = self.version - made.version <= self.settings.most_changes // 2
            if made.version == self.version or others and near:
                return made
            if now_ms < audience.made_ms + self.settings.report_ms:
                return made
        audience.made_ms = now_ms
        audience.snapshot = Snapshot(audience.view, self.history.store, self.settings)
        return audience.snapshot

    def _fetch(self, now_ms, sender, fetch):
        session = self.sessions.get(sender[0])
        if session is None or (session.id, session.incarnation) != (fetch.session, sender[1]):
            self._send(sender[0], unknown=pb.UnknownSession(session=fetch.session))
            return
        session.heard_ms = now_ms
        self.sessions.move_to_end(session.name)
        snapshot = session.audience.snapshot
        fits = snapshot is not None and fetch.version == snapshot.version and session.name in self.pacer.slots
        if not fits:
            self._offer(now_ms, session)
        elif fetch.first >= len(snapshot.pages) or not fetch.count:
            self.counts["senseless"] += 1
        else:
            self.pacer.admit(now_ms, session.name)
            self.pacer.want(session.name, snapshot, fetch.first, fetch.count)

    def _send_pages(self, now_ms):
        if not self.pacer.wanted:
            return
        for name, page in self.pacer.pages(now_ms):
            session = self.sessions[name]
            page.session, page.generation = session.id, self.generation
            self._send(name, page=marked(page, session.audience.view.prefixes))
            self.counts["pages"] += 1

    # Messages.

    def _wait(self, name, session_id):
        wait_ms = self.rng.uniform(self.settings.retry_ms, 2 * self.settings.report_ms)
        self._send(name, wait=pb.Wait(session=session_id, wait_ms=wait_ms))

    def _send(self, name, **kind):
        self.outbox.append((name, pb.Message(**kind)))


def _sorted(prefixes):
    return tuple(sorted(set(prefixes)))

"""Takes proposals and publishes what a majority of the voters has recorded, while it holds the lease. No I/O.

The host hands the group its messages and the disk's answers, and empties both outboxes after each call of
either: what is recorded there is published here.
"""

from functools import partial

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import Store
from lichenquay.distribution.record_log import MOST_RECORDS, Requests, change_of, fold, record_of
from lichenquay.distribution.source import Source
from lichenquay.distribution.validation import fault_of
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.settings import LeaseSettings

GROUP = "distribution"
PUBLISHED = {"delta", "offer", "page"}  # Messages that say what is accepted.
MOST_PENDING = 256  # Proposals under way; one more is refused.
FETCH_WINDOW = 32  # Pieces of a state that a voter asks for at once: it has to come within a lease.
MOST_REASON = 200  # Characters of an answer.


class Proposal:
    """A change on its way to a majority."""

    def __init__(self, version, entries, request, done):
        """`done` is of whoever asked last."""
        self.version, self.entries, self.request, self.done = version, entries, request, done


class Publisher:
    """One voter's part. `check(entries, store, settings)` gives a line against a change, or None."""

    fold = staticmethod(fold)

    def __init__(self, name, group, rng, settings, now_ms, check=fault_of):
        """`group` may be set later (see `make`)."""
        self.name, self.group, self.settings, self.check = name, group, settings, check
        self.outbox = []
        self.source = Source(name, rng, settings, now_ms)
        self._ahead, self._requests = Store(), Requests()  # With what is under way.
        self._pending = {}  # {version: Proposal}, in order

    # Proposals.

    @property
    def ahead(self):
        """The state once all that is under way is made; to be read only."""
        return self._ahead

    def propose(self, now_ms, entries, request, done):
        """Takes a change; done(now_ms, pb.Proposed) comes once, at once or later.

        A repeat of a request gets the same version again.
        """
        if not self.group.holds(now_ms):
            done(now_ms, pb.Proposed(request=request, outcome=pb.Proposed.UNKNOWN, reason="not the leader"))
            return
        version = self._requests.version_of(request)
        if version in self._pending:
            self._repeat(now_ms, self._pending[version], done)
        elif version is not None:
            done(now_ms, _accepted(request, version))
        else:
            self._propose(now_ms, list(entries), request, done)
        self._publish(now_ms)

    def _repeat(self, now_ms, proposal, done):
        """Whoever asks again is answered; who asked before is told to."""
        before, proposal.done = proposal.done, done
        before(now_ms, pb.Proposed(request=proposal.request, reason="asked again since"))

    def _propose(self, now_ms, entries, request, done):
        fault = self._fault(entries, request)
        if fault is not None:
            done(now_ms, _refused(request, fault))
            return
        version, record = self._ahead.version + 1, record_of(entries, request)
        proposal = Proposal(version, change_of(record, version).entries, request, done)
        self._pending[version] = proposal
        self._ahead.apply(version, proposal.entries)
        self._requests.add(request, version)
        self.group.append(now_ms, record, partial(self._written, proposal))

    def _fault(self, entries, request):
        if not request:
            return "a proposal without a request number"
        if len(self._pending) >= MOST_PENDING:
            return f"{MOST_PENDING} changes are under way"
        return self.check(entries, self._ahead, self.settings)

    def _written(self, proposal, now_ms, ok):
        """The group's word for a record."""
        self._pending.pop(proposal.version, None)
        if ok:
            self.source.advance(
                now_ms, self.group.generation, proposal.version, proposal.entries, confirmed_ms=now_ms
            )
            proposal.done(now_ms, _accepted(proposal.request, proposal.version))
        elif ok is None:
            reason = "in doubt: the lease was lost meanwhile"
            proposal.done(now_ms, pb.Proposed(request=proposal.request, reason=reason))
        else:
            # Not taken: what is ahead is as if it had never been.
            if self.group.state is not None:
                self._load()
            proposal.done(now_ms, _refused(proposal.request, "the group cannot take it now"))
        self._publish(now_ms)

    # The group's lease.

    def told(self, now_ms, what):
        """The group's word: 'holds' or 'lost'."""
        if what == "holds":
            store, changes = self._load()
            self.source.reset(now_ms, store, self.group.generation)
            for change in changes:
                version = store.version + 1
                self.source.advance(now_ms, self.group.generation, version, change.entries, now_ms)
            self._confirm(now_ms)
        else:
            # Risk: what was about to go out would be of a lease that is over.
            self.source.outbox.clear()
            self.outbox[:] = [to for to in self.outbox if to[1].WhichOneof("kind") not in PUBLISHED]

    def _load(self):
        """(store of the group's base, changes after it); what is ahead stands after them."""
        base, records = self.group.state
        state = pb.State.FromString(base)
        changes = [change_of(record, version) for version, record in enumerate(records, state.version + 1)]
        self._ahead, self._requests = Store.of_state(state), Requests(state.version, state.requests)
        for version, change in enumerate(changes, state.version + 1):
            self._ahead.apply(version, change.entries)
            self._requests.add(change.request, version)
        return Store.of_state(state), changes

    # What the host calls.

    @property
    def due_ms(self):
        """When `tick` is wanted."""
        return self.source.due_ms if self.group.generation else float("inf")

    def tick(self, now_ms):
        """What is due of the source, if the lease is held."""
        if self.group.holds(now_ms):
            self._confirm(now_ms)
            self.source.tick(now_ms)
        self._publish(now_ms)

    def heard(self, now_ms, sender, message):
        """From a relay or a client."""
        kind = message.WhichOneof("kind")
        if kind not in ("propose", "status_request", "follow", "fetch", "leave"):
            self.source.counts["senseless"] += 1
        elif not self.group.holds(now_ms):
            self._redirect(sender[0], getattr(message, kind))
        else:
            self._serve(now_ms, sender, kind, message)
        self._publish(now_ms)

    def _redirect(self, name, body):
        session = body.request if hasattr(body, "request") else body.session
        leader, generation = self.group.holder
        leader = leader if leader != self.name else ""
        answer = pb.NotLeader(session=session, leader=leader or "", generation=generation)
        self.outbox.append((name, pb.Message(not_leader=answer)))

    def _serve(self, now_ms, sender, kind, message):
        if kind == "propose":
            entries, request = message.propose.entries, message.propose.request
            self.propose(now_ms, entries, request, partial(self._answer, sender[0]))
        elif kind == "status_request":
            status = self.status(now_ms)
            status.request = message.status_request.request
            self.outbox.append((sender[0], pb.Message(status=status)))
        else:
            self._confirm(now_ms)
            self.source.heard(now_ms, sender, message)

    def _confirm(self, now_ms):
        """While the lease is held nobody else accepts a change: what is held is the newest now."""
        self.source.confirm(now_ms, self.group.generation, self.source.version, 0.0)

    def _answer(self, name, now_ms, proposed):
        self.outbox.append((name, pb.Message(proposed=proposed)))
        self._publish(now_ms)

    def _publish(self, now_ms):
        """What the source has to say goes out only while the lease is held."""
        # Risk: a pause since the last look. What went out nevertheless carries the generation.
        said, self.source.outbox[:] = list(self.source.outbox), []
        if self.group.holds(now_ms):
            self.outbox.extend(said)

    def status(self, now_ms):
        """What is accepted, and what is in force where."""
        coverage, store = self.source.coverage(now_ms), self.source.history.store
        return pb.Status(
            generation=self.group.generation,
            newest=store.version,
            in_force=coverage.oldest,
            subscribers=coverage.subscribers,
            refused=coverage.refused,
            stale=coverage.stale,
            keys=len(store.entries),
            bytes=store.bytes,
            digest=store.digest,
        )


def _accepted(request, version):
    return pb.Proposed(request=request, outcome=pb.Proposed.ACCEPTED, version=version)


def _refused(request, reason):
    return pb.Proposed(request=request, outcome=pb.Proposed.REFUSED, reason=reason[:MOST_REASON])


def group_settings(settings, lease_ms=3000.0):
    """Settings of the group of voters that fit those of distribution."""
    return LeaseSettings(
        lease_ms=lease_ms,
        heartbeat_ms=lease_ms / 6,
        retry_ms=lease_ms / 20,
        backoff_ms=lease_ms / 10,
        max_records=MOST_RECORDS,
        max_state_bytes=2 * settings.most_state_bytes,
        max_pending_records=MOST_PENDING,
        chunk_window=FETCH_WINDOW,
    )


def make(name, incarnation, voters, rng, lease_settings, settings, now_ms, kept, fresh=False, check=fault_of):
    """(group, publisher) of one voter. The host calls `group.set_candidate` to have it acquire the lease."""
    publisher = Publisher(name, None, rng, settings, now_ms, check)
    publisher.group = LeaseGroup(
        GROUP,
        name,
        incarnation,
        voters,
        rng,
        lease_settings,
        now_ms,
        kept,
        is_new_disk=fresh,
        fold=fold,
        on_lease_event=publisher.told,
    )
    return publisher.group, publisher

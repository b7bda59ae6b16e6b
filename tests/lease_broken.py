"""Rules of `lichenquay/lease` broken on purpose, one at a time: what the methods of proof have to find."""

from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.leadership import Leadership
from lichenquay.lease.messages import AppendReply
from lichenquay.lease.phases import LeaseEvent, Phase
from lichenquay.lease.voter import Voter

BROKEN = {}


def rule(*patches):
    """patches: (class, method name, maker of the new method from the old)."""

    def named(name):
        @contextmanager
        def broken():
            with ExitStack() as stack:
                for patched_class, method, make in patches:
                    new = make(getattr(patched_class, method))
                    if not isinstance(new, property):
                        new.__name__ = method  # or its bound methods could not be pickled
                    stack.enter_context(patch.object(patched_class, method, new))
                yield

        BROKEN[name] = broken

    return named


def then(after):
    """The method as it is, and `after(self, now_ms, ...)` behind it."""

    def made(old):
        def new(self, *args, **more):
            result = old(self, *args, **more)
            after(self, *args, **more)
            return result

        return new

    return made


def always(value):
    """A method that gives one value."""
    return lambda old: lambda self, *args: value


def of_any_generation(old):
    """A reply also to a request of a generation that is not promised."""

    def new(self, now_ms):
        append = self.last_append
        reply = AppendReply(append.generation, append.number, append.token, self.log.position)
        self.send(append.leader, reply)

    return new


def no_wait_at_start(self, rng, settings, now_ms, *more):
    """A voter that grants at once after its start."""
    self.no_grants_until_ms = now_ms


def no_wait_after_answer(self, now_ms):
    """A voter that grants at once after it supported a lease."""
    self.no_grants_until_ms = now_ms


def without_promise(old):
    """Writes all sections but the promise."""
    return lambda self, changes: old(self, {k: v for k, v in changes.items() if k != "promise"})


def before_disk(old):
    """Takes every write for done."""

    def new(self, write):
        old(self, write)
        self.on_stored(self.now_ms, True)

    return new


def knows_time(old):
    """Remembers the time of the call."""

    def new(self, now_ms, sender, kind, body):
        self.now_ms = now_ms
        old(self, now_ms, sender, kind, body)

    return new


def replicating_voter(self, sender):
    """The progress of a voter, while this process replicates or holds."""
    return self.quorum.voters.get(sender.name) if self.phase in (Phase.REPLICATING, Phase.HOLDING) else None


def from_answer(self, now_ms, sender, reply):
    """Counts the support of a voter from its reply on."""
    voter = replicating_voter(self, sender)
    if voter and voter.replied_number == reply.number:
        voter.supports_since_ms = now_ms


def any_append(self, now_ms, sender, reply):
    """Takes any reply for one to the latest append request."""
    voter = replicating_voter(self, sender)
    if voter and voter.sent_appends and voter.replied_number:
        voter.supports_since_ms = next(reversed(voter.sent_appends.values())).sent_ms


def first_grant(old):
    """Takes the log of the first voter that granted, not the newest."""

    def new(self, now_ms, name):
        voters = self.quorum.voters.items()
        old(self, now_ms, next(name for name, voter in voters if voter.position is not None))

    return new


def committed_at_one(old):
    """Takes what one voter has for what a majority has."""

    def new(self, now_ms):
        if self.phase is Phase.HOLDING:
            for voter in self.quorum.voters.values():
                voter.match_index = max(v.match_index for v in self.quorum.voters.values())
        old(self, now_ms)

    return new


def with_gap(old):
    """Appends records wherever they belong."""

    def new(self, request):
        log = self.log.copy()
        log.generation = request.after.generation
        for record in request.records:
            log.append(record)
        return log

    return new


def numbers_only(old):
    """A voter that counts records, not what they are."""
    return lambda self, before: before.index <= self.log.index


def acts_at_once(old):
    """Holds before a majority has the log."""

    def new(self, now_ms):
        if self.phase is Phase.REPLICATING and now_ms < self.expires_ms:
            self.phase = Phase.HOLDING
            self.failed_acquisitions = 0
            self.on_event(now_ms, LeaseEvent.HOLDS)
        old(self, now_ms)

    return new


def always_new_disk(old):
    """A voter that takes a lost folder for a new one."""

    def new(self, rng, settings, now_ms, sections, is_new_disk, *more):
        old(self, rng, settings, now_ms, sections, True, *more)

    return new


def releases_early(old):
    """Announces the release before the pending records are committed."""

    def new(self, now_ms):
        if self.phase is Phase.HOLDING:
            self.release_notifier.start(now_ms, self.generation, self.log.index, notices=1)
        old(self, now_ms)

    return new


# Tried too, and found by nothing in the short form, as other rules cover for them or the case is rare:
# half a log labelled with the new generation, append requests answered while a promise is written, grants
# of another acquisition, any release notice taken for the holder's.
rule((Voter, "_is_outdated", always(False)), (Voter, "_reply_to_append", of_any_generation))(
    "no fence by generation"
)
rule((Voter, "__init__", then(no_wait_at_start)))("no wait after the voter's own start")
rule((Voter, "_reply_to_append", then(no_wait_after_answer)))("no wait after a reply to the holder")
rule((LeaseGroup, "_request_store", without_promise))("a promise not stored")
rule(
    (Voter, "_write", before_disk),
    (Voter, "handle", knows_time),
    (
        Voter,
        "on_stored",
        lambda old: lambda self, now_ms, is_stored: old(self, now_ms, is_stored) if self.is_writing else None,
    ),
)("replies before the disk did")
rule((Leadership, "on_append_reply", then(from_answer)))("the lease counted from the reply")
rule((Leadership, "on_append_reply", then(any_append)))(
    "a reply to an old append request counted for the latest"
)
rule((Leadership, "_take_log_of", first_grant))("the log of the first grant taken")
rule((Leadership, "_commit", committed_at_one))("a record committed by one voter")
rule((Voter, "_matches", numbers_only), (Voter, "_with_records", with_gap))("a gap accepted")
rule((Voter, "_is_newer", always(True)))("an old offer taken")
rule((Leadership, "_commit", acts_at_once))("acts before a majority has the log")
rule((Voter, "__init__", always_new_disk))("a voter without its folder votes")
rule((Leadership, "release", releases_early))("a release announced before the last record is committed")

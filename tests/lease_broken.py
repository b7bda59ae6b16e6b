"""Faults injected into `lichenquay/lease`, each breaking one rule, that the tests of faults must detect."""

from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.leadership import Leadership
from lichenquay.lease.messages import AppendReply
from lichenquay.lease.phases import LeaseEvent, Phase
from lichenquay.lease.voter import Voter

BROKEN = {}  # context managers that break a rule, by its description


def broken_rule(*patches):
    """Returns a function that registers a fault under a description.

    `patches`: (class, method name, function from the old method to the new one).
    """

    def register(name):
        @contextmanager
        def broken():
            with ExitStack() as stack:
                for patched_class, method, make in patches:
                    new = make(getattr(patched_class, method))
                    if not isinstance(new, property):
                        new.__name__ = method  # needed to pickle its bound methods
                    stack.enter_context(patch.object(patched_class, method, new))
                yield

        BROKEN[name] = broken

    return register


def call_after(after):
    """Returns a patch that calls `after(self, now_ms, ...)` after the unchanged method."""

    def patch_method(old):
        def new(self, *args, **more):
            result = old(self, *args, **more)
            after(self, *args, **more)
            return result

        return new

    return patch_method


def always_return(value):
    """Returns a patch by which the method returns one value."""
    return lambda old: lambda self, *args: value


def reply_to_any_generation(old):
    """Replies also to a request of a generation that is not promised."""

    def new(self, now_ms):
        append = self.last_append
        reply = AppendReply(append.generation, append.number, append.echo_token, self.log.position)
        self.send(append.leader, reply)

    return new


def no_wait_at_start(self, rng, settings, now_ms, *more):
    """Lets a voter grant immediately after its start."""
    self.no_grants_until_ms = now_ms


def no_wait_after_reply(self, now_ms):
    """Lets a voter grant immediately after it supported a lease."""
    self.no_grants_until_ms = now_ms


def store_without_promise(old):
    """Stores all sections except the promise."""
    return lambda self, changes: old(self, {k: v for k, v in changes.items() if k != "promise"})


def complete_writes_early(old):
    """Reports every write as stored before it is."""

    def new(self, write):
        old(self, write)
        self.on_stored(self.now_ms, True)

    return new


def record_time(old):
    """Records the time of the call."""

    def new(self, now_ms, sender, kind, body):
        self.now_ms = now_ms
        old(self, now_ms, sender, kind, body)

    return new


def replicating_voter(self, sender):
    """Returns the progress of a voter while this process replicates or holds, else None."""
    return self.quorum.voters.get(sender.name) if self.phase in (Phase.REPLICATING, Phase.HOLDING) else None


def support_from_reply(self, now_ms, sender, reply):
    """Counts the support of a voter from the arrival of its reply."""
    voter = replicating_voter(self, sender)
    if voter and voter.replied_number == reply.number:
        voter.supports_since_ms = now_ms


def support_from_latest_append(self, now_ms, sender, reply):
    """Takes any reply for a reply to the latest append request."""
    voter = replicating_voter(self, sender)
    if voter and voter.sent_appends and voter.replied_number:
        voter.supports_since_ms = next(reversed(voter.sent_appends.values())).sent_ms


def adopt_first_log(old):
    """Adopts the log of the first voter that granted, not the newest log."""

    def new(self, now_ms, name):
        voters = self.quorum.voters.items()
        old(self, now_ms, next(name for name, voter in voters if voter.position is not None))

    return new


def commit_at_one_voter(old):
    """Commits what a single voter has."""

    def new(self, now_ms):
        if self.phase is Phase.HOLDING:
            for voter in self.quorum.voters.values():
                voter.match_index = max(v.match_index for v in self.quorum.voters.values())
        old(self, now_ms)

    return new


def append_anywhere(old):
    """Appends records even if they do not follow the end of the log."""

    def new(self, request):
        log = self.log.copy()
        log.generation = request.after.generation
        for record in request.records:
            log.append(record)
        return log

    return new


def compare_indexes_only(old):
    """Compares only the indexes of records, not their content."""
    return lambda self, before: before.index <= self.log.index


def hold_early(old):
    """Takes the lease before a majority has the log."""

    def new(self, now_ms):
        if self.phase is Phase.REPLICATING and now_ms < self.expires_ms:
            self.phase = Phase.HOLDING
            self.failed_acquisitions = 0
            self.on_event(now_ms, LeaseEvent.HOLDS)
        old(self, now_ms)

    return new


def always_new_disk(old):
    """Treats a lost folder as a new one."""

    def new(self, rng, settings, now_ms, sections, is_new_disk, *more):
        old(self, rng, settings, now_ms, sections, True, *more)

    return new


def release_early(old):
    """Announces the release before the pending records are committed."""

    def new(self, now_ms):
        if self.phase is Phase.HOLDING:
            self.release_notifier.start(now_ms, self.generation, self.log.index, notices=1)
        old(self, now_ms)

    return new


# Further faults were tried that the short form does not detect, as other rules mask them or the case is rare:
# a part of the inherited log labelled with the new generation, append requests answered while a promise is
# being written, grants of another acquisition accepted, any release notice taken for the holder's.
broken_rule(
    (Voter, "_is_outdated", always_return(False)), (Voter, "_reply_to_append", reply_to_any_generation)
)("no fencing by generation")
broken_rule((Voter, "__init__", call_after(no_wait_at_start)))("no wait after the voter's own start")
broken_rule((Voter, "_reply_to_append", call_after(no_wait_after_reply)))(
    "no wait after a reply to the holder"
)
broken_rule((LeaseGroup, "_request_store", store_without_promise))("a promise not stored")
broken_rule(
    (Voter, "_write", complete_writes_early),
    (Voter, "handle", record_time),
    (
        Voter,
        "on_stored",
        lambda old: lambda self, now_ms, is_stored: old(self, now_ms, is_stored) if self.is_writing else None,
    ),
)("a reply before the write is stored")
broken_rule((Leadership, "on_append_reply", call_after(support_from_reply)))(
    "the lease measured from the reply"
)
broken_rule((Leadership, "on_append_reply", call_after(support_from_latest_append)))(
    "a reply to an old append request taken for one to the latest"
)
broken_rule((Leadership, "_adopt_log_of", adopt_first_log))("the log of the first grant adopted")
broken_rule((Leadership, "_commit", commit_at_one_voter))("a record committed by one voter")
broken_rule((Voter, "_matches", compare_indexes_only), (Voter, "_log_with_records", append_anywhere))(
    "a gap accepted"
)
broken_rule((Voter, "_is_newer", always_return(True)))("an outdated offer installed")
broken_rule((Leadership, "_commit", hold_early))("the lease held before a majority has the log")
broken_rule((Voter, "__init__", always_new_disk))("a voter that lost its folder votes")
broken_rule((Leadership, "release", release_early))("a release announced before the last record is committed")

"""Rules of `lichenquay/lease` broken on purpose, one at a time: what the methods of proof have to find."""

from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from lichenquay.lease import group, voter
from lichenquay.lease import lease_holder as holder

V, H = voter.Voter, holder.Holder
BROKEN = {}


def rule(*patches):
    """patches: (class, name, maker of the new method from the old)."""

    def named(name):
        @contextmanager
        def broken():
            with ExitStack() as stack:
                for kind, what, made in patches:
                    new = made(getattr(kind, what))
                    if not isinstance(new, property):
                        new.__name__ = what  # or its bound methods could not be pickled
                    stack.enter_context(patch.object(kind, what, new))
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


def says(value):
    return lambda old: lambda self, *args: value


def of_any_generation(old):
    def new(self, now_ms):
        name, generation, number, token = self.last
        self.send(
            name, "ack", generation=generation, number=number, token=token, position=self.log.position.wire()
        )

    return new


def no_wait_at_start(self, rng, settings, now_ms, *more):
    self.waits_until_ms = now_ms


def no_wait_after_answer(self, now_ms):
    self.waits_until_ms = now_ms


def without_promise(old):
    return lambda self, changes: old(self, {k: v for k, v in changes.items() if k != "promise"})


def before_disk(old):
    def new(self, promise, log, claim=None):
        old(self, promise, log, claim)
        self.stored(self.now_ms, True)

    return new


def knows_time(old):
    def new(self, now_ms, sender, kind, m):
        self.now_ms = now_ms
        old(self, now_ms, sender, kind, m)

    return new


def from_answer(self, now_ms, sender, m):
    peer = self.peers.get(sender[0]) if self.phase in ("spreading", "holding") else None
    if peer and peer.number == m.number:
        peer.waits_ms = now_ms


def any_round(self, now_ms, sender, m):
    peer = self.peers.get(sender[0]) if self.phase in ("spreading", "holding") else None
    if peer and peer.sent and peer.number:
        peer.waits_ms = next(reversed(peer.sent.values()))[0]


def first_grant(old):
    def new(self, now_ms, name):
        old(self, now_ms, next(n for n, p in self.peers.items() if p.position is not None))

    return new


def made_at_one(old):
    def new(self, now_ms):
        if self.phase == "holding":
            for peer in self.peers.values():
                peer.kept = max(p.kept for p in self.peers.values())
        old(self, now_ms)

    return new


def with_gap(old):
    def new(self, since, records, till, generation):
        log = self.log.copy()
        log.label = till.label
        for record in records:
            log.append(record)
        return log

    return new


def numbers_only(old):
    # A voter that counts records, not what they are.
    return lambda self, since: since.index <= self.log.index


def acts_at_once(old):
    def new(self, now_ms):
        if self.phase == "spreading" and now_ms < self.until_ms:
            self.phase, self.failed = "holding", 0
            self.told(now_ms, "holds")
        old(self, now_ms)

    return new


def always_fresh(old):
    def new(self, rng, settings, now_ms, kept, fresh, *more):
        old(self, rng, settings, now_ms, kept, True, *more)

    return new


def ends_early(old):
    def new(self, now_ms):
        if self.phase == "holding":
            self._say_ended(now_ms, self.generation, self.log.index, 1)
        old(self, now_ms)

    return new


# Tried too, and found by nothing in the short form, as other rules cover for them or the case is rare: half a state
# labelled as the new one, rounds answered while a promise is written, grants of another claim, any end taken for the
# holder's.
rule((V, "_behind", says(False)), (V, "_ack", of_any_generation))("no fence by generation")
rule((V, "__init__", then(no_wait_at_start)))("no wait after the voter's own start")
rule((V, "_ack", then(no_wait_after_answer)))("no wait after an answer to the holder")
rule((group.Group, "_store", without_promise))("promise not stored")
rule(
    (V, "_write", before_disk),
    (V, "heard", knows_time),
    (V, "stored", lambda old: lambda self, now_ms, ok: old(self, now_ms, ok) if self.flying else None),
)("answers before the disk did")
rule((H, "ack", then(from_answer)))("lease counted from the answer")
rule((H, "ack", then(any_round)))("an old round's answer counted for the latest")
rule((H, "_take", first_grant))("state of the first grant")
rule((H, "_settle", made_at_one))("record made at one voter")
rule((V, "_stands_at", numbers_only), (V, "_with_records", with_gap))("gap accepted")
rule((V, "_newer", says(True)))("an old offer taken")
rule((H, "_settle", acts_at_once))("acts before a majority keeps the state")
rule((V, "__init__", always_fresh))("a voter without its folder votes")
rule((H, "give_up", ends_early))("the end said before the last record is made")

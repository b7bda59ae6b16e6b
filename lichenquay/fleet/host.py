"""A front among the others of its installation: one socket, one disk, and the clock, round decisions that have no I/O.

Off where the settings name no fleet. Each part has heard(now_ms, sender, message), tick(now_ms), due_ms and outbox; the host brings it
datagrams and time, and takes out what it has to say. Times are milliseconds of CLOCK_BOOTTIME, which runs on while a machine is suspended.
"""

import random
import signal
import sys
import time

import structlog
from twisted.internet.error import CannotListenError

from lichenquay.conf.fleet import address_of, fingerprint, names_of
from lichenquay.fleet.accounts import PREFIX, Accounts
from lichenquay.fleet.envelope import MEMBERS, OWNER, QUOTA, Envelope
from lichenquay.fleet.post import Post
from lichenquay.folder.folder import Folder
from lichenquay.folder.incarnation import next_incarnation, section
from lichenquay.folder.reading import BadFolder
from lichenquay.folder.writer import Writer
from lichenquay.fleet.tenants import Tenants
from lichenquay.members import members_pb2
from lichenquay.members.watch import Settings as MembersSettings, Watch
from lichenquay.owner import owner_pb2
from lichenquay.quota import quota_pb2

FOLDER_MOST = 16 << 20  # bytes that a front's folder may take
CLOSE_MS = 500.0  # for what the disk still has to do at the end
LEAST_WAIT_MS = 1.0  # between two turns of the timer; risk: a part that is always due takes all turns


def boot_ms():
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def logger():
    """JSON lines on standard error: member, tenant, sitting and generation are keys."""
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    )


KINDS = {MEMBERS: members_pb2.Message, OWNER: owner_pb2.Message, QUOTA: quota_pb2.Message}


class Fleet:
    """`folder`, `writer`: what makes them; a test in virtual time has its own, as it has its own reactor and clocks."""

    def __init__(
        self,
        reactor,
        settings,
        seed,
        pressed,
        now_ms=boot_ms,
        unix_ms=lambda: time.time() * 1000,
        log=None,
        folder=Folder,
        writer=Writer,
    ):
        self.reactor, self.settings, self.pressed, self.now_ms, self.unix_ms = (
            reactor,
            settings,
            pressed,
            now_ms,
            unix_ms,
        )
        self.new_folder, self.new_writer = folder, writer
        self.log = (log or logger()).bind(front=settings.name)
        self.rng = random.Random(f"{seed}:{settings.name}")
        self.names = names_of(settings)
        self.incarnation, self.folder, self.writer, self.port, self.timer, self.rising = (
            0,
            None,
            None,
            None,
            None,
            None,
        )
        self.parts, self.left, self.closed, self.accounts, self.quota = {}, False, False, None, None
        self.post = Post(
            Envelope(settings.fleet, fingerprint(settings), settings.name, self.names),
            {p.name: address_of(p.address) for p in settings.peers},
            KINDS,
            self.heard,
        )

    # from start to end

    def open(self):
        """Folder, incarnation, socket; one line where one of them cannot be had, else None. Nothing is said yet."""
        s = self.settings
        try:
            if s.folder:
                self.folder = self.new_folder(s.folder, s.fleet, s.name, FOLDER_MOST, now_ms=self.now_ms())
            self.rise()
            self.port = self.reactor.listenUDP(
                address_of(s.listen)[1], self.post, interface=address_of(s.listen)[0]
            )
        except BadFolder as bad:
            return str(bad)
        except CannotListenError as bad:
            return f"cannot listen on {s.listen} (UDP): {bad.socketError.strerror}"
        return None

    def rise(self):
        """An incarnation that was never ours before: the folder's, and never under the clock."""
        now = int(self.unix_ms())
        self.incarnation, kept = (
            next_incarnation(self.folder, now, self.now_ms()) if self.folder else (now, False)
        )
        if self.folder and not kept:
            self.log.warning("incarnation not kept", incarnation=self.incarnation, why=self.folder.trouble)

    def begin(self):
        """The front serves: it tells the others."""
        if self.folder:
            blocked = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
            try:  # risk: a signal goes to the writer's thread, and the reactor sleeps on
                self.writer = self.new_writer(
                    self.folder, self.reactor.callFromThread, self.now_ms, log=self.log
                )
            finally:
                signal.pthread_sigmask(signal.SIG_SETMASK, blocked)
        self.watch = self.parts[MEMBERS] = self.new_watch()
        if self.settings.accounts:
            self.keep_accounts()
        self.log.info(
            "fleet", incarnation=self.incarnation, fleet=self.settings.fleet, peers=len(self.names) - 1
        )
        self.turn()

    def keep_accounts(self):
        # A folder that could not be read yet is as good as lost: a voter without promises asks the others for what there is.
        kept = (
            {k[len(PREFIX) :]: v for k, v in self.folder.state.items() if k.startswith(PREFIX)}
            if self.folder.opened
            else {}
        )
        self.accounts = self.parts[QUOTA] = Accounts(
            self.settings,
            self.incarnation,
            self.rng,
            self.now_ms(),
            kept,
            lambda name: self.watch.state_of(name),
            self.pressed,
            self.log,
        )
        if self.accounts.group is not None:
            self.parts[OWNER] = self.accounts.group
        self.quota = Tenants(self.accounts, self.now_ms, self.wait)

    def new_watch(self):
        peers = [n for n in self.names if n != self.settings.name]
        return Watch(self.settings.name, self.incarnation, peers, self.rng, MembersSettings(), self.now_ms())

    def leave(self):
        """SIGTERM: the others are told; what follows is `close`."""
        if self.parts and not self.left:
            self.left = True
            self.watch.leave(self.now_ms())
            if self.accounts is not None:
                self.accounts.leave(self.now_ms())
            self.turn()

    def is_over(self):
        """After `leave`: whether it has said all that it had to."""
        return self.watch.over is not None and (self.accounts is None or self.accounts.over)

    def close(self):
        """What has been said stays to be seen (`lines`)."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer, self.closed = None, True
        if self.port is not None:
            self.port.stopListening()
        if self.writer is not None:
            self.writer.close(CLOSE_MS)
        elif self.folder is not None:
            self.folder.close()

    # turns

    def heard(self, layer, sender, message):
        part = self.parts.get(layer)
        if part is not None and not self.closed:
            part.heard(self.now_ms(), sender, message)
            self.flush()

    def turn(self):
        """What is due, then what it has to say."""
        now = self.now_ms()
        for part in list(self.parts.values()):
            if part.due_ms <= now:
                part.tick(now)
        self.flush()

    def flush(self):
        for layer, part in list(self.parts.items()):
            sent, part.outbox = part.outbox, []
            for name, message in sent:
                self.post.send(self.incarnation, name, layer, message)
        if OWNER in self.parts:
            self.store()
        self.tell_changes()
        self.wait()

    def store(self):
        group = self.accounts.group
        wanted, group.to_store = group.to_store, []
        for number, changes in wanted:
            self.writer.store(
                {PREFIX + k: v for k, v in changes.items()}, lambda ok, number=number: self.stored(number, ok)
            )

    def stored(self, number, ok):
        if not self.closed:
            self.accounts.group.stored(self.now_ms(), number, ok)
            self.flush()

    def wait(self):
        """One timer, for whichever part is due next."""
        if self.closed:
            return
        due = min(p.due_ms for p in self.parts.values())
        active = self.timer is not None and self.timer.active()
        if due == float("inf"):
            if active:
                self.timer.cancel()
            return
        wait_s = max(LEAST_WAIT_MS, due - self.now_ms()) / 1000
        if active:
            self.timer.reset(wait_s)
        else:
            self.timer = self.reactor.callLater(wait_s, self.turn)

    def tell_changes(self):
        changes, self.watch.changes[:] = list(self.watch.changes), []
        for c in changes:
            self.log.info(
                "member", member=c.name, incarnation=c.incarnation, was=c.old, state=c.new, view=c.view
            )
        if self.watch.over == "gone" and not self.left and self.rising is None:
            # Risk: it acts on as if nothing had happened. What it was is over for all others: it comes again as another one,
            # once its folder has that (the folder is the writer's by now).
            self.rising = max(int(self.unix_ms()), self.watch.self_gone + 1, self.incarnation + 1)
            if self.writer is None:
                self.reactor.callLater(0, self.risen, False)
            else:
                self.writer.store(
                    section(self.rising), lambda kept: self.reactor.callLater(0, self.risen, kept)
                )

    def risen(self, kept):
        if self.closed or self.left:
            return
        self.incarnation, self.rising = self.rising, None
        self.log.warning("gone, and back", incarnation=self.incarnation, kept=kept)
        self.watch = self.parts[MEMBERS] = self.new_watch()
        if self.accounts is not None:
            self.accounts.reborn(self.incarnation)
        self.turn()

    # what is seen

    def lines(self):
        if not self.parts:
            return ["fleet: not begun"]
        number, digest = self.watch.view
        lines = [f"member {name} {incarnation} {state}" for name, incarnation, state in self.watch.members()]
        lines += [
            f"view {number} {digest:016x}",
            f"reach {' '.join(self.watch.reach) or '-'}",
            *self.post.lines(),
            f"datagram bytes sent: {self.post.bytes_out}",
        ]
        if self.accounts is not None:
            lines += self.accounts.lines(self.now_ms()) + self.quota.lines()
        if self.writer is not None:
            counts = self.writer.counts
            lines += [f"folder {what}: {n:.0f}" for what, n in counts.items()]
            lines.append(f"folder trouble: {self.writer.trouble or 'none'}")
        return lines

"""The small world of `migration_explore`, on the real coordinators.

Three replica groups, one session whose replica group leaves, and in any order deliveries, committed records,
time, crashes and false takeovers, losses, doubles, and a client that asks the same queries anywhere. States
are compared, so that none is continued twice; the search is complete where `whole` is True.
"""

import copyreg
from functools import partial

from invariants import InvariantError, require

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.messages import AnswerKind
from lichenquay.migration.session import SessionState
from lichenquay.migration.settings import MigrationSettings
from lichenquay.migration.state_machine import StateMachine
from lichenquay.migration.target_selection import Member

NAMES = "abc"
MUTATING = {"q": True, "r": True, "s": False}  # queries; q was submitted before the replica group leaves
SETTINGS = MigrationSettings(
    announce_ms=0.0,
    answer_timeout_ms=100.0,
    max_backoff_ms=100.0,
    max_offers=2,
    max_freeze_ms=450.0,
    backoff_ms=100.0,
    tick_period_ms=100.0,
)
USUAL_BUDGET = {"crash": 2, "depose": 2, "lose": 1, "double": 1, "ask": 2, "tick": 5}
FREE_BYTES = 30_000
TICK_MS = 100
QUERY_MS = 1000
MAX_ROUNDS_TO_REST = 60
MAX_DELIVERIES_IN_A_ROUND = 40


def change_of(raw):
    """The Change of these bytes."""
    return pb.Change.FromString(raw)


copyreg.pickle(pb.Change, lambda change: (change_of, (change.SerializeToString(),)))


class ExploredGroup:
    """One replica group: its holder, its log, and the write that is pending."""

    def __init__(self, replica_group):
        """Held by its own process."""
        self.replica_group = replica_group
        self.generation = 1
        self.holder = (replica_group, 1)
        self.pending = None  # (record, done)
        self.uncertain = []  # callbacks of writes whose result their writer was not told
        self.state_machine = StateMachine(replica_group)
        self.log = []


class GroupHandle:
    """The group as one life of a process has it."""

    def __init__(self, world, replica_group, process):
        """`process`: (name, life)."""
        self.world = world
        self.replica_group = replica_group
        self.process = process

    @property
    def generation(self):
        """0 where it does not hold the group."""
        return self.world.groups[self.replica_group].generation if self.holds(0) else 0

    def holds(self, now_ms):
        """Whether it is the holder."""
        return self.world.groups[self.replica_group].holder == self.process

    def snapshot(self):
        """All records."""
        return b"", list(self.world.groups[self.replica_group].log)

    def append(self, now_ms, record, done):
        """Pending until the world commits it."""
        group = self.world.groups[self.replica_group]
        if group.holder != self.process:
            done(now_ms, False)
            return
        assert group.pending is None
        group.pending = record, done


class ExploredWorld:
    """A small world; its state can be pickled. An action is (kind, arguments...)."""

    def __init__(self, make_coordinator=Coordinator, crashing=NAMES, **budget):
        """`budget`: how often what may happen in a run.

        `crashing`: which processes crash or lose their group.
        """
        self.crashing = crashing
        self.budget = USUAL_BUDGET | budget
        self.make_coordinator = make_coordinator
        self.now = 0.0
        self.network = []  # (replica group, message)
        self.submitted = []
        self.session_id = None
        self.lives = dict.fromkeys(NAMES, 1)
        self.checked = {}
        self.groups = {name: ExploredGroup(name) for name in NAMES}
        self.coordinators = {}  # by (process, replica group)
        for name in NAMES:
            self.start_coordinator(name, name)
        coordinator = self.coordinators["a", "a"]
        coordinator.open_session(0, "t", "s", self.ignore)
        self.persist("a")
        self.session_id = next(iter(self.groups["a"].state_machine.sessions))
        self.ask("a", "a", "q")
        self.persist("a")
        coordinator.handover_source.leave(0, at_once=True)
        coordinator.tick(0)
        self.send_outboxes()

    def ignore(self, now_ms, answer):
        """An AnswerCallback."""

    def start_coordinator(self, process, replica_group):
        """Of a process that may lead that replica group."""
        handle = GroupHandle(self, replica_group, (process, self.lives[process]))
        coordinator = self.make_coordinator(replica_group, handle, SETTINGS)
        coordinator.handover_source.update_members([Member(name, FREE_BYTES) for name in NAMES])
        self.checked[process, replica_group] = -1
        self.coordinators[process, replica_group] = coordinator
        return coordinator

    def send_outboxes(self):
        """To the network, where equal messages are one; then the audit."""
        for coordinator in self.coordinators.values():
            for to, message in coordinator.outbox:
                raw = message.SerializeToString(deterministic=True)
                if (to, raw) not in self.network:
                    self.network.append((to, raw))
            coordinator.outbox[:] = []
        self.check()

    # What may happen next.

    def actions(self):
        """All actions that are possible now."""
        yield from (("deliver", i) for i in range(len(self.network)))
        for kind in ("lose", "double"):
            if self.budget[kind]:
                yield from ((kind, i) for i in range(len(self.network)))
        yield from (("persist", name) for name, group in self.groups.items() if group.pending)
        yield from (("elect", name) for name, group in self.groups.items() if group.holder is None)
        if self.budget["crash"]:
            for name in self.crashing:
                if any(process == name for process, _ in self.coordinators):
                    yield from (("crash", name, committed) for committed in self._crash_results(name))
        if self.budget["depose"]:
            for name in self.crashing:
                group = self.groups[name]
                if group.holder:
                    results = (True, False) if group.pending else (False,)
                    yield from (("depose", name, committed) for committed in results)
        if self.budget["ask"]:
            yield from (("ask", *key, query_id) for key in self.coordinators for query_id in MUTATING)
        if self.budget["tick"]:
            yield ("tick",)

    def _crash_results(self, name):
        """Whether pending writes of a process may be committed when it crashes."""
        is_pending = any(
            group.pending and group.holder and group.holder[0] == name for group in self.groups.values()
        )
        return (True, False) if is_pending else (False,)

    def act(self, action):
        """Does an action."""
        kind, *arguments = action
        if kind in self.budget:
            self.budget[kind] -= 1
        getattr(self, kind)(*arguments)
        self.send_outboxes()

    def deliver(self, i):
        """A message arrives."""
        self._deliver(*self.network.pop(i))

    def _deliver(self, to, raw):
        for (_, replica_group), coordinator in list(self.coordinators.items()):
            if replica_group == to:
                coordinator.on_message(self.now, ("x", 1), pb.Message.FromString(raw))

    def lose(self, i):
        """A message is lost."""
        self.network.pop(i)

    def double(self, i):
        """A message arrives and is still under way."""
        self._deliver(*self.network[i])

    def persist(self, replica_group):
        """The pending write is committed, and its writer is told."""
        group = self.groups[replica_group]
        (record, done), group.pending = group.pending, None
        self._apply(group, record)
        done(self.now, True)
        self.send_outboxes()

    def _apply(self, group, record):
        applied = group.state_machine.apply(pb.Record.FromString(record))
        require(applied, "a record that was committed before")
        group.state_machine.check()
        group.log.append(record)

    def crash(self, name, committed):
        """A process crashes, and is started at once; it holds nothing then."""
        for key in [key for key in self.coordinators if key[0] == name]:
            del self.coordinators[key]
        self.lives[name] += 1
        for group in self.groups.values():
            if group.holder and group.holder[0] == name:
                self._vacate(group, committed)
        self.start_coordinator(name, name)

    def depose(self, replica_group, committed):
        """The holder is alive, but slow: it loses the group and does not know it yet."""
        self._vacate(self.groups[replica_group], committed)

    def _vacate(self, group, committed):
        pending, group.pending = group.pending, None
        group.holder = None
        if pending:
            record, done = pending
            group.uncertain.append(done)
            if committed:
                self._apply(group, record)

    def elect(self, replica_group):
        """The process after the last holder, in a ring."""
        group = self.groups[replica_group]
        uncertain, group.uncertain = group.uncertain, []
        for done in uncertain:  # where its process has crashed, this has no effect
            done(self.now, None)
        group.generation += 1
        process = NAMES[(NAMES.index(replica_group) + group.generation - 1) % len(NAMES)]
        group.holder = process, self.lives[process]
        coordinator = self.coordinators.get((process, replica_group))
        if coordinator is None:
            coordinator = self.start_coordinator(process, replica_group)
        if process != replica_group or replica_group == "a":
            coordinator.handover_source.leave(self.now, at_once=True)
        coordinator.tick(self.now)

    def ask(self, process, replica_group, query_id):
        """The client asks a query at a process."""
        done = partial(self.on_answer, process, replica_group, query_id)
        self.coordinators[process, replica_group].submit_query(
            self.now, "t", self.session_id, query_id, MUTATING[query_id], "e", QUERY_MS, done
        )

    def on_answer(self, process, replica_group, query_id, now_ms, answer):
        """A query may be submitted, or was before."""
        if answer.kind is AnswerKind.SUBMIT:
            self._submit(process, replica_group, query_id)
        elif answer.kind is AnswerKind.ATTACH:
            done = partial(self.on_resubmit_answer, process, replica_group, query_id)
            self.coordinators[process, replica_group].resubmit_query(
                now_ms, "t", self.session_id, query_id, "e", QUERY_MS, done
            )

    def on_resubmit_answer(self, process, replica_group, query_id, now_ms, answer):
        """Attached again, or submitted."""
        if answer.kind is AnswerKind.SUBMIT:
            self._submit(process, replica_group, query_id)

    def _submit(self, process, replica_group, query_id):
        group = self.groups[replica_group]
        require(
            group.holder == (process, self.lives[process]),
            f"{process} acts for {replica_group}, which it does not hold",
        )
        session = group.state_machine.sessions.get(self.session_id)
        is_owner = session is not None and session.is_owned
        require(is_owner, f"{replica_group} acts for what is not its own")
        if MUTATING[query_id]:
            require(query_id in session.queries, "a mutating query is submitted before it is on record")
            require(query_id not in self.submitted, "a mutating query is submitted twice")
            self.submitted.append(query_id)

    def tick(self):
        """Time passes."""
        self.now += TICK_MS
        for key in list(self.coordinators):
            if self.coordinators[key].due_ms <= self.now:
                self.coordinators[key].tick(self.now)

    # What must hold.

    def copies(self):
        """The session at each replica group that has it on record."""
        sessions = (group.state_machine.sessions.get(self.session_id) for group in self.groups.values())
        return [session for session in sessions if session]

    def check(self):
        """One owner at most, the newest generation; and each leader has the committed state."""
        known = self.copies()
        owned = [session.generation for session in known if session.is_owned]
        require(len(owned) <= 1, "two owners")
        newest = max((session.generation for session in known), default=0)
        require(not owned or owned[0] == newest, "an older generation acts")
        is_under_way = any(not session.is_owned and not session.acknowledged for session in known)
        require(not known or owned or is_under_way, "lost: nobody has it")
        for key, coordinator in self.coordinators.items():
            self._check_coordinator(key, coordinator)

    def _check_coordinator(self, key, coordinator):
        committed = coordinator.committed
        if committed is None or not coordinator.group.holds(0) or coordinator.pending_write is not None:
            return
        if committed.record_number == self.checked[key]:
            return
        self.checked[key] = committed.record_number
        process, replica_group = key
        expected = self.groups[replica_group].state_machine.state()
        require(committed.state() == expected, f"{process} has another state of {replica_group}")

    def rest(self):
        """With no more faults, nobody leaving, all comes to one owner."""
        self.budget = dict.fromkeys(self.budget, 0)
        for _ in range(MAX_ROUNDS_TO_REST):
            for name, group in self.groups.items():
                if group.holder is None:
                    self.elect(name)
                self.coordinators[group.holder[0], name].handover_source.stay(self.now)
            for _ in range(MAX_DELIVERIES_IN_A_ROUND):
                ready = [action for action in self.actions() if action[0] in ("deliver", "persist")]
                if not ready:
                    break
                self.act(ready[0])
            self.act(("tick",))
            owned = [session.state for session in self.copies() if session.is_owned]
            acknowledged = all(session.acknowledged for session in self.copies() if not session.is_owned)
            if owned == [SessionState.HELD] and acknowledged:
                return
        raise InvariantError("no owner")

    def fingerprint(self):
        """Two states with one fingerprint continue alike.

        A coordinator's state machines follow from the log, and from what is pending.
        """
        coordinators = tuple(
            (key, *self._state_of(coordinator)) for key, coordinator in sorted(self.coordinators.items())
        )
        groups = tuple(
            (
                group.generation,
                group.holder,
                group.pending and group.pending[0],
                len(group.uncertain),
                group.log,
            )
            for group in self.groups.values()
        )
        world = (sorted(self.network), sorted(self.submitted), self.now, self.budget, self.lives)
        return hash(repr((coordinators, groups, world)))

    @staticmethod
    def _state_of(coordinator):
        source = coordinator.handover_source
        write = coordinator.pending_write
        return (
            coordinator.generation,
            coordinator.uncertain_generation,
            coordinator.committed and coordinator.committed.record_number,
            write and write.raw_record,
            [pending.change.SerializeToString() for pending in coordinator.pending_changes],
            source.phase,
            [(session_id, vars(attempt)) for session_id, attempt in source.attempts.items()],
            source.repetitions,
            coordinator.handover_target.reservations,
            source.backoffs.by_name,
            source.due_ms,
        )

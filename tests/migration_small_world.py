"""The small world that `migration_explore` explores, with real coordinators.

It has three replica groups and one session, whose replica group leaves. In any order, messages are delivered,
lost or duplicated, records are committed, time passes, processes crash or lose their lease while they run,
and a client sends the same queries to any process. Fingerprints of states avoid exploring a state twice.
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
from lichenquay.migration.target_selection import GatewayStatus

NAMES = "abc"
MUTATING = {"q": True, "r": True, "s": False}  # by query id; q is submitted before the replica group leaves
SETTINGS = MigrationSettings(
    announce_ms=0.0,
    answer_timeout_ms=100.0,
    max_backoff_ms=100.0,
    max_offers=2,
    max_freeze_ms=450.0,
    backoff_ms=100.0,
    tick_period_ms=100.0,
)
DEFAULT_BUDGET = {"crash": 2, "depose": 2, "lose": 1, "duplicate": 1, "ask": 2, "tick": 5}
FREE_BYTES = 30_000
TICK_MS = 100
QUERY_MS = 1000
MAX_ROUNDS_TO_QUIESCENCE = 60
MAX_DELIVERIES_IN_A_ROUND = 40


def parse_change(raw):
    """Returns the Change of these bytes."""
    return pb.Change.FromString(raw)


copyreg.pickle(pb.Change, lambda change: (parse_change, (change.SerializeToString(),)))


class ExploredGroup:
    """One replica group: its holder, its log, and the write that is pending."""

    def __init__(self, replica_group):
        """Starts held by its own process."""
        self.replica_group = replica_group
        self.generation = 1
        self.holder = (replica_group, 1)
        self.pending = None  # (record, done)
        self.uncertain = []  # callbacks of writes whose writer does not know their result
        self.state_machine = StateMachine(replica_group)
        self.log = []


class GroupHandle:
    """The access of one incarnation of a process to a group."""

    def __init__(self, world, replica_group, process):
        """`process`: (name, incarnation)."""
        self.world = world
        self.replica_group = replica_group
        self.process = process

    @property
    def generation(self):
        """The generation of the group; 0 if this incarnation does not hold it."""
        return self.world.groups[self.replica_group].generation if self.holds(0) else 0

    def holds(self, now_ms):
        """Returns whether this incarnation is the holder."""
        return self.world.groups[self.replica_group].holder == self.process

    def snapshot(self):
        """Returns an empty state and all records."""
        return b"", list(self.world.groups[self.replica_group].log)

    def append(self, now_ms, record, done):
        """Writes a record, which is pending until the world commits it."""
        group = self.world.groups[self.replica_group]
        if group.holder != self.process:
            done(now_ms, False)
            return
        assert group.pending is None
        group.pending = record, done


class ExploredWorld:
    """A small world that can be pickled. An action is (name of a method, arguments...)."""

    def __init__(self, make_coordinator=Coordinator, crashing=NAMES, **budget):
        """Starts with a session whose replica group leaves.

        `budget`: by kind of action, how often it may happen in a run. `crashing`: the processes that may
        crash or lose their group.
        """
        self.crashing = crashing
        self.budget = DEFAULT_BUDGET | budget
        self.make_coordinator = make_coordinator
        self.now = 0.0
        self.network = []  # (replica group, message)
        self.submitted = []
        self.session_id = None
        self.incarnations = dict.fromkeys(NAMES, 1)
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
        """Ignores an answer."""

    def start_coordinator(self, process, replica_group):
        """Starts the coordinator of a process that may lead that replica group."""
        handle = GroupHandle(self, replica_group, (process, self.incarnations[process]))
        coordinator = self.make_coordinator(replica_group, handle, SETTINGS)
        coordinator.handover_source.update_members([GatewayStatus(name, FREE_BYTES) for name in NAMES])
        self.checked[process, replica_group] = -1
        self.coordinators[process, replica_group] = coordinator
        return coordinator

    def send_outboxes(self):
        """Moves messages to the network, where equal ones are merged; then checks the invariants."""
        for coordinator in self.coordinators.values():
            for to, message in coordinator.outbox:
                raw = message.SerializeToString(deterministic=True)
                if (to, raw) not in self.network:
                    self.network.append((to, raw))
            coordinator.outbox[:] = []
        self.check()

    # Possible actions.

    def actions(self):
        """Yields all actions that are possible now."""
        yield from (("deliver", i) for i in range(len(self.network)))
        for kind in ("lose", "duplicate"):
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
        """Returns the possible values of `committed` for a crash: both only if a write is pending."""
        is_pending = any(
            group.pending and group.holder and group.holder[0] == name for group in self.groups.values()
        )
        return (True, False) if is_pending else (False,)

    def act(self, action):
        """Runs an action, charges it to the budget, and checks the invariants."""
        kind, *arguments = action
        if kind in self.budget:
            self.budget[kind] -= 1
        getattr(self, kind)(*arguments)
        self.send_outboxes()

    def deliver(self, i):
        """Delivers a message."""
        self._deliver(*self.network.pop(i))

    def _deliver(self, to, raw):
        for (_, replica_group), coordinator in list(self.coordinators.items()):
            if replica_group == to:
                coordinator.on_message(self.now, ("x", 1), pb.Message.FromString(raw))

    def lose(self, i):
        """Loses a message."""
        self.network.pop(i)

    def duplicate(self, i):
        """Delivers a message that stays in flight."""
        self._deliver(*self.network[i])

    def persist(self, replica_group):
        """Commits the pending write and notifies its writer."""
        group = self.groups[replica_group]
        (record, done), group.pending = group.pending, None
        self._apply(group, record)
        done(self.now, True)
        self.send_outboxes()

    def _apply(self, group, record):
        applied = group.state_machine.apply(pb.Record.FromString(record))
        require(applied, f"a record of {group.replica_group} is committed twice")
        group.state_machine.check()
        group.log.append(record)

    def crash(self, name, committed):
        """Crashes a process and restarts it at once; it holds no group then."""
        for key in [key for key in self.coordinators if key[0] == name]:
            del self.coordinators[key]
        self.incarnations[name] += 1
        for group in self.groups.values():
            if group.holder and group.holder[0] == name:
                self._vacate(group, committed)
        self.start_coordinator(name, name)

    def depose(self, replica_group, committed):
        """Takes the group from a holder that is alive but slow and does not know it yet."""
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
        """Makes the process after the last holder, in a ring, the holder."""
        group = self.groups[replica_group]
        uncertain, group.uncertain = group.uncertain, []
        for done in uncertain:  # no effect on a coordinator whose process has crashed
            done(self.now, None)
        group.generation += 1
        process = NAMES[(NAMES.index(replica_group) + group.generation - 1) % len(NAMES)]
        group.holder = process, self.incarnations[process]
        coordinator = self.coordinators.get((process, replica_group))
        if coordinator is None:
            coordinator = self.start_coordinator(process, replica_group)
        if process != replica_group or replica_group == "a":
            coordinator.handover_source.leave(self.now, at_once=True)
        coordinator.tick(self.now)

    def ask(self, process, replica_group, query_id):
        """Sends a query of the client to a process."""
        done = partial(self.on_answer, process, replica_group, query_id)
        self.coordinators[process, replica_group].submit_query(
            self.now, "t", self.session_id, query_id, MUTATING[query_id], "e", QUERY_MS, done
        )

    def on_answer(self, process, replica_group, query_id, now_ms, answer):
        """Submits the query, or handles one that was submitted before."""
        if answer.kind is AnswerKind.SUBMIT:
            self._submit(process, replica_group, query_id)
        elif answer.kind is AnswerKind.ATTACH:
            done = partial(self.on_resubmit_answer, process, replica_group, query_id)
            self.coordinators[process, replica_group].resubmit_query(
                now_ms, "t", self.session_id, query_id, "e", QUERY_MS, done
            )

    def on_resubmit_answer(self, process, replica_group, query_id, now_ms, answer):
        """Submits the query again if that is allowed."""
        if answer.kind is AnswerKind.SUBMIT:
            self._submit(process, replica_group, query_id)

    def _submit(self, process, replica_group, query_id):
        group = self.groups[replica_group]
        require(
            group.holder == (process, self.incarnations[process]),
            f"{process} serves {replica_group}, which it does not hold",
        )
        session = group.state_machine.sessions.get(self.session_id)
        is_owner = session is not None and session.is_owned
        require(is_owner, f"{replica_group} serves a session that it does not own")
        if MUTATING[query_id]:
            require(
                query_id in session.queries,
                f"{query_id}, which is mutating, is submitted before it is committed",
            )
            require(query_id not in self.submitted, f"{query_id}, which is mutating, is submitted twice")
            self.submitted.append(query_id)

    def tick(self):
        """Advances time."""
        self.now += TICK_MS
        for key in list(self.coordinators):
            if self.coordinators[key].due_ms <= self.now:
                self.coordinators[key].tick(self.now)

    # Invariants.

    def copies(self):
        """Returns the session at each replica group that has committed it."""
        sessions = (group.state_machine.sessions.get(self.session_id) for group in self.groups.values())
        return [session for session in sessions if session]

    def check(self):
        """Checks for one owner at most, of the newest generation, and for the committed state at leaders."""
        known = self.copies()
        owned = [session.generation for session in known if session.is_owned]
        require(len(owned) <= 1, f"the session has {len(owned)} owners")
        newest = max((session.generation for session in known), default=0)
        require(not owned or owned[0] == newest, "the owner has an older generation")
        is_in_flight = any(not session.is_owned and not session.acknowledged for session in known)
        require(not known or owned or is_in_flight, "the session is lost")
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
        require(
            committed.state() == expected, f"{process} differs from the committed state of {replica_group}"
        )

    def run_until_quiescent(self):
        """Runs without faults until the session stays with one owner, or raises InvariantError."""
        self.budget = dict.fromkeys(self.budget, 0)
        for _ in range(MAX_ROUNDS_TO_QUIESCENCE):
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
        raise InvariantError("the session does not get one owner with all handovers acknowledged")

    def fingerprint(self):
        """Returns a hash of the state; states with equal fingerprints have the same future.

        A coordinator's state machines are left out, because the log and the pending changes determine them.
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
        world = (sorted(self.network), sorted(self.submitted), self.now, self.budget, self.incarnations)
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
            source.handover_retries,
            coordinator.handover_target.reservations,
            source.backoffs.by_name,
            source.due_ms,
        )

"""A simulation of session migration in virtual time.

It has in-memory replica groups, processes that crash, pause and start, a network that loses, duplicates,
delays and cuts off messages, engines and clients, and an audit after every step.
"""

from heapq import heappop, heappush
from random import Random

from invariants import InvariantError
from migration_audit import Audit
from migration_group import GroupHandle, SimulatedGroup

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.settings import MigrationSettings
from lichenquay.migration.target_selection import GatewayStatus, LeavingPhase

STEP_MS = 25.0
LEASE_MS = 3500.0
QUIESCENCE_TIMEOUT_MS = 12_000.0
HOST_PERIOD_MS = 100
POLL_PERIOD_MS = 100
MEAN_EXTRA_DELAY_MS = 2000.0  # of a delayed message
ENGINE_ZONES = {"e1": "a", "e2": "b"}
SETTINGS = MigrationSettings(announce_ms=300.0, max_leaving_share=0.34)


class Process:
    """A gateway's process, with a coordinator of each replica group that it may lead."""

    def __init__(self, world, name, clock_rate):
        """Creates a process that does not run yet. `clock_rate`: of its clock, relative to true time."""
        self.world = world
        self.name = name
        self.clock_rate = clock_rate
        self.incarnation = 0
        self.up = False
        self.paused = False
        self.is_ending = False
        self.coordinators = {}
        self.checked = {}  # by replica group: the last record number that the audit has checked
        self.inbox = []

    @property
    def now_ms(self):
        """The time by its own clock."""
        return self.world.now * self.clock_rate + 1000.0 * len(self.name)

    def start(self):
        """Starts the next incarnation."""
        self.incarnation += 1
        self.up = True
        self.paused = False
        self.is_ending = False
        self.inbox = []
        self.coordinators = {}
        self.checked = {}
        self.coordinator_of(self.name)

    def coordinator_of(self, replica_group):
        """Returns its coordinator of that replica group, and creates one if there is none."""
        if replica_group not in self.coordinators:
            handle = GroupHandle(self.world.groups[replica_group], self)
            coordinator = self.world.make_coordinator(replica_group, handle, self.world.settings)
            self.coordinators[replica_group] = coordinator
            self.checked.pop(replica_group, None)
        return self.coordinators[replica_group]

    def kill(self):
        """Crashes the process."""
        self.up = False
        self.coordinators = {}
        self.inbox = []

    def resume(self):
        """Ends a pause, and handles what happened meanwhile."""
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for action in inbox:
            self.call(action)

    def call(self, action):
        """Calls `action(now_ms)` now, or when a pause ends; drops it if the process does not run."""
        if self.up and self.paused:
            self.inbox.append(action)
        elif self.up:
            action(self.now_ms)
            self.send_outboxes()

    def step(self):
        """Ticks the coordinators that are due."""
        if not self.up or self.paused:
            return
        for coordinator in list(self.coordinators.values()):
            if self.now_ms >= coordinator.due_ms:
                coordinator.tick(self.now_ms)
        self.send_outboxes()

    def send_outboxes(self):
        """Sends the messages of its coordinators."""
        for coordinator in list(self.coordinators.values()):
            outbox, coordinator.outbox[:] = list(coordinator.outbox), []
            for to, message in outbox:
                self.world.send(self.name, to, message)


class World:
    """Processes, replica groups, a network, engines and clients; time is in milliseconds."""

    def __init__(self, seed=0, replica_groups=3, make_coordinator=Coordinator, settings=SETTINGS):
        """Starts all processes. `replica_groups`: their number; each has the name of a process."""
        self.random = Random(seed)
        self.now = 0.0
        self.events = []
        self.event_number = 0
        self.make_coordinator = make_coordinator
        self.settings = settings
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.delay_rate = 0.0
        self.misjudgement_rate = 0.0  # share of members whose liveness is judged wrongly
        self.cut_links = set()
        self.sent = 0
        self.sent_kinds = []
        self.mutate = None
        self.audit = Audit(self)
        self.run_ends_ms = {}  # by query id: when its engine has finished it
        self.clients = []
        names = [f"f{i}" for i in range(replica_groups)]
        self.groups = {name: SimulatedGroup(self, name) for name in names}
        self.processes = {}
        for i, name in enumerate(names):
            self.processes[name] = Process(self, name, 1 + 0.05 * (i / replica_groups - 0.5))
        for name, process in self.processes.items():
            process.start()
            self.groups[name].elect(process)
        self.at(10, self.run_hosts)

    # Time and network.

    def at(self, after_ms, action):
        """Calls `action()` after that time."""
        self.event_number += 1
        heappush(self.events, (self.now + after_ms, self.event_number, action))

    def run(self, for_ms):
        """Runs for that time, with an audit after every event."""
        until_ms = self.now + for_ms
        while self.now < until_ms:
            step_ms = self.now + STEP_MS
            while self.events and self.events[0][0] <= step_ms:
                self.now = max(self.now, self.events[0][0])
                heappop(self.events)[2]()
                self.audit.check()
            self.now = step_ms
            for process in self.processes.values():
                process.step()
            self.audit.check()

    def send(self, sender, to, message):
        """Sends a message; messages are numbered, so that a run can be repeated with one of them mutated."""
        self.sent += 1
        self.sent_kinds.append(message.WhichOneof("body"))
        copies = [(to, message.SerializeToString(), 1 + 4 * self.random.random())]
        if self.mutate:
            copies = self.mutate(self, self.sent, copies)
        for copy_to, raw, delay_ms in copies:
            if (sender, copy_to) in self.cut_links or self.random.random() < self.loss_rate:
                continue
            for _ in range(1 + (self.random.random() < self.duplication_rate)):
                is_delayed = self.random.random() < self.delay_rate
                extra_ms = self.random.expovariate(1 / MEAN_EXTRA_DELAY_MS) if is_delayed else 0.0
                self.at(
                    delay_ms + extra_ms,
                    lambda copy_to=copy_to, raw=raw: self.deliver(sender, copy_to, raw),
                )

    def deliver(self, sender, to, raw):
        """Delivers a message to all processes that may lead its replica group; the leader is uncertain."""
        for process in self.processes.values():
            if process.up and to in process.coordinators:
                coordinator = process.coordinators[to]
                process.call(
                    lambda now_ms, coordinator=coordinator: coordinator.on_message(
                        now_ms, (sender, 1), pb.Message.FromString(raw)
                    )
                )

    # Tasks of the hosts: election, leaving, the view of the members.

    def run_hosts(self):
        """Elects holders where a lease has expired, and releases replica groups that are empty."""
        self.at(HOST_PERIOD_MS, self.run_hosts)
        for group in self.groups.values():
            holder = self.processes[group.holder[0]] if group.holder else None
            is_running = holder and holder.up and not holder.paused and holder.incarnation == group.holder[1]
            if is_running:
                group.without_holder_since = None
                self._finish_leaving(group, holder)
            else:
                self._elect_successor(group)
        self._update_members()

    def _elect_successor(self, group):
        own = self.processes[group.replica_group]
        if group.without_holder_since is None:
            group.without_holder_since = self.now
        running = [p for p in self.processes.values() if p.up and not p.paused and not p.is_ending]
        if self.now < group.without_holder_since + LEASE_MS or not running:
            return
        successor = own if own in running else self.random.choice(running)
        group.elect(successor)
        group.without_holder_since = None
        source = successor.coordinator_of(group.replica_group).handover_source
        if successor is not own:
            successor.call(lambda now_ms: source.leave(now_ms, at_once=True))

    def _finish_leaving(self, group, holder):
        """Ends a process that shuts down once all its sessions are handed over.

        A successor hands its sessions over, and then returns the group to the process of that name.
        """
        own = self.processes[group.replica_group]
        coordinator = holder.coordinators.get(group.replica_group)
        if holder is own:
            leading = [c for c in holder.coordinators.values() if c.committed] if holder.is_ending else []
            if holder.is_ending and all(c.handover_source.is_finished for c in leading):
                holder.kill()
            return
        if coordinator is None:
            return
        source = coordinator.handover_source
        own_is_back = own.up and not own.paused and not own.is_ending
        if own_is_back and source.is_finished:
            group.elect(own)
            del holder.coordinators[group.replica_group]
        elif source.phase is LeavingPhase.STAYING:
            holder.call(lambda now_ms: source.leave(now_ms, at_once=True))

    def _update_members(self):
        members = []
        for name, process in self.processes.items():
            coordinator = process.coordinators.get(name)
            is_leading = coordinator is not None and coordinator.committed
            members.append(
                GatewayStatus(
                    name,
                    coordinator.handover_target.free_bytes if is_leading else 0,
                    process.up and not process.paused,
                    coordinator.handover_source.phase if coordinator else LeavingPhase.STAYING,
                )
            )
        for process in self.processes.values():
            seen = [
                member._replace(is_alive=member.is_alive != (self.random.random() < self.misjudgement_rate))
                for member in members
            ]
            for coordinator in process.coordinators.values():
                coordinator.handover_source.update_members(seen, ENGINE_ZONES)

    def leave(self, name):
        """Starts the graceful shutdown of a process."""
        process = self.processes[name]
        process.is_ending = True
        process.call(lambda now_ms: process.coordinators[name].handover_source.leave(now_ms))

    def cancel_leaving(self, name):
        """Cancels the graceful shutdown of a process."""
        process = self.processes[name]
        process.is_ending = False
        process.call(lambda now_ms: process.coordinators[name].handover_source.stay(now_ms))

    # Engines.

    def submit_later(self, process, replica_group, tenant, session_id, query_id, mutating):
        """Submits a query some time after the answer SUBMIT; the process may pause in between."""
        self.audit.check_submit(process, replica_group, tenant, session_id, query_id, mutating)
        incarnation = process.incarnation
        self.at(
            self.random.choice([0, 1, 15]),
            lambda: process.call(
                lambda now_ms: self.submit(
                    process, incarnation, replica_group, tenant, session_id, query_id, mutating
                )
            ),
        )

    def submit(self, process, incarnation, replica_group, tenant, session_id, query_id, mutating):
        """Runs the query on its engine."""
        if process.incarnation != incarnation or not process.up:
            return
        self.audit.count_submission(query_id, mutating)
        self.run_ends_ms[query_id] = self.now + self.random.choice([30, 100, 400, 2500])
        self.poll(process, incarnation, replica_group, tenant, session_id, query_id)

    def poll(self, process, incarnation, replica_group, tenant, session_id, query_id):
        """Polls the engine of a query, for the process that submitted it, until the query has ended."""
        if process.incarnation != incarnation or not process.up:
            return
        if self.now < self.run_ends_ms[query_id]:
            self.at(
                POLL_PERIOD_MS,
                lambda: self.poll(process, incarnation, replica_group, tenant, session_id, query_id),
            )
            return

        def record_outcome(now_ms):
            if replica_group in process.coordinators:
                coordinator = process.coordinators[replica_group]
                coordinator.record_outcome(now_ms, tenant, session_id, query_id, "done")

        process.call(record_outcome)

    # The end of a run.

    def run_until_quiescent(self):
        """Ends all faults and runs until the world is quiescent; raises InvariantError after the timeout."""
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.delay_rate = 0.0
        self.misjudgement_rate = 0.0
        self.cut_links = set()
        self.mutate = None
        for group in self.groups.values():
            group.uncertain_share = 0.0
        for process in self.processes.values():
            if not process.up:
                process.start()
            elif process.paused:
                process.resume()
            if process.is_ending:
                self.cancel_leaving(process.name)
        for client in self.clients:
            client.is_quiet = True
        until_ms = self.now + QUIESCENCE_TIMEOUT_MS
        while True:
            self.run(500)
            try:
                return self.audit.check_quiescent()
            except InvariantError:
                if self.now >= until_ms:
                    raise

"""Invariants of a `migration_world`, checked after every step and in the quiescent state.

The audit sees the state of all processes and groups, which no process does.
"""

from invariants import require

from lichenquay.migration.session import SessionState


class Audit:
    """The audit of one world, and its counts."""

    def __init__(self, world):
        """Starts with counts of zero. `world`: a migration_world.World."""
        self.world = world
        self.opened = {}  # session id: tenant
        self.evicted = set()
        self.submission_counts = {}  # by query id
        self.handovers_accepted = 0
        self.submissions_allowed = 0
        self.frozen_at_ms = {}  # by session id
        self.freeze_durations_ms = []  # of accepted handovers, from freeze to acceptance

    def record_committed(self, record):
        """Counts the changes of a committed record, and checks the owners of all sessions."""
        for change in record.changes:
            kind = change.WhichOneof("kind")
            if kind == "opened":
                self.opened[change.opened.id] = change.opened.tenant
            elif kind == "dropped":
                self.evicted.add(change.dropped.id)
            elif kind == "frozen":
                self.frozen_at_ms[change.frozen.id] = self.world.now
            elif kind == "accepted":
                self.handovers_accepted += 1
                frozen_at_ms = self.frozen_at_ms[change.accepted.session.id]
                self.freeze_durations_ms.append(self.world.now - frozen_at_ms)
        for session_id in self.opened:
            self._check_owners(session_id)

    def copies_of(self, session_id):
        """Yields (group, session) for each replica group that has committed the session."""
        for group in self.world.groups.values():
            session = group.state_machine.sessions.get(session_id)
            if session is not None:
                yield group, session

    def _check_owners(self, session_id):
        copies = list(self.copies_of(session_id))
        owners = [(group.replica_group, session.generation) for group, session in copies if session.is_owned]
        require(len(owners) <= 1, f"{session_id} has two owners: {owners}")
        require(session_id in self.evicted or copies, f"{session_id} is lost")
        newest = max((session.generation for _, session in copies), default=0)
        require(not owners or owners[0][1] == newest, f"{session_id} is owned by an older generation")

    def check_submit(self, process, replica_group, tenant, session_id, query_id, mutating):
        """Checks that the committed records allow a process to submit a query, after an answer SUBMIT."""
        group = self.world.groups[replica_group]
        require(
            group.holder == (process.name, process.incarnation),
            f"{process.name} serves {replica_group}, which it does not hold",
        )
        session = group.state_machine.sessions.get(session_id)
        is_owner = session is not None and session.is_owned
        require(is_owner, f"{replica_group} serves {session_id}, which it does not own")
        others = [copy for other, copy in self.copies_of(session_id) if other is not group]
        require(
            all(copy.generation < session.generation for copy in others),
            f"{replica_group} serves an older generation of {session_id}",
        )
        is_committed = query_id in session.queries
        require(not mutating or is_committed, f"{query_id} is submitted before it is committed")
        require(session.tenant == tenant, f"{session_id} belongs to {session.tenant}, not to {tenant}")
        self.submissions_allowed += 1

    def count_submission(self, query_id, mutating):
        """Counts a query that reaches its engine; a mutating one must do so only once."""
        self.submission_counts[query_id] = self.submission_counts.get(query_id, 0) + 1
        is_first = self.submission_counts[query_id] == 1
        require(not mutating or is_first, f"{query_id} is submitted twice")

    def check(self):
        """Checks after a step that each leader has the committed state."""
        for process in self.world.processes.values():
            if process.up and not process.paused:
                for replica_group, coordinator in process.coordinators.items():
                    self._check_coordinator(process, replica_group, coordinator)

    def _check_coordinator(self, process, replica_group, coordinator):
        require(coordinator.last_error is None, coordinator.last_error)
        committed = coordinator.committed
        if committed is None or not coordinator.group.holds(0) or coordinator.pending_write is not None:
            return
        if committed.record_number == process.checked.get(replica_group):
            return
        process.checked[replica_group] = committed.record_number
        expected = self.world.groups[replica_group].states.get(committed.record_number)
        require(
            committed.state() == expected,
            f"{process.name} differs from the committed state of {replica_group}",
        )

    def check_quiescent(self):
        """Checks that each session is held by one owner, each handover acknowledged, and no client waits."""
        for session_id in self.opened:
            sessions = [session for _, session in self.copies_of(session_id)]
            owned = [session.state for session in sessions if session.is_owned]
            require(session_id in self.evicted or owned == [SessionState.HELD], f"{session_id} has no owner")
            acknowledged = all(session.acknowledged for session in sessions if not session.is_owned)
            require(acknowledged, f"{session_id} was handed over and its source has no acknowledgement")
        for client in self.world.clients:
            is_idle = client.query_id is None and client.session_id
            require(
                is_idle, f"{client.name} waits: {client.session_id} {client.query_id} {client.last_answer}"
            )

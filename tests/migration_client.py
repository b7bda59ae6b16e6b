"""A client of `migration_world`: it knows its session's id, the replica group to ask, and its query."""

from invariants import require

from lichenquay.migration.messages import AnswerKind

ENGINES = ("e1", "e2")
QUERY_MS = 5000
RETRY_KINDS = (AnswerKind.RETRY_LATER, AnswerKind.NOT_LEADER, AnswerKind.CAPACITY_EXCEEDED)


class Client:
    """Sends one query at a time, and retries it until it has ended, following redirects of its session."""

    def __init__(self, world, name, replica_group, pause_ms=120):
        """`replica_group`: where it opens its session; `pause_ms`: the longest pause between two requests."""
        self.world = world
        self.name = name
        self.tenant = name[0]
        self.replica_group = replica_group
        self.pause_ms = pause_ms
        self.session_id = None
        self.query_id = None
        self.query_number = 0
        self.load_number = 0
        self.is_mutating = False
        self.is_quiet = False  # sends no further query
        self.last_answer = None
        self.ended_queries = 0
        world.clients.append(self)
        world.at(world.random.uniform(1, pause_ms), self.send_request)

    def send_request(self):
        """Sends a request to the holder of the replica group, and schedules the next one."""
        world = self.world
        world.at(world.random.uniform(self.pause_ms / 2, self.pause_ms), self.send_request)
        holder = world.groups[self.replica_group].holder
        process = world.processes[holder[0]] if holder else None
        if process is None or not process.up or self.replica_group not in process.coordinators:
            return
        process.call(
            lambda now_ms: self.open_or_submit(
                now_ms, process, process.coordinators.get(self.replica_group), self.replica_group
            )
        )

    def open_or_submit(self, now_ms, process, coordinator, replica_group):
        """Opens the session, or submits a query; a retry has the same id."""
        if coordinator is None:
            return
        if self.session_id is None:
            coordinator.open_session(now_ms, self.tenant, self.name, self.on_opened)
            return
        random = self.world.random
        if self.query_id is None:
            if self.is_quiet:
                return
            self.query_number += 1
            self.query_id = f"{self.name}.{self.query_number}"
            self.is_mutating = random.random() < 0.5
        engine = random.choice(ENGINES)
        query_id = self.query_id

        def done(at_ms, answer):
            self.on_answer(at_ms, process, coordinator, replica_group, query_id, answer)

        coordinator.submit_query(
            now_ms, self.tenant, self.session_id, query_id, self.is_mutating, engine, QUERY_MS, done
        )

    def on_opened(self, now_ms, answer):
        """Stores the id of the opened session."""
        if answer.kind is AnswerKind.SUBMIT:
            self.session_id = answer.session_id

    def on_answer(self, now_ms, process, coordinator, replica_group, query_id, answer):
        """Handles the answer to a query."""
        self.last_answer = answer
        if answer.kind is AnswerKind.SUBMIT:
            self.world.submit_later(
                process, replica_group, self.tenant, self.session_id, query_id, self.is_mutating
            )
        elif query_id != self.query_id:
            return
        elif answer.kind in (AnswerKind.MOVED, AnswerKind.UNKNOWN):
            self.replica_group = answer.replica_group or self.replica_group
        elif answer.kind is AnswerKind.ENDED:
            self.on_ended(now_ms, coordinator, answer)
        elif answer.kind is AnswerKind.ATTACH:
            self.on_attached(now_ms, process, coordinator, replica_group, query_id, answer)
        else:
            require(answer.kind in RETRY_KINDS, f"{self.name}: {answer}")

    def on_ended(self, now_ms, coordinator, answer):
        """Ends the query; a completed load pins the session to its engine."""
        self.ended_queries += 1
        self.query_id = None
        if answer.outcome == "done" and self.is_mutating:
            self.load_number += 1
            engine = answer.engine or ENGINES[0]
            coordinator.pin_engine(now_ms, self.tenant, self.session_id, engine, self.load_number)

    def on_attached(self, now_ms, process, coordinator, replica_group, query_id, answer):
        """Asks the engine about a query that was submitted before; if it is unknown there, resubmits it."""
        require(answer.mutating == self.is_mutating, f"{query_id} is attached to another query")
        run_ends_ms = self.world.run_ends_ms.get(query_id)
        if run_ends_ms is not None:
            if self.world.now >= run_ends_ms:
                coordinator.record_outcome(now_ms, self.tenant, self.session_id, query_id, "done")
            return

        def done(at_ms, resubmitted):
            if resubmitted.kind is not AnswerKind.ATTACH:
                self.on_answer(at_ms, process, coordinator, replica_group, query_id, resubmitted)

        coordinator.resubmit_query(now_ms, self.tenant, self.session_id, query_id, ENGINES[0], QUERY_MS, done)

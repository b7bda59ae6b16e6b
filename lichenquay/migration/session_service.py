"""Requests of clients for the sessions of a replica group, and their answers. No I/O.

The gateway calls `open_session`, `submit_query`, `attach_query`, `resubmit_query`, `record_outcome` and
`pin_engine`; answers are returned or passed to `done(now_ms, Answer)`.

A query is submitted only if its session is held in both state machines: in the committed one, so that nothing
is done before its record is committed, and in the speculative one, so that nothing starts after a freeze was
decided.
"""

from collections.abc import Callable
from functools import partial

from lichenquay.lease.leadership_term import ReplicatedGroup
from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.messages import NOT_LEADER, Answer, AnswerKind
from lichenquay.migration.replicated_log import SessionLogLeader
from lichenquay.migration.session import Session, SessionQuery, SessionState, are_valid_names, session_name_of
from lichenquay.migration.session_log import MAX_SESSIONS

MAX_REMAINING_MS = 1 << 31
MAX_DEADLINE_REFERENCES = 2 * MAX_SESSIONS
FAILED_OUTCOME = "failed"
AnswerCallback = Callable[[float, Answer], None]


class SessionService(SessionLogLeader):
    """Serves the sessions of a replica group to its clients while this process leads it."""

    def __init__(self, replica_group: str, group: ReplicatedGroup):
        """Creates the service of the named replica group, stored in `group`."""
        super().__init__(replica_group, group)
        self.evicted_sessions = 0
        # By session and query id: the time from which the query's `remaining_ms` counts.
        self.deadline_reference_ms: dict[tuple[str, str], float] = {}

    def on_step_down(self) -> None:
        """Discards all state that is not in the log."""
        self.deadline_reference_ms = {}

    def forget_ended_deadlines(self) -> None:
        """Forgets the deadlines of queries that have ended, once too many are stored."""
        if len(self.deadline_reference_ms) <= MAX_DEADLINE_REFERENCES:
            return
        open_queries = {
            (session.session_id, query.query_id)
            for session in self.speculative.live_sessions
            for query in session.open_queries
        }
        self.deadline_reference_ms = {
            key: reference_ms
            for key, reference_ms in self.deadline_reference_ms.items()
            if key in open_queries
        }

    def find_session(self, tenant: str, session_id: str) -> Session | Answer:
        """Returns the committed session if this replica group serves it for this tenant, else the answer."""
        session = self.committed.sessions.get(session_id)
        if session is None:
            decided = self.speculative.sessions.get(session_id)
            if decided is not None and decided.tenant == tenant:
                return Answer(AnswerKind.RETRY_LATER, session_id)
            location = self.committed.locate(session_id)
            return Answer(AnswerKind.UNKNOWN, session_id, replica_group=location.replica_group)
        if session.tenant != tenant:
            return Answer(AnswerKind.PERMISSION_DENIED, session_id)
        if not session.is_owned:
            return Answer(AnswerKind.MOVED, session_id, replica_group=session.target)
        if session_id not in self.speculative.sessions:  # its eviction is not committed yet
            return Answer(AnswerKind.UNKNOWN, session_id, replica_group=self.replica_group)
        return session

    def open_session(self, now_ms: float, tenant: str, name: str, done: AnswerCallback) -> None:
        """Opens a session; the client is to refer to it by the id in the answer.

        If this tenant opened a session by that name here and it is still owned, its id is answered again: the
        client may not have received it.
        """
        if not self.refresh_leadership(now_ms):
            done(now_ms, NOT_LEADER)
            return
        if not are_valid_names(tenant, name):
            done(now_ms, Answer(AnswerKind.PERMISSION_DENIED))
            return
        known = self._opened_sessions(tenant, name)
        if known:
            done(now_ms, Answer(AnswerKind.SUBMIT, known[-1].session_id))
            return
        change = self.speculative.decide_open(tenant, name)
        if change is None and self.evict_idle_session():
            change = self.speculative.decide_open(tenant, name)
        if change is None:
            done(now_ms, Answer(AnswerKind.CAPACITY_EXCEEDED))
            return
        self.propose(change, partial(self._answer_opened, change.opened.id, done))
        self.flush(now_ms)

    def _opened_sessions(self, tenant: str, name: str) -> list[Session]:
        return [
            session
            for session in self.committed.sessions.values()
            if session.tenant == tenant and session.is_owned and session_name_of(session.session_id) == name
        ]

    def _answer_opened(self, session_id: str, done: AnswerCallback, now_ms: float, committed: bool) -> None:
        done(now_ms, Answer(AnswerKind.SUBMIT, session_id) if committed else NOT_LEADER)

    def evict_idle_session(self) -> bool:
        """Evicts the longest idle session; returns whether there was one. Its client is answered UNKNOWN."""
        evicted = self.propose(self.speculative.decide_evict())
        self.evicted_sessions += evicted
        return evicted

    def submit_query(
        self,
        now_ms: float,
        tenant: str,
        session_id: str,
        query_id: str,
        mutating: bool,
        engine: str,
        remaining_ms: float,
        done: AnswerCallback,
    ) -> None:
        """Answers SUBMIT for a new query: once it is committed if it is mutating, at once if it is read-only.

        A known query is attached to and not submitted again; see `resubmit_query`.
        """
        if not self.refresh_leadership(now_ms):
            done(now_ms, NOT_LEADER)
            return
        found = self.find_session(tenant, session_id)
        if isinstance(found, Answer):
            done(now_ms, found)
            return
        if query_id in self.speculative.sessions[session_id].queries:
            done(now_ms, self.attach_query(now_ms, tenant, session_id, query_id))
            return
        self.submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)

    def submit(
        self,
        now_ms: float,
        session_id: str,
        query_id: str,
        mutating: bool,
        engine: str,
        remaining_ms: float,
        done: AnswerCallback,
    ) -> None:
        """Does what `submit_query` does, without looking up the session and the query."""
        states = (self.committed.sessions[session_id].state, self.speculative.sessions[session_id].state)
        if states != (SessionState.HELD, SessionState.HELD):
            done(now_ms, Answer(AnswerKind.RETRY_LATER, session_id))
            return
        bounded_ms = int(max(0, min(remaining_ms, MAX_REMAINING_MS)))
        change = self.speculative.decide_submit(
            session_id, query_id, mutating, engine, self.generation, bounded_ms
        )
        if change is None:
            done(now_ms, Answer(AnswerKind.CAPACITY_EXCEEDED, session_id))
            return
        self.deadline_reference_ms[session_id, query_id] = now_ms
        answer = Answer(AnswerKind.SUBMIT, session_id, engine=engine, mutating=mutating)
        if mutating:
            self.propose(change, partial(self._answer_committed, answer, done))
        else:
            self.propose(change)
            done(now_ms, answer)
        self.flush(now_ms)

    def _answer_committed(self, answer: Answer, done: AnswerCallback, now_ms: float, committed: bool) -> None:
        # If the term has ended meanwhile, the next leader may already have answered that the query failed.
        done(now_ms, answer if committed and self.refresh_leadership(now_ms) else NOT_LEADER)

    def resubmit_query(
        self,
        now_ms: float,
        tenant: str,
        session_id: str,
        query_id: str,
        engine: str,
        remaining_ms: float,
        done: AnswerCallback,
    ) -> None:
        """Handles an attached query that its engine does not know.

        A read-only query is submitted again. A mutating one may have run, or an earlier owner that was paused
        may still submit it: it is recorded as failed, and never runs by this call. One that this term
        submitted stays open, because its submitter records its outcome.
        """
        answer = self.attach_query(now_ms, tenant, session_id, query_id)
        if answer.kind is not AnswerKind.ATTACH:
            done(now_ms, answer)
            return
        if not answer.mutating:
            self.submit(now_ms, session_id, query_id, False, engine, remaining_ms, done)
            return
        if self.speculative.sessions[session_id].queries[query_id].term == self.generation:
            done(now_ms, answer)
            return
        failed = Answer(AnswerKind.ENDED, session_id, outcome=FAILED_OUTCOME, mutating=True)
        change = self.speculative.decide_end(session_id, query_id, FAILED_OUTCOME)
        if not self.propose(change, partial(self._answer_committed, failed, done)):
            done(now_ms, Answer(AnswerKind.RETRY_LATER, session_id))  # its session's handover was decided
            return
        self.flush(now_ms)

    def attach_query(self, now_ms: float, tenant: str, session_id: str, query_id: str) -> Answer:
        """Answers a client that asks again for an earlier query of its session."""
        if not self.refresh_leadership(now_ms):
            return NOT_LEADER
        found = self.find_session(tenant, session_id)
        if isinstance(found, Answer):
            return found
        query = self.speculative.sessions[session_id].queries.get(query_id)
        if query is None:
            is_known = any(query_id in other.queries for other in self.committed.sessions.values())
            kind = AnswerKind.PERMISSION_DENIED if is_known else AnswerKind.UNKNOWN
            return Answer(kind, session_id)
        if query.outcome:
            return Answer(AnswerKind.ENDED, session_id, outcome=query.outcome, mutating=query.mutating)
        if query.mutating and query_id not in found.queries:
            return Answer(AnswerKind.RETRY_LATER, session_id)
        return Answer(AnswerKind.ATTACH, session_id, engine=query.engine, mutating=query.mutating)

    def record_outcome(
        self, now_ms: float, tenant: str, session_id: str, query_id: str, outcome: str
    ) -> bool:
        """Records the outcome of a query; returns False, without any loss, if this replica group may not."""
        return self._propose_if_owned(
            now_ms, tenant, session_id, lambda: self.speculative.decide_end(session_id, query_id, outcome)
        )

    def pin_engine(self, now_ms: float, tenant: str, session_id: str, engine: str, load_number: int) -> bool:
        """Records the engine that has the session's tables, and the number of the last completed load."""
        return self._propose_if_owned(
            now_ms, tenant, session_id, lambda: self.speculative.decide_pin(session_id, engine, load_number)
        )

    def _propose_if_owned(
        self, now_ms: float, tenant: str, session_id: str, decide: Callable[[], pb.Change | None]
    ) -> bool:
        proposed = (
            self.refresh_leadership(now_ms)
            and not isinstance(self.find_session(tenant, session_id), Answer)
            and self.propose(decide())
        )
        self.flush(now_ms)
        return proposed

    def remaining_ms(self, now_ms: float, session_id: str, query: SessionQuery) -> int:
        """Returns the time until a query's deadline, by this process's clock.

        For a query that an earlier term submitted or received, it is counted from the start of this term.
        """
        reference_ms = self.deadline_reference_ms.get((session_id, query.query_id), self.term_started_ms)
        return int(max(0, query.remaining_ms - (now_ms - reference_ms)))

"""A scripted exchange of the migration protocol between three replica groups, as bytes.

The clock and the network are deterministic, so revisions with the same behaviour produce the same transcript.
`golden/migration/transcript.json` was written by revision 0018238.
"""

from replicated_group import StableGroup

from lichenquay.migration import replica_group_state
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.session import SessionState
from lichenquay.migration.settings import MigrationSettings
from lichenquay.migration.target_selection import GatewayStatus
from lichenquay.quota import ledger_records

STEP_MS = 50
GENERATION = 2  # of each group
END_MS = 14_000
GROUPS = ("gateway-0", "gateway-1", "gateway-2")
SETTINGS = MigrationSettings(announce_ms=300.0, max_leaving_share=0.5)
ZONES = {"engine-1": "west", "engine-2": "east"}
STATE_NAMES = {  # the names in revision 0018238
    SessionState.HELD: "held",
    SessionState.FROZEN: "frozen",
    SessionState.OFFERED: "offered",
    SessionState.HANDED_OVER: "gone",
}


class Exchange:
    """The coordinators, their messages in order, and the records of each replica group."""

    def __init__(self):
        """Starts at 0 ms, before the first session is opened."""
        self.groups = {name: StableGroup(GENERATION) for name in GROUPS}
        self.coordinators = {name: Coordinator(name, self.groups[name], SETTINGS) for name in GROUPS}
        self.messages = []
        self.answers = []
        self.ids = {}
        self.unreachable = set()

    def run(self):
        """Runs the whole script and returns self."""
        for now_ms in range(0, END_MS, STEP_MS):
            for group in self.groups.values():
                group.complete_writes(now_ms)
            self._run_action(now_ms)
            self._update_members()
            for name, coordinator in self.coordinators.items():
                if now_ms >= coordinator.due_ms:
                    coordinator.tick(now_ms)
                self._deliver(now_ms, name, coordinator)
        return self

    def _run_action(self, now_ms):
        action = ACTIONS.get(now_ms)
        if action is not None:
            action(self, now_ms)

    def _update_members(self):
        members = [
            GatewayStatus(
                name,
                coordinator.handover_target.free_bytes if coordinator.committed else 0,
                phase=coordinator.handover_source.phase,
                zone={"gateway-1": "west", "gateway-2": "east"}.get(name, ""),
            )
            for name, coordinator in self.coordinators.items()
        ]
        for coordinator in self.coordinators.values():
            coordinator.handover_source.update_members(members, ZONES)

    def _deliver(self, now_ms, sender, coordinator):
        outbox, coordinator.outbox[:] = list(coordinator.outbox), []
        for to, message in outbox:
            self.messages.append(message.SerializeToString())
            if to not in self.unreachable:
                self.coordinators[to].on_message(now_ms, (sender, 1), message)

    def answer_recorder(self, name=None):
        """Returns a callback that records an answer, and stores the id of an opened session under `name`."""

        def record(now_ms, answer):
            self.answers.append([now_ms, answer.kind.value, *answer[1:]])
            if name is not None:
                self.ids[name] = answer.session_id

        return record

    def open(self, now_ms, group, tenant, name):
        """Opens a session as a client does."""
        self.coordinators[group].open_session(now_ms, tenant, name, self.answer_recorder(name))

    def submit(self, now_ms, group, tenant, name, query_id, mutating):
        """Submits a query as a client does."""
        self.coordinators[group].submit_query(
            now_ms, tenant, self.ids[name], query_id, mutating, "engine-1", 60_000, self.answer_recorder()
        )

    def transcript(self):
        """Returns what is compared with the golden file; bytes are hexadecimal digits."""
        bases = {}
        for name, group in self.groups.items():
            pieces = [piece for record in group.records for piece in ledger_records.split(record)]
            half = len(pieces) // 2
            fold = replica_group_state.make_fold(name)
            base_after_half = fold(b"", pieces[:half])
            bases[name] = {
                "records": [record.hex() for record in group.records],
                "base_after_half": base_after_half.hex(),
                "base_at_end": fold(base_after_half, pieces[half:]).hex(),
                "state": self.coordinators[name].committed.state().hex(),
                "sessions": [
                    [*session[:3], STATE_NAMES[session.state]] for session in self.coordinators[name].status()
                ],
            }
        return {
            "messages": [message.hex() for message in self.messages],
            "answers": self.answers,
            "replica_groups": bases,
        }


def _open_sessions(exchange, now_ms):
    exchange.open(now_ms, "gateway-0", "north", "reports")
    exchange.open(now_ms, "gateway-0", "south", "loads")
    exchange.open(now_ms, "gateway-2", "south", "idle")


def _submit_queries(exchange, now_ms):
    exchange.submit(now_ms, "gateway-0", "north", "reports", "query-1", False)
    exchange.submit(now_ms, "gateway-0", "south", "loads", "load-1", True)
    exchange.submit(now_ms, "gateway-0", "south", "loads", "load-2", True)


def _end_queries(exchange, now_ms):
    coordinator = exchange.coordinators["gateway-0"]
    coordinator.record_outcome(now_ms, "north", exchange.ids["reports"], "query-1", "done")
    coordinator.record_outcome(now_ms, "south", exchange.ids["loads"], "load-1", "done")
    coordinator.pin_engine(now_ms, "south", exchange.ids["loads"], "engine-1", 1)


def _attach(exchange, now_ms):
    for tenant, name, query_id in (
        ("north", "reports", "query-1"),
        ("south", "loads", "load-2"),
        ("north", "loads", "load-2"),
    ):
        answer = exchange.coordinators["gateway-0"].attach_query(now_ms, tenant, exchange.ids[name], query_id)
        exchange.answer_recorder()(now_ms, answer)


def _leave_while_others_are_unreachable(exchange, now_ms):
    exchange.unreachable = {"gateway-1", "gateway-2"}
    exchange.coordinators["gateway-0"].handover_source.leave(now_ms)


def _reconnect_others(exchange, now_ms):
    exchange.unreachable = set()


def _ask_the_old_owner(exchange, now_ms):
    exchange.submit(now_ms, "gateway-0", "north", "reports", "query-2", False)
    exchange.submit(now_ms, "gateway-0", "south", "loads", "load-3", True)


def _ask_the_new_owner(exchange, now_ms):
    for group in ("gateway-1", "gateway-2"):
        exchange.submit(now_ms, group, "south", "loads", "load-2", True)
        exchange.submit(now_ms, group, "north", "reports", "query-1", False)
        coordinator = exchange.coordinators[group]
        coordinator.resubmit_query(
            now_ms, "south", exchange.ids["loads"], "load-2", "engine-1", 50_000, exchange.answer_recorder()
        )


def _evict_idle_session(exchange, now_ms):
    coordinator = exchange.coordinators["gateway-2"]
    exchange.answers.append([now_ms, str(coordinator.evict_idle_session())])
    coordinator.flush(now_ms)


ACTIONS = {
    0: _open_sessions,
    200: _submit_queries,
    400: _end_queries,
    600: _attach,
    1_000: _leave_while_others_are_unreachable,
    4_000: _reconnect_others,
    10_000: _ask_the_old_owner,
    11_000: _ask_the_new_owner,
    12_000: _evict_idle_session,
}

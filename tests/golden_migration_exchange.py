"""A scripted exchange of the migration protocol between three replica groups, as bytes.

The clock and the network are deterministic, so that two revisions that behave the same produce the same
transcript. `golden/migration/transcript.json` is the one of revision 0018238.
"""

from replicated_group import StableGroup

from lichenquay.migration import replica_group_state
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.session import SessionState
from lichenquay.migration.settings import MigrationSettings
from lichenquay.migration.target_selection import Member
from lichenquay.quota import ledger_records

STEP_MS = 50
GENERATION = 2  # of each group
END_MS = 14_000
GROUPS = ("gateway-0", "gateway-1", "gateway-2")
SETTINGS = MigrationSettings(announce_ms=300.0, max_leaving_share=0.5)
ZONES = {"engine-1": "west", "engine-2": "east"}
STATE_NAMES = {  # as revision 0018238 calls them
    SessionState.HELD: "held",
    SessionState.FROZEN: "frozen",
    SessionState.OFFERED: "offered",
    SessionState.HANDED_OVER: "gone",
}


class Exchange:
    """The coordinators, their messages in order, and the records of each replica group."""

    def __init__(self):
        """At 0 ms, before the first session."""
        self.groups = {name: StableGroup(GENERATION) for name in GROUPS}
        self.coordinators = {name: Coordinator(name, self.groups[name], SETTINGS) for name in GROUPS}
        self.messages = []
        self.answers = []
        self.ids = {}
        self.deaf = set()

    def run(self):
        """To the end of the script."""
        for now_ms in range(0, END_MS, STEP_MS):
            for group in self.groups.values():
                group.complete_writes(now_ms)
            self._act(now_ms)
            self._tell_members()
            for name, coordinator in self.coordinators.items():
                if now_ms >= coordinator.due_ms:
                    coordinator.tick(now_ms)
                self._deliver(now_ms, name, coordinator)
        return self

    def _act(self, now_ms):
        action = ACTIONS.get(now_ms)
        if action is not None:
            action(self, now_ms)

    def _tell_members(self):
        members = [
            Member(
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
            if to not in self.deaf:
                self.coordinators[to].on_message(now_ms, (sender, 1), message)

    def answered(self, name=None):
        """A callback that records an answer; the id of a session that was opened is kept under `name`."""

        def record(now_ms, answer):
            self.answers.append([now_ms, answer.kind.value, *answer[1:]])
            if name is not None:
                self.ids[name] = answer.session_id

        return record

    def open(self, now_ms, group, tenant, name):
        """A client opens a session."""
        self.coordinators[group].open_session(now_ms, tenant, name, self.answered(name))

    def take(self, now_ms, group, tenant, name, ref, mutating):
        """A client asks a query."""
        self.coordinators[group].submit_query(
            now_ms, tenant, self.ids[name], ref, mutating, "engine-1", 60_000, self.answered()
        )

    def transcript(self):
        """What is compared with the golden file: bytes as hexadecimal digits."""
        bases = {}
        for name, group in self.groups.items():
            pieces = [piece for record in group.records for piece in ledger_records.split(record)]
            half = len(pieces) // 2
            fold = replica_group_state.fold_of(name)
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


def _take_queries(exchange, now_ms):
    exchange.take(now_ms, "gateway-0", "north", "reports", "query-1", False)
    exchange.take(now_ms, "gateway-0", "south", "loads", "load-1", True)
    exchange.take(now_ms, "gateway-0", "south", "loads", "load-2", True)


def _end_queries(exchange, now_ms):
    coordinator = exchange.coordinators["gateway-0"]
    coordinator.record_outcome(now_ms, "north", exchange.ids["reports"], "query-1", "done")
    coordinator.record_outcome(now_ms, "south", exchange.ids["loads"], "load-1", "done")
    coordinator.pin_engine(now_ms, "south", exchange.ids["loads"], "engine-1", 1)


def _attach(exchange, now_ms):
    for tenant, name, ref in (
        ("north", "reports", "query-1"),
        ("south", "loads", "load-2"),
        ("north", "loads", "load-2"),
    ):
        answer = exchange.coordinators["gateway-0"].attach_query(now_ms, tenant, exchange.ids[name], ref)
        exchange.answered()(now_ms, answer)


def _leave_while_others_hear_nothing(exchange, now_ms):
    exchange.deaf = {"gateway-1", "gateway-2"}
    exchange.coordinators["gateway-0"].handover_source.leave(now_ms)


def _others_hear_again(exchange, now_ms):
    exchange.deaf = set()


def _ask_the_old_owner(exchange, now_ms):
    exchange.take(now_ms, "gateway-0", "north", "reports", "query-2", False)
    exchange.take(now_ms, "gateway-0", "south", "loads", "load-3", True)


def _ask_the_new_owner(exchange, now_ms):
    for group in ("gateway-1", "gateway-2"):
        exchange.take(now_ms, group, "south", "loads", "load-2", True)
        exchange.take(now_ms, group, "north", "reports", "query-1", False)
        coordinator = exchange.coordinators[group]
        coordinator.resubmit_query(
            now_ms, "south", exchange.ids["loads"], "load-2", "engine-1", 50_000, exchange.answered()
        )


def _drop_the_idle(exchange, now_ms):
    coordinator = exchange.coordinators["gateway-2"]
    exchange.answers.append([now_ms, str(coordinator.evict_idle_session())])
    coordinator.flush(now_ms)


ACTIONS = {
    0: _open_sessions,
    200: _take_queries,
    400: _end_queries,
    600: _attach,
    1_000: _leave_while_others_hear_nothing,
    4_000: _others_hear_again,
    10_000: _ask_the_old_owner,
    11_000: _ask_the_new_owner,
    12_000: _drop_the_idle,
}

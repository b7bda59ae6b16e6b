"""A worker process of the load generator, which sends each query at its intended time.

    python -m lichenquay.load.worker JOB

JOB is a JSON file (see `worker_job`). The worker prints READY when all connections are open. On its standard
input, `START SECONDS` (on the monotonic clock) starts the run, and `STOP` ends its sending. The worker prints
DONE when the results are written.
"""

import gc
import signal
import sys
import time
from collections import deque
from math import inf

import numpy as np
from twisted.internet import reactor, stdio
from twisted.protocols.basic import LineReceiver

from lichenquay.gateway import frames
from lichenquay.load.client_connection import ClientConnectionFactory
from lichenquay.load.client_query import ClientQuery
from lichenquay.load.task import Task
from lichenquay.load.worker_job import DONE, READY, START, STOP, read_job
from lichenquay.load.worker_results import LatencyRecorder, WorkerCounters, write_facts, write_table

ANSWER_GRACE_MS = 400.0  # beyond its timeout; then a query without an answer counts as silent
STOP_GRACE_MS = 1000.0  # wait for answers after STOP
TICK_INTERVAL_S = 0.001
CONNECT_TIMEOUT_S = 5
RETRY_DELAY_MIN_S = 0.02
RETRY_DELAY_MAX_S = 0.2
RECENT_QUERY_COUNT = 4096  # checked for outstanding queries


class Worker:
    """Sends its part of the plan on its connections, and records each query."""

    def __init__(self, job):
        """Initializes a worker from its `WorkerJob`, and opens the plan of the job."""
        self.job = job
        self.groups = {group.name: group for group in job.groups}
        self.plan = np.load(job.plan_path, allow_pickle=False)
        self.columns = {}  # of the plan, as lists
        self.planned_ms = []
        self.next_planned = 0
        self.queries = []
        self.connections = {}  # by address: lists
        self.waiting = {}  # by address: queues of queries without a free stream
        self.random = np.random.default_rng(job.seed)
        self.recorder = LatencyRecorder(self.groups)
        self.started_s = None  # on the monotonic clock
        self.is_stopped = False
        self.stopped_ms = 0.0
        self.cpu_at_start_s = 0.0
        self.unknown_answers = 0
        self.notices = 0
        self.failed_connects = 0
        self.lost_connections = 0

    def now_ms(self):
        """Returns the time since the start of the run, or 0 before it."""
        if self.started_s is None:
            return 0.0
        return (time.monotonic() - self.started_s) * 1000

    def open_connections(self):
        """Opens the connections from all addresses of the job."""
        for address in self.job.addresses:
            self.connect(address)

    def connect(self, address):
        """Opens a connection from the given address."""
        if self.is_stopped:
            return
        host, _, port = self.job.target.rpartition(":")
        factory = ClientConnectionFactory(self, address)
        reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S, bindAddress=(address, 0))

    def on_connected(self, connection):
        """Adds a connection, and tells the parent when all are open."""
        self.connections.setdefault(connection.address, []).append(connection)
        connection_count = sum(map(len, self.connections.values()))
        if self.started_s is None and connection_count == len(self.job.addresses):
            self._tell_parent(READY)
        self.send_waiting(connection)

    def on_going_away(self, connection):
        """Replaces a connection that accepts no more queries; its open queries are still answered."""
        if connection in self.connections.get(connection.address, ()):
            self.connections[connection.address].remove(connection)
            self.connect(connection.address)

    def on_connection_lost(self, connection):
        """Marks the open queries of a connection, and replaces it."""
        for query in connection.open_queries.values():
            query.connection_lost = True
        if connection.open_queries:
            self.lost_connections += 1
        connection.open_queries.clear()
        self.on_going_away(connection)

    def start(self, started_s):
        """Starts the run, whose time 0 is `started_s` on the monotonic clock."""
        self.started_s = started_s
        self.columns = {name: self.plan[name].tolist() for name in self.plan.files}
        self.planned_ms = self.columns["at_ms"]
        # Without a freeze, garbage collections would scan the many objects of the plan and delay the sending.
        gc.collect()
        gc.freeze()
        self.cpu_at_start_s = time.process_time()
        if self.job.is_closed_loop:
            for connections in list(self.connections.values()):
                for connection in list(connections):
                    self._schedule_closed_loop(connection)
        self._tick()

    def stop(self):
        """Ends the sending, or the process if the run has not started."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self.stopped_ms = self.now_ms()
        if self.started_s is None:
            self._finish()

    def send_waiting(self, connection):
        """Sends waiting queries of the connection's address on its free streams."""
        waiting = self.waiting.get(connection.address)
        while waiting and self._can_send_on(connection):
            self._send_on(connection, waiting.popleft())

    def on_answer(self, query, payload, now_ms):
        """Records the first answer to a query, and schedules a retry if it was rejected."""
        query.answer_count = 1
        query.answered_ms = now_ms
        query.answer_code = payload[0]
        self.recorder.record_latency(query.group, now_ms - query.at_ms)
        if query.answer_code == frames.AnswerCode.COMPLETED and self.job.checks_rows:
            body = bytes(frames.read_fields(payload[1:])[1])
            expected_rows = query.task.rows
            query.has_wrong_rows = (
                body.count(b"\n") != expected_rows or body.count(query.ref.encode()) != expected_rows
            )
        is_rejected = query.answer_code == frames.AnswerCode.REJECTED
        if is_rejected and query.retry_count < self.job.max_retries and not self.is_stopped:
            delay_s = self.random.uniform(RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S)
            reactor.callLater(delay_s, self._retry, query)
        if self.job.is_closed_loop:
            self._schedule_closed_loop(query.connection)

    def _tick(self):
        now_ms = self.now_ms()
        if not self.job.is_closed_loop:
            self._send_due(now_ms)
        if self._is_finished(now_ms):
            self._finish()
            return
        reactor.callLater(TICK_INTERVAL_S, self._tick)

    def _send_due(self, now_ms):
        while (
            self.next_planned < len(self.planned_ms)
            and self.planned_ms[self.next_planned] <= now_ms
            and not self.is_stopped
        ):
            query = self._planned_query(self.next_planned)
            self.next_planned += 1
            self._send(query)

    def _is_finished(self, now_ms):
        all_sent = self.next_planned >= len(self.planned_ms) and not self.job.is_closed_loop
        if not (self.is_stopped or all_sent or now_ms > self.job.end_ms):
            return False
        if now_ms > self.job.end_ms + self.job.longest_timeout_ms + ANSWER_GRACE_MS:
            return True
        if self.is_stopped and now_ms > self.stopped_ms + STOP_GRACE_MS:
            return True
        return not self._has_outstanding()

    def _has_outstanding(self):
        for connections in self.connections.values():
            if any(connection.open_queries for connection in connections):
                return True
        if any(self.waiting.values()):
            return True
        return any(query.is_outstanding for query in self.queries[-RECENT_QUERY_COUNT:])

    def _next_ref(self):
        return f"{self.job.index + 1:04x}{self.job.run:04x}{len(self.queries):08x}"

    def _planned_query(self, index):
        columns = self.columns
        group = self.groups[columns["group"][index]]
        ref = self._next_ref()
        task = Task(
            ref=ref,
            group=group.name,
            work_ms=columns["work_ms"][index],
            memory_mb=columns["memory_mb"][index],
            threads=group.threads,
            rows=group.rows,
            tables=str(columns["tables"][index]),
            load=group.load,
        )
        all_addresses = self.job.all_addresses
        query = ClientQuery(
            ref=ref,
            group=group.name,
            tenant=columns["tenant"][index],
            address=all_addresses[columns["address"][index] % len(all_addresses)],
            at_ms=columns["at_ms"][index],
            task=task,
            estimated_work_ms=columns["effort_ms"][index],
            estimated_memory_mb=columns["claim_mb"][index],
            timeout_ms=int(group.timeout_ms),
            cancel_after_ms=columns["leave_ms"][index],
        )
        self.queries.append(query)
        return query

    def _retry(self, rejected):
        """Sends a rejected query again, as a new query that is due now."""
        query = ClientQuery(
            ref=self._next_ref(),
            group=rejected.group,
            tenant=rejected.tenant,
            address=rejected.address,
            at_ms=self.now_ms(),
            task=rejected.task,
            estimated_work_ms=rejected.estimated_work_ms,
            estimated_memory_mb=rejected.estimated_memory_mb,
            timeout_ms=rejected.timeout_ms,
            cancel_after_ms=inf,
            retry_count=rejected.retry_count + 1,
        )
        query.task.ref = query.ref
        self.queries.append(query)
        self._send(query)

    def _send(self, query):
        """Sends a query on the least used connection of its address, or queues it for a free stream."""
        now_ms = self.now_ms()
        query.due_handled_ms = now_ms
        self.recorder.record_lag(now_ms - query.at_ms)
        if query.address not in self.connections:
            query.address = self.job.addresses[len(self.queries) % len(self.job.addresses)]
        connections = self.connections.get(query.address, ())
        free = [connection for connection in connections if connection.has_free_stream]
        if free:
            self._send_on(min(free, key=lambda connection: len(connection.open_queries)), query)
            return
        query.waited_for_stream = True
        self.waiting.setdefault(query.address, deque()).append(query)

    def _can_send_on(self, connection):
        is_in_use = connection in self.connections.get(connection.address, ())
        return connection.has_free_stream and not connection.is_going_away and is_in_use

    def _send_on(self, connection, query):
        query.sent_ms = self.now_ms()
        connection.send(query)
        if query.cancel_after_ms < query.timeout_ms:
            reactor.callLater(query.cancel_after_ms / 1000, self._cancel, query)

    @staticmethod
    def _cancel(query):
        if query.connection.cancel(query):
            query.is_cancelled = True

    def _schedule_closed_loop(self, connection):
        """Schedules the next query of a connection, once the last one is answered.

        Sends that fell due while the last query was open are skipped, and latency counts from the actual
        send, so a closed loop hides a stall.
        """
        now_ms = self.now_ms()
        if self.is_stopped or now_ms > self.job.end_ms:
            return
        # Drawn in each call, though used only in the first, so that later draws are the same for a seed.
        first_send_ms = self.random.uniform(0, self.job.send_interval_ms)
        if connection.next_send_ms is None:
            connection.next_send_ms = first_send_ms
        send_ms = max(now_ms, connection.next_send_ms)
        connection.next_send_ms = send_ms + self.job.send_interval_ms
        reactor.callLater(max(0.0, send_ms - now_ms) / 1000, self._send_closed_loop, connection)

    def _send_closed_loop(self, connection):
        if self.is_stopped or self.now_ms() > self.job.end_ms or not connection.transport.connected:
            return
        query = self._planned_query(self.next_planned % len(self.planned_ms))
        self.next_planned += 1
        query.at_ms = self.now_ms()
        query.due_handled_ms = query.at_ms
        self._send_on(connection, query)

    def _finish(self):
        """Writes the results and ends the process."""
        self.is_stopped = True
        cpu_s = time.process_time() - self.cpu_at_start_s
        write_table(self.job.output_path, self.queries)
        # Writing the table counts towards the duration of the run, but not towards its processor time.
        counters = WorkerCounters(
            unknown_answers=self.unknown_answers,
            notices=self.notices,
            failed_connects=self.failed_connects,
            lost_connections=self.lost_connections,
            cpu_s=cpu_s,
            run_seconds=self.now_ms() / 1000,
        )
        write_facts(self.job.output_path, self.recorder, counters)
        self._tell_parent(DONE)
        reactor.stop()

    @staticmethod
    def _tell_parent(message):
        print(message, flush=True)


class ParentCommands(LineReceiver):
    """Reads the commands of the parent process from standard input."""

    delimiter = b"\n"

    def __init__(self, worker):
        """Initializes the reader of commands for a worker."""
        self.worker = worker

    def lineReceived(self, line):
        """Handles the commands START and STOP."""
        command, _, argument = line.decode().partition(" ")
        if command == START:
            started_s = float(argument)
            reactor.callLater(max(0.0, started_s - time.monotonic()), self.worker.start, started_s)
        elif command == STOP:
            self.worker.stop()

    def connectionLost(self, reason):
        """Stops the worker, as its parent has exited."""
        self.worker.stop()


def main():
    """Runs a worker with the job file named by the first argument."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent decides when to stop
    worker = Worker(read_job(sys.argv[1]))
    stdio.StandardIO(ParentCommands(worker))
    reactor.callWhenRunning(worker.open_connections)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()

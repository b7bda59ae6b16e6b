"""A run of the load generator: the plan, the worker processes, and their results.

If a worker is killed or the run is interrupted, the results so far are kept and the missing ones are named.
"""

import contextlib
import json
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np
import pyarrow as pa
import structlog
from pyarrow import parquet

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.load.child import read_line, start_module
from lichenquay.load.errors import RunError
from lichenquay.load.plan import draw_plan
from lichenquay.load.trace import read_trace, write_trace
from lichenquay.load.worker_job import DONE, READY, START, STOP, JobGroup, WorkerJob, write_job
from lichenquay.load.worker_results import new_histogram

READY_TIMEOUT_S = 15.0
END_TIMEOUT_S = 15.0  # beyond the longest query timeout
STOP_TIMEOUT_S = 1.5  # wait for answers after an interrupt
START_DELAY_S = 0.3  # time for all workers to read START
MAX_SLEEP_S = 0.05
MIN_SLEEP_S = 0.001
EXIT_TIMEOUT_S = 2
WORKER_STREAM = 4  # index of the workers' random stream among those of a seed

ADDRESSES_PER_BLOCK = 250
BLOCKS_PER_NETWORK = 250
NETWORKS = 100

log = structlog.get_logger()


@dataclass
class RunResult:
    """The results of all workers.

    The table has one row per query, histograms are in microseconds, and `missing` describes lost results.
    """

    table: pa.Table | None
    latency: dict
    lag: object
    worker_facts: list
    missing: list = field(default_factory=list)
    started_ms: float = 0.0  # on the monotonic clock
    interrupted: bool = False
    seconds: float = 0.0

    def columns(self) -> dict[str, np.ndarray]:
        """Returns the table as arrays by column name; empty if no worker wrote a table."""
        if not self.table:
            return {}
        return {
            name: self.table.column(name).to_numpy(zero_copy_only=False) for name in self.table.column_names
        }


def client_addresses(load: pb.Load) -> list[str]:
    """Returns the loopback addresses of the clients, one for each connection."""
    return [_client_address(connection % load.addresses) for connection in range(load.connections)]


def _client_address(index):
    network = 1 + index // (ADDRESSES_PER_BLOCK * BLOCKS_PER_NETWORK) % NETWORKS
    block = index // ADDRESSES_PER_BLOCK % BLOCKS_PER_NETWORK
    return f"127.{network}.{block}.{2 + index % ADDRESSES_PER_BLOCK}"


class Workers:
    """The worker processes of a run."""

    def __init__(self, testbed, target, out, rows=True, plan=None, run=0):
        """Writes the plan and the jobs of the workers.

        Parameters
        ----------
        testbed: the settings of the load, the groups and the tenants.
        target: the address of the gateway, HOST:PORT.
        out: the folder for the run's files.
        rows: whether workers check the rows of results.
        plan: columns as from `draw_plan`; by default the trace of the settings, or a drawn plan.
        run: a number that makes the refs of concurrent runs distinct.
        """
        self.testbed = testbed
        self.out = Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        self.plan = self._default_plan() if plan is None else plan
        write_trace(self.out / "plan.parquet", self.plan)
        self.end_s = self._end_ms() / 1000
        self.jobs = self._make_jobs(target, checks_rows=rows, run=run)
        self.processes = []
        self.started_ms = 0.0
        for job in self.jobs:
            self._write_plan_part(job)
            self.write_job(job)

    def start(self) -> None:
        """Starts the processes. Raises RunError if one cannot connect to its target."""
        for job in self.jobs:
            self.processes.append(start_module("lichenquay.load.worker", str(self._job_path(job))))
        for process in self.processes:
            if read_line(process, READY_TIMEOUT_S) != READY:
                self.close()
                raise RunError("a worker of the load generator could not connect to its target")

    def run(self, progress=lambda completed: None, during=()) -> RunResult:
        """Runs the load and returns its results. Ctrl-C ends the sending and keeps the results so far.

        Parameters
        ----------
        progress: called with the share of the run that has passed, 0 to 1.
        during: (seconds, function) pairs; each function is called at its time since the start of the run.
        """
        started_s = time.monotonic() + START_DELAY_S
        self.started_ms = started_s * 1000
        self._send_command(f"{START} {started_s!r}")
        interrupted = False
        try:
            self._wait_until_end(started_s, progress, sorted(during, key=lambda pair: pair[0]))
        except KeyboardInterrupt:
            interrupted = True
            log.warning("run interrupted", after_s=round(time.monotonic() - started_s, 1))
            self._send_command(STOP)
        seconds = min(self.end_s, time.monotonic() - started_s)
        self._wait_until_done(interrupted)
        self.close()
        progress(1.0)
        return self._collect_results(interrupted, seconds)

    def close(self) -> None:
        """Waits for the processes to exit, and kills those that do not exit in time."""
        for process in self.processes:
            with contextlib.suppress(OSError):
                process.stdin.close()
            try:
                process.wait(EXIT_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()

    def write_job(self, job: WorkerJob) -> None:
        """Writes the job file of a worker; called again after a change of the job."""
        write_job(self._job_path(job), job)

    def _default_plan(self):
        testbed = self.testbed
        if testbed.load.trace:
            return read_trace(testbed.load.trace, testbed, testbed.seed)
        return draw_plan(testbed)

    def _end_ms(self):
        at_ms = self.plan["at_ms"]
        if self.testbed.load.trace and len(at_ms):
            return float(at_ms[-1])
        return self.testbed.load.seconds * 1000

    def _make_jobs(self, target, checks_rows, run):
        testbed = self.testbed
        load = testbed.load
        addresses = client_addresses(load)
        all_addresses = sorted(set(addresses))
        groups = [
            JobGroup(
                name=group.name,
                threads=group.threads,
                rows=group.rows,
                load=group.load,
                timeout_ms=group.timeout_ms,
            )
            for group in testbed.groups
        ]
        return [
            WorkerJob(
                index=index,
                run=run,
                plan_path=str(self.out / f"plan-{index}.npz"),
                output_path=str(self.out / f"worker-{index}"),
                target=target,
                addresses=addresses[index :: load.workers],
                all_addresses=all_addresses,
                groups=groups,
                seed=[testbed.seed, WORKER_STREAM, index],
                max_retries=load.repeats,
                is_closed_loop=load.closed,
                checks_rows=checks_rows,
                end_ms=self._end_ms(),
                longest_timeout_ms=max(group.timeout_ms for group in testbed.groups),
                send_interval_ms=1000.0 * load.connections / load.rate,
            )
            for index in range(load.workers)
        ]

    def _write_plan_part(self, job):
        part = {}
        for name, column in self.plan.items():
            values = np.asarray(column)[job.index :: len(self.jobs)]
            part[name] = values.astype(str) if values.dtype == object else values
        np.savez(job.plan_path, **part)

    def _job_path(self, job):
        return self.out / f"job-{job.index}.json"

    def _wait_until_end(self, started_s, progress, calls):
        while True:
            elapsed_s = time.monotonic() - started_s
            if elapsed_s >= self.end_s or all(process.poll() is not None for process in self.processes):
                return
            while calls and calls[0][0] <= elapsed_s:
                _, call = calls.pop(0)
                call()
            progress(max(0.0, min(1.0, elapsed_s / self.end_s)))
            next_s = calls[0][0] if calls else self.end_s
            time.sleep(min(MAX_SLEEP_S, max(MIN_SLEEP_S, next_s - elapsed_s)))

    def _wait_until_done(self, interrupted):
        longest_timeout_s = max(job.longest_timeout_ms for job in self.jobs) / 1000
        answers_s = STOP_TIMEOUT_S if interrupted else longest_timeout_s
        deadline_s = time.monotonic() + answers_s + END_TIMEOUT_S
        for process in self.processes:
            while process.poll() is None and time.monotonic() < deadline_s:
                if read_line(process, 0.5) == DONE:
                    break

    def _send_command(self, command):
        for process in self.processes:
            # A process that has exited is reported with the results.
            with contextlib.suppress(OSError):
                process.stdin.write(command + "\n")
                process.stdin.flush()

    def _collect_results(self, interrupted, seconds):
        result = RunResult(
            table=None,
            latency={},
            lag=new_histogram(),
            worker_facts=[],
            started_ms=self.started_ms,
            interrupted=interrupted,
            seconds=seconds,
        )
        tables = []
        for job in self.jobs:
            output_path = Path(job.output_path)
            try:
                facts = json.loads(output_path.with_suffix(".json").read_text())
                tables.append(parquet.read_table(output_path.with_suffix(".parquet")))
            except (OSError, ValueError, pa.ArrowInvalid):
                result.missing.append(self._describe_missing(job))
                continue
            result.lag.decode_and_add(facts.pop("lag"))
            for group, encoded in facts.pop("latency").items():
                result.latency.setdefault(group, new_histogram()).decode_and_add(encoded)
            result.worker_facts.append(facts)
        if tables:
            result.table = pa.concat_tables(tables)
            parquet.write_table(result.table, self.out / "queries.parquet")
        return result

    def _describe_missing(self, job):
        query_count = len(np.load(job.plan_path)["at_ms"])
        return f"worker {job.index} of {len(self.jobs)}: {query_count} queries meant for it"

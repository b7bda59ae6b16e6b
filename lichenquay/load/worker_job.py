"""The JSON job file of a worker process, and the messages between the worker and its parent."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

READY = "READY"  # from the worker: all connections are open
START = "START"  # to the worker, with the start time on the monotonic clock in seconds
STOP = "STOP"  # to the worker: it ends the sending
DONE = "DONE"  # from the worker: its results are written


@dataclass(frozen=True)
class JobGroup:
    """The settings of a query group that a worker uses."""

    name: str
    threads: int
    rows: int
    load: bool
    timeout_ms: float


@dataclass
class WorkerJob:
    """The job of one worker process."""

    index: int
    run: int
    plan_path: str  # .npz with the worker's part of the plan
    output_path: str  # without a suffix
    target: str
    addresses: list[str]  # of the worker's connections
    all_addresses: list[str]  # of the whole run
    groups: list[JobGroup]
    seed: list[int]
    max_retries: int
    is_closed_loop: bool
    checks_rows: bool
    end_ms: float
    longest_timeout_ms: float
    send_interval_ms: float  # of each connection in a closed loop


# Keys of the file, by attribute.
JOB_KEYS = {
    "index": "number",
    "run": "run",
    "plan_path": "plan",
    "output_path": "out",
    "target": "target",
    "addresses": "addresses",
    "all_addresses": "all_addresses",
    "groups": "groups",
    "seed": "seed",
    "max_retries": "repeats",
    "is_closed_loop": "closed",
    "checks_rows": "rows",
    "end_ms": "ends_ms",
    "longest_timeout_ms": "longest_ms",
    "send_interval_ms": "step_ms",
}


def write_job(path: str | Path, job: WorkerJob) -> None:
    """Writes a job file."""
    values = {key: getattr(job, name) for name, key in JOB_KEYS.items()}
    Path(path).write_text(json.dumps(values, default=asdict))


def read_job(path: str | Path) -> WorkerJob:
    """Reads a job file written by `write_job`."""
    with open(path, encoding="utf-8") as file:
        stored = json.load(file)
    values = {name: stored[key] for name, key in JOB_KEYS.items()}
    values["groups"] = [JobGroup(**group) for group in values["groups"]]
    return WorkerJob(**values)

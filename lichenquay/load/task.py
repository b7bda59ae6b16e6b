"""The real need of a query, and the statement whose comment states it.

Clients write the statement, emulated engines read it.
"""

from dataclasses import dataclass
from math import inf

RUNNING = "running"  # the outcome of a task that has not ended

NEED_START = "/* need "
NEED_END = " */"


@dataclass(eq=False)
class Task:
    """The real need of a query, and its state at an emulated engine. Times and work are in milliseconds."""

    ref: str
    group: str
    work_ms: float
    memory_mb: float = 0.0
    threads: int = 1
    rows: int = 1
    tables: str = ""
    load: bool = False
    grant_mb: float = 0.0
    rank: int = 1
    submitted_ms: float = 0.0
    started_ms: float = 0.0
    remaining_ms: float = 0.0  # of `total_ms`
    total_ms: float = 0.0  # the work with the cost of spilling and cold tables
    wait_reason: str = ""  # "memory", "load" or ""
    pending_event: tuple | None = None  # a progress event that is not sent yet
    last_event_ms: float = 0.0
    outcome: str = RUNNING
    ended_ms: float = 0.0
    retained_until_ms: float = inf


def encode_statement(task: Task) -> bytes:
    """Returns the statement (bytes) of a task, with its real need in a comment."""
    if task.load:
        verb = f"insert into sales_{task.tables}.orders select * from staging.x"
    else:
        verb = f"select id, n, at from sales_{task.tables}.orders where n > 1"
    need = (
        f"work={task.work_ms:.3f} memory={task.memory_mb:.1f} threads={task.threads} "
        f"rows={task.rows} load={int(task.load)} tables={task.tables}"
    )
    return f"{verb} {NEED_START}{need}{NEED_END}".encode()


def decode_statement(ref: str, group: str, statement: bytes, grant_mb: float, rank: int) -> Task:
    """Returns the task whose need a statement (bytes) states. Raises ValueError if it states none."""
    _, marker, comment = statement.decode("utf-8", "replace").partition(NEED_START)
    if not marker:
        raise ValueError("a statement that does not say what it needs")
    need = dict(entry.split("=", 1) for entry in comment.partition(NEED_END)[0].split())
    return Task(
        ref=ref,
        group=group,
        work_ms=float(need["work"]),
        memory_mb=float(need["memory"]),
        threads=int(need["threads"]),
        rows=int(need["rows"]),
        tables=need["tables"],
        load=need["load"] == "1",
        grant_mb=grant_mb,
        rank=rank,
    )

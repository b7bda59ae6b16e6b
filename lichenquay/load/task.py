"""What a query really needs, and the statement that says it in a comment: clients write it, engines read it."""

from dataclasses import dataclass
from math import inf

RUNNING = "running"  # how it ends, as long as it has not


@dataclass(eq=False)
class Task:
    """What a query really needs, as its statement says: work in ms, memory in MB, rows."""

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
    asked_ms: float = 0.0
    started_ms: float = 0.0
    left_ms: float = 0.0  # of its work, spilling and cold tables counted
    whole_ms: float = 0.0
    waits: str = ""  # "memory", "load" or ""
    note: tuple = None  # one that has not been told
    noted_ms: float = 0.0
    ending: str = RUNNING
    ended_ms: float = 0.0
    keeps_until_ms: float = inf


def statement_of(task):
    """A statement that says in a comment what it really needs."""
    verb = (
        f"insert into sales_{task.tables}.orders select * from staging.x"
        if task.load
        else f"select id, n, at from sales_{task.tables}.orders where n > 1"
    )
    return (
        f"{verb} /* need work={task.work_ms:.3f} memory={task.memory_mb:.1f} threads={task.threads} "
        f"rows={task.rows} load={int(task.load)} tables={task.tables} */"
    ).encode()


def task_of(ref, group, statement, grant_mb, rank):
    """The task that a statement tells of; ValueError where it tells of none."""
    head, mark, need = statement.decode("utf-8", "replace").partition("/* need ")
    if not mark:
        raise ValueError("a statement that does not say what it needs")
    facts = dict(part.split("=", 1) for part in need.partition(" */")[0].split())
    return Task(
        ref,
        group,
        float(facts["work"]),
        float(facts["memory"]),
        int(facts["threads"]),
        int(facts["rows"]),
        facts["tables"],
        facts["load"] == "1",
        grant_mb,
        rank,
    )

"""Reads processor time and memory of processes as the kernel accounts them (/proc)."""

import os
from dataclasses import dataclass
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PROC = Path("/proc")


@dataclass(frozen=True)
class Usage:
    """Holds one process's processor time since its start in seconds, and its resident memory in kilobytes."""

    cpu_s: float = 0.0
    kb: float = 0.0


def usage_of(pid: int) -> Usage:
    """Returns a process's usage, all zero where it has ended."""
    try:
        return Usage(cpu_seconds(pid), resident_kb(pid))
    except (OSError, IndexError, ValueError):
        return Usage()


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of all threads that the process has now. Raises OSError where it
    has ended.
    """
    run_ns = 0
    for task in (PROC / str(pid) / "task").iterdir():
        run_ns += int((task / "schedstat").read_text().split()[0])
    return run_ns / 1e9


def resident_kb(pid: int) -> float:
    """Returns the resident memory in kilobytes. Raises OSError where the process has ended."""
    pages = int((PROC / str(pid) / "statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1024


def memory_total_kb() -> float:
    """Returns the machine's memory in kilobytes."""
    for line in (PROC / "meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return float(line.split()[1])
    return float("inf")

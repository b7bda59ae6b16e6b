"""The record of a case, and its verdict."""

import asyncio
import os
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not run; the text says why."""


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path: Path):
        """Empties the file."""
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()
        self.broken: list[str] = []

    def __call__(self, text: str) -> None:
        """Writes a line."""
        self.file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self.file.flush()

    def rule_broken(self, text: str) -> None:
        """Writes a line on a broken rule, and keeps it for the verdict."""
        self.broken.append(text)
        self(f"RULE BROKEN: {text}")


def free_port() -> int:
    """Returns a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def run_case(folder: Path, case: Callable[[Record], Awaitable[None]], seconds: float = 110.0) -> int:
    """Runs a case for at most `seconds`; returns the exit code of its script."""
    record = Record(folder / "record.txt")
    record(f"trouble: {'on' if TROUBLE else 'off'}")

    async def play():
        # At the end, connections of stand-ins are cancelled, which asyncio would report.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await asyncio.wait_for(case(record), seconds)

    try:
        asyncio.run(play())
    except (CannotRunError, TimeoutError, OSError) as error:
        record(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    record(f"result: {'the rule was broken' if record.broken else 'the rule held'}")
    for text in record.broken:
        print(text)
    return RULE_BROKEN if record.broken else RULE_HELD

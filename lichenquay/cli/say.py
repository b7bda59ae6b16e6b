"""What commands have in common: logging, figures to a file, progress, one-line errors."""

import json
import os
import sys
from contextlib import contextmanager
from functools import wraps

import click
import structlog
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

console = Console(stderr=True)


def log_to(path=None):
    """Structured logging: key=value on standard error, or JSON lines to a file."""
    shared = [structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
    if path:
        out = open(path, "a", encoding="utf-8", buffering=1)
        last = structlog.processors.JSONRenderer()
    else:
        out, last = sys.stderr, structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[*shared, structlog.processors.format_exc_info, last],
        logger_factory=structlog.PrintLoggerFactory(out),
        cache_logger_on_first_use=False,
    )


def fails_plainly(*kinds):
    """Errors that a user can mend are told in one line, with exit code 1."""

    def wrap(call):
        @wraps(call)
        def inner(*args, **more):
            try:
                return call(*args, **more)
            except kinds as why:
                raise click.ClickException(str(why)) from None

        return inner

    return wrap


def json_option(call):
    return click.option(
        "--json", "json_to", type=click.Path(dir_okay=False), help="Write the figures to this file."
    )(call)


def write_json(path, figures):
    if path:
        part = f"{path}.part"
        try:
            with open(part, "w", encoding="utf-8") as file:
                json.dump(figures, file, indent=1)
                file.write("\n")
            os.replace(part, path)
        except OSError as why:
            raise click.ClickException(f"{path}: {why.strerror}") from None


@contextmanager
def progress(what):
    """A bar on a terminal, nothing elsewhere; called with the part that is done."""
    if not console.is_terminal:
        yield lambda done: None
        return
    with Progress(TextColumn(what), BarColumn(), TimeElapsedColumn(), console=console, transient=True) as bar:
        task = bar.add_task(what, total=1.0)
        yield lambda done: bar.update(task, completed=done)


def table(title, rows, heads=("figure", "value")):
    t = Table(title=title, title_justify="left")
    for i, head in enumerate(heads):
        t.add_column(head, justify="left" if not i else "right")
    for row in rows:
        t.add_row(*("-" if x is None else str(x) for x in row))
    Console(width=None if sys.stdout.isatty() else 120).print(t)

"""Shared by all commands: logging, JSON output, progress bars, tables, and one-line errors."""

import json
import os
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from functools import wraps
from pathlib import Path

import click
import structlog
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

PIPED_TABLE_WIDTH = 120  # in characters, if standard output is not a terminal

console = Console(stderr=True)


def configure_logging(path: str | None = None) -> None:
    """Configures structured logging: key=value on standard error, or JSON lines appended to a file."""
    if path:
        # The path is absolute, as click takes "-" for standard output, where commands print their results.
        output = click.open_file(Path(path).absolute(), "a", encoding="utf-8")
        renderer = structlog.processors.JSONRenderer()
    else:
        output = sys.stderr
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=False,
    )


def exit_on_errors(*error_types: type[Exception]) -> Callable:
    """Returns a decorator that ends a command with a one-line message and exit code 1 on these errors."""

    def decorate(command):
        @wraps(command)
        def run(*arguments, **options):
            try:
                return command(*arguments, **options)
            except error_types as error:
                raise click.ClickException(str(error)) from None

        return run

    return decorate


def json_option(command: Callable) -> Callable:
    """Adds the option `--json FILE`, which the command receives as `json_path`."""
    option = click.option(
        "--json", "json_path", type=click.Path(dir_okay=False), help="Write the results to this file as JSON."
    )
    return option(command)


def write_json(path: str | None, results: object) -> None:
    """Writes results to a file atomically; does nothing without a path. Raises click.ClickException."""
    if not path:
        return
    temporary_path = f"{path}.part"
    try:
        with open(temporary_path, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)
            file.write("\n")
        os.replace(temporary_path, path)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from None


@contextmanager
def progress(title: str) -> Iterator[Callable[[float], None]]:
    """Shows a progress bar on a terminal; yields a function that takes the progress, from 0 to 1."""
    if not console.is_terminal:
        yield lambda completed: None
        return
    columns = (TextColumn(title), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as bar:
        task = bar.add_task(title, total=1.0)
        yield lambda completed: bar.update(task, completed=completed)


def print_table(title: str, rows: Iterable[Sequence], headings: Sequence[str] = ("figure", "value")) -> None:
    """Prints a table on standard output. The first column is left-aligned; None is shown as a dash."""
    table = Table(title=title, title_justify="left")
    for index, heading in enumerate(headings):
        table.add_column(heading, justify="right" if index else "left")
    for row in rows:
        table.add_row(*("-" if cell is None else str(cell) for cell in row))
    width = None if sys.stdout.isatty() else PIPED_TABLE_WIDTH
    Console(width=width).print(table)

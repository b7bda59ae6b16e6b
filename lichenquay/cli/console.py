"""What all commands share: logging, JSON output, progress bars, tables, and one-line errors."""

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

PIPED_TABLE_COLUMNS = 120  # width of tables where standard output is no terminal

console = Console(stderr=True)


def configure_logging(path: str | None = None) -> None:
    """Structured logging: key=value on standard error, or JSON lines appended to a file."""
    if path:
        # Absolute, as click takes "-" for standard output, which is the commands' own.
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


def reports_errors(*kinds: type[Exception]) -> Callable:
    """A decorator: errors of these kinds end the command with one line and exit code 1."""

    def decorate(command):
        @wraps(command)
        def run(*arguments, **options):
            try:
                return command(*arguments, **options)
            except kinds as error:
                raise click.ClickException(str(error)) from None

        return run

    return decorate


def json_option(command: Callable) -> Callable:
    """Adds the option `--json FILE`, passed on as `json_path`."""
    option = click.option(
        "--json", "json_path", type=click.Path(dir_okay=False), help="Write the figures to this file."
    )
    return option(command)


def write_json(path: str | None, figures: object) -> None:
    """Writes the figures to a file, whole or not at all. Errors: click.ClickException."""
    if not path:
        return
    temporary_path = f"{path}.part"
    try:
        with open(temporary_path, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=1)
            file.write("\n")
        os.replace(temporary_path, path)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from None


@contextmanager
def progress(title: str) -> Iterator[Callable[[float], None]]:
    """A bar on a terminal, nothing elsewhere; yields a function that takes the share done, 0 to 1."""
    if not console.is_terminal:
        yield lambda done: None
        return
    columns = (TextColumn(title), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as bar:
        task = bar.add_task(title, total=1.0)
        yield lambda done: bar.update(task, completed=done)


def print_table(title: str, rows: Iterable[Sequence], headings: Sequence[str] = ("figure", "value")) -> None:
    """A table on standard output; the first column is left-aligned, None is shown as a dash."""
    table = Table(title=title, title_justify="left")
    for index, heading in enumerate(headings):
        table.add_column(heading, justify="right" if index else "left")
    for row in rows:
        table.add_row(*("-" if cell is None else str(cell) for cell in row))
    width = None if sys.stdout.isatty() else PIPED_TABLE_COLUMNS
    Console(width=width).print(table)

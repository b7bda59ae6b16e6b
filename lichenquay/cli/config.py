"""`config`: changes and status of the distributed configuration."""

from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.config.process_entries import NAME_PATTERN, parse_address
from lichenquay.control_plane.client import Client
from lichenquay.control_plane.errors import NoAnswerError
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.validation import find_entry_error

# Exit codes; 2 is that of a wrong command line.
REJECTED = 1
IN_DOUBT = 3
STATUS_FIELDS = ("generation", "newest", "in_force", "subscribers", "refused", "stale", "keys", "bytes")


class AddressesType(click.ParamType):
    """`address:port`, several with commas between them."""

    name = "address:port,..."

    def convert(self, value, param, ctx):
        """[(address, port)]."""
        if not isinstance(value, str):
            return value
        try:
            return [parse_address(text) for text in value.split(",")]
        except ValueError as error:
            return self.fail(str(error), param, ctx)


class FleetNameType(click.ParamType):
    """A fleet's name, as in the settings."""

    name = "name"

    def convert(self, value, param, ctx):
        """The name itself."""
        return (
            value if NAME_PATTERN.match(value) else self.fail(f"{value!r} is no name of a fleet", param, ctx)
        )


def voters_options(call):
    """Adds the options that name the voters, the fleet, the timeout and the output file."""
    for option in (
        console.json_option,
        click.option(
            "--seconds",
            type=click.FloatRange(0.1, 600),
            default=10.0,
            show_default=True,
            help="For an answer.",
        ),
        click.option(
            "--fleet", type=FleetNameType(), required=True, help="The fleet's name, as in its settings."
        ),
        click.option(
            "--voters", type=AddressesType(), required=True, help="Some voters or all of them, UDP."
        ),
    ):
        call = option(call)
    return call


@click.group()
def config():
    """The configuration that is distributed to all gateways. Exit codes: 1 rejected, 3 in doubt."""


@config.command()
@click.argument("key")
@click.argument("value", required=False)
@click.option("--file", "path", type=click.Path(dir_okay=False), help="The value is this file's content.")
@voters_options
def put(key, value, path, voters, fleet, seconds, json_path):
    """Give KEY a value, everywhere."""
    if (value is None) == (path is None):
        raise click.UsageError("either VALUE or --file is wanted")
    propose_change(pb.Entry(key=key, value=_content(value, path)), voters, fleet, seconds, json_path)


@config.command()
@click.argument("key")
@voters_options
def delete(key, voters, fleet, seconds, json_path):
    """Take KEY away, everywhere."""
    propose_change(pb.Entry(key=key, deleted=True), voters, fleet, seconds, json_path)


@config.command()
@voters_options
def status(voters, fleet, seconds, json_path):
    """Show what is accepted, and what is in force everywhere."""
    try:
        with Client(fleet, voters, seconds) as client:
            answer = client.status()
    except NoAnswerError as error:
        raise click.ClickException(str(error)) from None
    figures = {field: getattr(answer, field) for field in STATUS_FIELDS}
    figures["digest"] = f"{answer.digest:016x}"
    console.write_json(json_path, figures)
    console.print_table(
        f"fleet {fleet}", [(name.replace("_", " "), value) for name, value in figures.items()]
    )


def propose_change(entry, voters, fleet, seconds, json_path):
    """Proposes one entry until its outcome is known or the time is up."""
    if fault := find_entry_error(entry):
        exit_with("refused", 0, fault, REJECTED, json_path)
    try:
        with Client(fleet, voters, seconds) as client:
            proposed = client.propose([entry])
    except NoAnswerError as error:
        exit_with("in doubt", 0, f"it may have been made or not; {error}", IN_DOUBT, json_path)
    if proposed.outcome == pb.Proposed.REFUSED:
        exit_with("refused", 0, proposed.reason, REJECTED, json_path)
    console.write_json(json_path, {"outcome": "accepted", "version": proposed.version, "reason": ""})
    click.echo(f"accepted: version {proposed.version}")


def exit_with(outcome, version, reason, code, json_path):
    """One line on standard error, and the exit code."""
    console.write_json(json_path, {"outcome": outcome, "version": version, "reason": reason})
    click.echo(f"{outcome}: {reason}", err=True)
    raise SystemExit(code)


def _content(value, path):
    if path is None:
        return value.encode()
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from None

"""The command `config`: changes and shows the distributed configuration."""

from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.config.process_entries import NAME_PATTERN, parse_address
from lichenquay.control_plane.client import Client
from lichenquay.control_plane.errors import NoAnswerError
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.validation import find_entry_error

# Exit codes; click exits with 2 for an invalid command line.
EXIT_REJECTED = 1
EXIT_UNCERTAIN = 3
STATUS_FIELDS = ("generation", "newest", "in_force", "subscribers", "refused", "stale", "keys", "bytes")


class AddressesType(click.ParamType):
    """A comma-separated list of `address:port`."""

    name = "address:port,..."

    def convert(self, value, param, ctx):
        """Returns a list of (address, port)."""
        if not isinstance(value, str):
            return value
        try:
            return [parse_address(text) for text in value.split(",")]
        except ValueError as error:
            return self.fail(str(error), param, ctx)


class FleetNameType(click.ParamType):
    """The name of a fleet, as in the settings."""

    name = "name"

    def convert(self, value, param, ctx):
        """Returns the name, and fails if it is invalid."""
        if NAME_PATTERN.match(value):
            return value
        return self.fail(f"{value!r} is not a valid fleet name", param, ctx)


def add_client_options(command):
    """Adds the options for the voters, the fleet, the timeout and the output file to a command."""
    for option in (
        console.json_option,
        click.option(
            "--seconds",
            type=click.FloatRange(0.1, 600),
            default=10.0,
            show_default=True,
            help="Time limit for an answer.",
        ),
        click.option(
            "--fleet", type=FleetNameType(), required=True, help="Name of the fleet, as in its settings."
        ),
        click.option(
            "--voters", type=AddressesType(), required=True, help="UDP addresses of some or all voters."
        ),
    ):
        command = option(command)
    return command


@click.group()
def config():
    """Changes and shows the configuration of all gateways. Exit codes: 1 rejected, 3 outcome unknown."""


@config.command()
@click.argument("key")
@click.argument("value", required=False)
@click.option("--file", "path", type=click.Path(dir_okay=False), help="Read the value from this file.")
@add_client_options
def put(key, value, path, voters, fleet, seconds, json_path):
    """Sets KEY to a value on all gateways."""
    if (value is None) == (path is None):
        raise click.UsageError("expected either VALUE or --file")
    propose_change(pb.Entry(key=key, value=_read_value(value, path)), voters, fleet, seconds, json_path)


@config.command()
@click.argument("key")
@add_client_options
def delete(key, voters, fleet, seconds, json_path):
    """Deletes KEY on all gateways."""
    propose_change(pb.Entry(key=key, deleted=True), voters, fleet, seconds, json_path)


@config.command()
@add_client_options
def status(voters, fleet, seconds, json_path):
    """Shows the newest accepted version, and the version that all gateways apply."""
    try:
        with Client(fleet, voters, seconds) as client:
            answer = client.status()
    except NoAnswerError as error:
        raise click.ClickException(str(error)) from None
    fields = {field: getattr(answer, field) for field in STATUS_FIELDS}
    fields["digest"] = f"{answer.digest:016x}"
    console.write_json(json_path, fields)
    console.print_table(f"fleet {fleet}", [(name.replace("_", " "), value) for name, value in fields.items()])


def propose_change(entry, voters, fleet, seconds, json_path):
    """Proposes a change of one entry, and retries until its outcome is known or the time limit is reached."""
    if error := find_entry_error(entry):
        exit_with("refused", 0, error, EXIT_REJECTED, json_path)
    try:
        with Client(fleet, voters, seconds) as client:
            proposed = client.propose([entry])
    except NoAnswerError as error:
        exit_with("in doubt", 0, f"it may have been made or not; {error}", EXIT_UNCERTAIN, json_path)
    if proposed.outcome == pb.Proposed.REFUSED:
        exit_with("refused", 0, proposed.reason, EXIT_REJECTED, json_path)
    console.write_json(json_path, {"outcome": "accepted", "version": proposed.version, "reason": ""})
    click.echo(f"accepted: version {proposed.version}")


def exit_with(outcome, version, reason, exit_code, json_path):
    """Prints the outcome and its reason on standard error, and exits with the given code."""
    console.write_json(json_path, {"outcome": outcome, "version": version, "reason": reason})
    click.echo(f"{outcome}: {reason}", err=True)
    raise SystemExit(exit_code)


def _read_value(value, path):
    if path is None:
        return value.encode()
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from None

"""The `lichenquay` command and its sub-commands."""

import os
import sys

import click

from lichenquay.cli import console
from lichenquay.cli.config import config
from lichenquay.cli.lab import demo, lab
from lichenquay.cli.load import load
from lichenquay.config.control_settings import find_warnings
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_file, read_settings
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.child import child_environment


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log-file", type=click.Path(dir_okay=False), help="Log as JSON lines to this file.")
@click.version_option(package_name=None, version="0.2.0.dev0", prog_name="lichenquay")
def cli(log_file):
    """An admission controller and gateway for queries on a pool of engines."""
    console.configure_logging(log_file)


@cli.command()
@click.argument("config", type=click.Path())
def front(config):
    """Run a gateway on a configuration of the platform's form (JSON)."""
    os.execve(
        sys.executable,
        [sys.executable, "-m", "lichenquay.gateway"],
        {**child_environment(), "BALANCER_CONFIG": os.path.abspath(config)},
    )


@cli.command()
@click.argument("file", type=click.Path())
@click.option(
    "--settings",
    is_flag=True,
    help="It is a gateway's own settings (LICHENQUAY_SETTINGS) or a control process's, not a testbed's.",
)
@console.reports_errors(ConfigurationError)
def check(file, settings):
    """Check a settings file: of a testbed, of a gateway or control process, or a gateway's JSON."""
    if str(file).endswith(".json"):
        from lichenquay.gateway.configuration import StartError, read_config, read_deployment_settings

        try:
            read_deployment_settings(read_config({"BALANCER_CONFIG": file}).settings, 1)
        except StartError as why:
            raise click.ClickException(str(why)) from None
    elif settings:
        for line in find_warnings(read_file(file, read_settings)):
            click.echo(f"{file}: {line}", err=True)
    else:
        read_file(file, read_testbed)
    click.echo(f"{file}: well")


@cli.command()
@click.argument("file", type=click.Path())
def control(file):
    """Run a control process (a voter or a relay of distributed configuration) on a settings file."""
    os.execve(
        sys.executable,
        [sys.executable, "-m", "lichenquay.control_plane", os.path.abspath(file)],
        child_environment(),
    )


cli.add_command(config)
cli.add_command(demo)
cli.add_command(lab)
cli.add_command(load)


def main() -> None:
    """The entry point of the installed command."""
    cli(prog_name="lichenquay")

"""`load`: the load generator alone."""

from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.cli.lab import RUN_FIGURES, USER_ERRORS, output_folder
from lichenquay.config.reader import read_file
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.errors import ComparisonError
from lichenquay.load.report import build_report
from lichenquay.load.run import Workers

OUT = click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")


@click.group()
def load():
    """Open-loop load: runs, traces, what the generator itself can do."""


@load.command()
@click.argument("target")
@click.option("--world", type=click.Path(), help="Settings: groups, tenants and the load.")
@click.option(
    "--trace", type=click.Path(), help="CSV or Parquet: queries as recorded, instead of arrivals and mix."
)
@click.option("--rate", type=click.FloatRange(0.01, 1e6), help="Queries a second.")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400))
@OUT
@console.json_option
@console.reports_errors(*USER_ERRORS)
def run(target, world, trace, rate, seconds, out, json_path):
    """Send a load to a gateway at TARGET (127.0.0.1:PORT)."""
    host, _, port = target.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise click.UsageError(f"TARGET: {target!r} is no loopback address with a port")
    testbed = read_file(world) if world else read_testbed("")
    testbed.load.trace = trace or testbed.load.trace
    testbed.load.rate = rate or testbed.load.rate
    testbed.load.seconds = seconds or testbed.load.seconds
    from lichenquay.testbed.trial import write_run_files

    out = output_folder(out)
    workers = Workers(testbed, target, out)
    workers.start()
    with console.progress("load") as done:
        kept = workers.run(done)
    figures = {**build_report(kept, testbed), "out": str(out)}
    write_run_files(out, testbed, kept, figures)
    console.write_json(json_path, figures)
    console.print_table(
        f"load on {target}", [(name, figures[name]) for name in RUN_FIGURES if name in figures]
    )
    if figures["void"]:
        click.echo(f"void: {figures['why_void']}")
    click.echo(f"kept in {out}")
    raise SystemExit(bool(figures["silent"] or figures["void"]))


@load.command()
@click.option("--seconds", type=click.FloatRange(4, 600), default=20.0, show_default=True)
@click.option("--rate", type=click.FloatRange(100, 2000), default=400.0, show_default=True)
@click.option("--stall-ms", type=click.FloatRange(50, 5000), default=500.0, show_default=True)
@OUT
@console.json_option
@console.reports_errors(*USER_ERRORS)
def stall(seconds, rate, stall_ms, out, json_path):
    """A deliberate stall, seen by an open loop and missed by a closed one of the same rate."""
    from lichenquay.load import self_test

    with console.progress("stall") as done:
        found = self_test.measure_stall(output_folder(out), rate, seconds, stall_ms, done)
    console.write_json(json_path, found)
    console.print_table(
        f"a stall of {stall_ms:g} ms at {rate:g} a second",
        [(name, value, found["closed"].get(name)) for name, value in found["open"].items()],
        ("figure", "open loop", "closed loop"),
    )
    is_shown = found["open"]["p999_ms"] > stall_ms / 2 > found["closed"]["p999_ms"]
    click.echo("the open loop shows it, the closed loop misses it" if is_shown else "not shown")
    raise SystemExit(not is_shown or found["open"]["void"])


@load.command()
@click.option(
    "--seconds", type=click.FloatRange(1, 600), default=5.0, show_default=True, help="Of each step."
)
@click.option("--workers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--rates",
    default="1000,2000,3000,5000,7500,10000,12500",
    show_default=True,
    help="Steps, queries a second.",
)
@OUT
@console.json_option
@console.reports_errors(*USER_ERRORS)
def capacity(seconds, workers, rates, out, json_path):
    """The rate that the generator sustains against null servers, with its overhead."""
    from lichenquay.load import self_test

    try:
        rates = [float(rate) for rate in rates.split(",")]
    except ValueError:
        raise click.UsageError(f"--rates: not numbers: {rates!r}") from None
    with console.progress("capacity") as done:
        found = self_test.measure_capacity(output_folder(out), rates, seconds, workers, progress=done)
    console.write_json(json_path, found)
    names = (
        "rate",
        "ok",
        "answered_per_s",
        "lag_p50_ms",
        "lag_p99_ms",
        "lag_max_ms",
        "p99_ms",
        "generator_cpu_share",
    )
    console.print_table("capacity", [[step[name] for name in names] for step in found["steps"]], names)
    click.echo(
        f"sustained: {found['sustained_per_s']:g} a second, lag p99 under {found['lag_bound_ms']:g} ms"
    )
    raise SystemExit(not found["sustained_per_s"])


@load.command()
@click.argument("first", metavar="A", type=click.Path(exists=True))
@click.argument("second", metavar="B", type=click.Path(exists=True))
@console.json_option
def compare(first, second, json_path):
    """Set two runs, or two folders of runs, side by side, with bootstrap intervals of the difference."""
    from lichenquay.load import compare as comparison

    try:
        rows = comparison.compare(comparison.runs_in(first), comparison.runs_in(second))
    except ComparisonError as why:
        raise click.ClickException(str(why)) from None
    headings = ("metric", "a", "b", "b - a", "low", "high")
    console.print_table(f"{first} (a) and {second} (b)", rows, headings)
    console.write_json(json_path, [dict(zip(headings, row, strict=True)) for row in rows])


@load.command()
@click.argument("source", type=click.Path())
@click.argument("target", type=click.Path(), required=False)
@click.option("--world", type=click.Path(), help="Settings: groups and tenants that the trace names.")
@console.reports_errors(*USER_ERRORS)
def trace(source, target, world):
    """Check a trace; with TARGET, write it there as CSV or Parquet with all its columns."""
    from lichenquay.load.trace import read_trace, write_trace

    testbed = read_file(world) if world else read_testbed("")
    plan = read_trace(source, testbed, testbed.seed)
    if target:
        if Path(target).suffix not in (".csv", ".parquet", ".pq"):
            raise click.UsageError(f"TARGET: {target!r} is neither .csv nor .parquet")
        write_trace(target, plan)
    arrivals_ms = plan["at_ms"]
    duration_s = arrivals_ms[-1] / 1000 if len(arrivals_ms) else 0
    click.echo(f"{source}: {len(arrivals_ms)} queries, {duration_s:g} s")

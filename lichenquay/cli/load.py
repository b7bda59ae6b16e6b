"""The command `load`: the load generator."""

from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.cli.lab import RUN_METRICS, USER_ERRORS, output_folder
from lichenquay.config.reader import read_file
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.errors import ComparisonError
from lichenquay.load.report import build_report
from lichenquay.load.run import Workers

OUT_OPTION = click.option("--out", type=click.Path(file_okay=False), help="Folder of the run's files.")


@click.group()
def load():
    """Runs open-loop load, compares runs, checks traces, and measures the generator itself."""


@load.command()
@click.argument("target")
@click.option("--world", type=click.Path(), help="Settings file with groups, tenants and load.")
@click.option(
    "--trace", type=click.Path(), help="CSV or Parquet file of recorded queries, in place of drawn ones."
)
@click.option("--rate", type=click.FloatRange(0.01, 1e6), help="Queries per second.")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400))
@OUT_OPTION
@console.json_option
@console.exit_on_errors(*USER_ERRORS)
def run(target, world, trace, rate, seconds, out, json_path):
    """Sends a load to a gateway at TARGET (127.0.0.1:PORT)."""
    host, _, port = target.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise click.UsageError(f"TARGET: {target!r} is not a loopback address with a port")
    testbed = read_file(world) if world else read_testbed("")
    testbed.load.trace = trace or testbed.load.trace
    testbed.load.rate = rate or testbed.load.rate
    testbed.load.seconds = seconds or testbed.load.seconds
    from lichenquay.testbed.trial import write_run_files

    out = output_folder(out)
    workers = Workers(testbed, target, out)
    workers.start()
    with console.progress("load") as report_progress:
        result = workers.run(report_progress)
    report = {**build_report(result, testbed), "out": str(out)}
    write_run_files(out, testbed, result, report)
    console.write_json(json_path, report)
    console.print_table(f"load on {target}", [(name, report[name]) for name in RUN_METRICS if name in report])
    if report["void"]:
        click.echo(f"void: {report['why_void']}")
    click.echo(f"kept in {out}")
    raise SystemExit(bool(report["silent"] or report["void"]))


@load.command()
@click.option("--seconds", type=click.FloatRange(4, 600), default=20.0, show_default=True)
@click.option("--rate", type=click.FloatRange(100, 2000), default=400.0, show_default=True)
@click.option("--stall-ms", type=click.FloatRange(50, 5000), default=500.0, show_default=True)
@OUT_OPTION
@console.json_option
@console.exit_on_errors(*USER_ERRORS)
def stall(seconds, rate, stall_ms, out, json_path):
    """Measures a deliberate stall with an open loop, which shows it, and a closed loop, which hides it."""
    from lichenquay.load import self_test

    with console.progress("stall") as report_progress:
        results = self_test.measure_stall(output_folder(out), rate, seconds, stall_ms, report_progress)
    console.write_json(json_path, results)
    console.print_table(
        f"a stall of {stall_ms:g} ms at {rate:g} queries per second",
        [(name, value, results["closed"].get(name)) for name, value in results["open"].items()],
        ("figure", "open loop", "closed loop"),
    )
    is_as_expected = results["open"]["p999_ms"] > stall_ms / 2 > results["closed"]["p999_ms"]
    click.echo(
        "the open loop shows the stall, the closed loop hides it"
        if is_as_expected
        else "the stall does not show in the open loop alone"
    )
    raise SystemExit(not is_as_expected or results["open"]["void"])


@load.command()
@click.option(
    "--seconds", type=click.FloatRange(1, 600), default=5.0, show_default=True, help="Duration of each step."
)
@click.option("--workers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--rates",
    default="1000,2000,3000,5000,7500,10000,12500",
    show_default=True,
    help="Queries per second of each step.",
)
@OUT_OPTION
@console.json_option
@console.exit_on_errors(*USER_ERRORS)
def capacity(seconds, workers, rates, out, json_path):
    """Measures the rate that the generator sustains against null servers, and its overhead."""
    from lichenquay.load import self_test

    try:
        rates = [float(rate) for rate in rates.split(",")]
    except ValueError:
        raise click.UsageError(f"--rates: {rates!r} is not a comma-separated list of numbers") from None
    with console.progress("capacity") as report_progress:
        results = self_test.measure_capacity(
            output_folder(out), rates, seconds, workers, progress=report_progress
        )
    console.write_json(json_path, results)
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
    console.print_table("capacity", [[step[name] for name in names] for step in results["steps"]], names)
    click.echo(
        f"sustained: {results['sustained_per_s']:g} per second, lag p99 under {results['lag_bound_ms']:g} ms"
    )
    raise SystemExit(not results["sustained_per_s"])


@load.command()
@click.argument("first", metavar="A", type=click.Path(exists=True))
@click.argument("second", metavar="B", type=click.Path(exists=True))
@console.json_option
def compare(first, second, json_path):
    """Compares two runs, or two folders of runs, with bootstrap intervals of the differences."""
    from lichenquay.load import compare as comparison

    try:
        rows = comparison.compare(comparison.read_runs(first), comparison.read_runs(second))
    except ComparisonError as error:
        raise click.ClickException(str(error)) from None
    headings = ("metric", "a", "b", "b - a", "low", "high")
    console.print_table(f"{first} (a) and {second} (b)", rows, headings)
    console.write_json(json_path, [dict(zip(headings, row, strict=True)) for row in rows])


@load.command()
@click.argument("source", type=click.Path())
@click.argument("target", type=click.Path(), required=False)
@click.option("--world", type=click.Path(), help="Settings file with the groups and tenants of the trace.")
@console.exit_on_errors(*USER_ERRORS)
def trace(source, target, world):
    """Checks a trace; with TARGET, also writes it there as CSV or Parquet with all columns."""
    from lichenquay.load.trace import read_trace, write_trace

    testbed = read_file(world) if world else read_testbed("")
    plan = read_trace(source, testbed, testbed.seed)
    if target:
        if Path(target).suffix not in (".csv", ".parquet", ".pq"):
            raise click.UsageError(
                f"TARGET: {target!r} has an unknown suffix; expected .csv, .parquet or .pq"
            )
        write_trace(target, plan)
    arrivals_ms = plan["at_ms"]
    duration_s = arrivals_ms[-1] / 1000 if len(arrivals_ms) else 0
    click.echo(f"{source}: {len(arrivals_ms)} queries, {duration_s:g} s")

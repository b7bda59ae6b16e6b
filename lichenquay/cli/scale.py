"""The command `lab scale`: many simulated gateways, publishers and relays on this machine.

The runs import most of the package, so they are imported only when the command runs.
"""

import json
import tempfile
from dataclasses import replace
from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.load.errors import RunError
from lichenquay.testbed.world import WorldStartError

ROLE_HEADINGS = ("role", "cpu_share", "kb", "bytes_per_s", "messages_per_s")
PREDICTION_HEADINGS = ("metric", "predicted", "low", "high", "measured", "within")
SCENARIO_HEADINGS = ("changes", "in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms", "heal_s", "start_s")


@click.command()
@click.option("--full", is_flag=True, help="Fit four sizes, and predict a larger one that is held out.")
@click.option("--virtual", is_flag=True, help="Run one size in virtual time, without processes.")
@click.option("--engine-sweep", is_flag=True, help="Run 24 gateways with 100 to 25,000 engines.")
@click.option(
    "--fronts",
    "gateway_count",
    type=click.IntRange(20, 4400),
    default=4400,
    show_default=True,
    help="Number of gateways: the held-out size with --full, the size with --virtual.",
)
@click.option("--engines", "engine_count", type=click.IntRange(0, 25_000), default=100, show_default=True)
@click.option(
    "--scenario", "scenario_names", multiple=True, help="Run only this scenario; may be repeated. Or: none."
)
@click.option(
    "--real-fronts",
    "real_gateway_count",
    type=click.IntRange(0, 8),
    help="Real gateways under load beside the simulated ones; --full: 2.",
)
@click.option(
    "--queries",
    "queries_per_s",
    type=click.FloatRange(0, 20),
    default=0.0,
    show_default=True,
    help="Queries per second at a controller in each simulated gateway; 0: no controllers.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@console.json_option
@console.exit_on_errors(WorldStartError, RunError)
def scale(
    full,
    virtual,
    engine_sweep,
    gateway_count,
    engine_count,
    scenario_names,
    real_gateway_count,
    queries_per_s,
    seed,
    out,
    json_path,
):
    """Measures the cost of simulated gateways, publishers and relays by size, and changes during faults."""
    from lichenquay.testbed.scale import plans
    from lichenquay.testbed.scale.engine_sweep import EngineSweep
    from lichenquay.testbed.scale.figures import engine_figures_of, figures_of, virtual_figures_of
    from lichenquay.testbed.scale.runner import Runner
    from lichenquay.testbed.scale.virtual_run import VirtualRunner, plan_of

    if full + virtual + engine_sweep > 1:
        raise click.UsageError("--full, --virtual and --engine-sweep are mutually exclusive")
    if full and gateway_count <= plans.MIDDLE_SIZES[-1]:
        raise click.UsageError(
            f"--fronts: {gateway_count} is too small with --full; expected more than {plans.MIDDLE_SIZES[-1]}"
        )
    folder = Path(out or tempfile.mkdtemp(prefix="lichenquay-scale-"))
    folder.mkdir(parents=True, exist_ok=True)
    with console.progress("scale") as report_progress:
        if engine_sweep:
            report = engine_figures_of(EngineSweep(folder, seed, report_progress).run())
        elif virtual:
            plan = with_scenarios(plan_of(gateway_count, engine_count, seed), scenario_names)
            report = virtual_figures_of(VirtualRunner(plan, report_progress).run())
        else:
            plan = plans.full(seed, gateway_count, engine_count) if full else plans.short(seed, engine_count)
            plan = replace(plan, shape=replace(plan.shape, queries_per_s=queries_per_s))
            if real_gateway_count is not None:
                plan = replace(plan, real_fronts=real_gateway_count)
            report = figures_of(Runner(with_scenarios(plan, scenario_names), folder, report_progress).run())
    write_reports(report, folder, json_path)
    print_report(report)
    click.echo(f"kept in {folder}")
    raise SystemExit(bool(report["broken_rules"]))


def write_reports(report, folder, json_path):
    """Writes the report as JSON, and an HTML page if the run measured several sizes."""
    from lichenquay.testbed.scale.report import write_page

    (folder / "report.json").write_text(json.dumps(report, indent=1))
    if "sizes" in report:
        write_page(folder / "report.html", report)
    console.write_json(json_path, report)


def with_scenarios(plan, names):
    """Returns the plan with only the named scenarios, or unchanged without names."""
    if not names:
        return plan
    return replace(plan, scenarios=[scenario for scenario in plan.scenarios if scenario.name in names])


def print_report(report):
    """Prints the report as tables."""
    if "roles" in report:
        roles = [(role, *cost.values()) for role, cost in report["roles"].items()]
        console.print_table(
            f"{report['fronts_hollow']} simulated gateways: cost of one member", roles, ROLE_HEADINGS
        )
    if "engine_sizes" in report:
        print_engine_sizes(report["engine_sizes"])
    if "predicted" in report:
        predicted = [
            (
                name,
                *(f"{prediction[key]:.4g}" for key in ("value", "low", "high")),
                *measured_cells(report, name),
            )
            for name, prediction in report["predicted"].items()
        ]
        console.print_table("predicted and measured, at the held-out size", predicted, PREDICTION_HEADINGS)
    for gateway in report.get("real_fronts", ()):
        rows = [*gateway.items()][1:5] + [*gateway["report"].items()]
        console.print_table(f"real gateway {gateway['name']}", rows)
    if "scenarios" in report:
        rows = [
            (name, *(scenario[key] for key in SCENARIO_HEADINGS))
            for name, scenario in report["scenarios"].items()
        ]
        console.print_table("scenarios", rows, ("scenario", *SCENARIO_HEADINGS))
    scalars = [(name, value) for name, value in report.items() if not isinstance(value, dict | list)]
    config = [(f"config.{name}", value) for name, value in report.get("config", {}).items()]
    console.print_table("all", scalars + config)
    for line in report["notes"]:
        click.echo(f"note: {line}")
    for line in report["broken_rules"]:
        click.echo(f"broken: {line}")


def print_engine_sizes(sizes):
    """Prints the costs with a column for each number of engines."""
    from lichenquay.testbed.scale.report import cell_text

    names = [name for name in sizes[0] if name != "engines"]
    rows = [(name, *(cell_text(size.get(name)) for size in sizes)) for name in names]
    headings = ("cost of one member", *(str(size["engines"]) for size in sizes))
    console.print_table("24 simulated gateways, by number of engines", rows, headings)


def measured_cells(report, name):
    """Returns the cells for the measured value, and whether it lies within the predicted interval."""
    measured = report["measured"][name]
    return "-" if measured is None else f"{measured:.4g}", str(report["prediction_holds"][name])

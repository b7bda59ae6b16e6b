"""The command `lab capacity`: cost as a function of size, and needs at the planned size against budgets.

The probes import most of the package, so they are imported only when the command runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from lichenquay.cli import console

if TYPE_CHECKING:
    from lichenquay.testbed.scale.capacity import Capacity, Ranked, Slope
    from lichenquay.testbed.scale.catalogue import CapacityProbe

SLOPE_HEADINGS = ("quantity", "model", "intercept", "slope", "low", "high", "sizes", "largest size")
ROW_HEADINGS = ("role: what", "slope", "low", "high", "sizes", "at the size", "budget", "ratio")
PREDICTION_CELLS = {None: None, True: "as predicted", False: "not as predicted"}


def format_number(value: float | None) -> str | None:
    """Returns a number with four significant digits, or all digits of its integer part; None for None."""
    if value is None:
        return None
    return f"{value:,.0f}" if abs(value) >= 10_000 else f"{value:.4g}"


def fit_cells(slope: Slope | None) -> tuple[str | None, ...]:
    """Returns the cells for slope, interval bounds and sizes; for a constant, the value and its interval."""
    if slope is None or slope.fit is None:
        return None, None, None, None
    fit = slope.fit
    estimate = (fit.slope, fit.low, fit.high)
    if fit.model == "constant":
        estimate = (fit.intercept, fit.intercept_low, fit.intercept_high)
    return *map(format_number, estimate), f"{fit.smallest:,.0f} to {fit.largest:,.0f}"


def slope_cells(slope: Slope) -> tuple[str | None, ...]:
    """Returns a row of the table of slopes."""
    model = slope.fit.model.value if slope.fit else None
    intercept = format_number(slope.fit.intercept) if slope.fit else None
    prediction = PREDICTION_CELLS[slope.held_out.within]
    return f"{slope.quantity}, {slope.unit}", model, intercept, *fit_cells(slope), prediction


def ranked_cells(ranked: Ranked, slopes: dict[str, Slope]) -> tuple[str | None, ...]:
    """Returns a row of the table of needs."""
    row, need = ranked.row, format_number(ranked.need)
    ratio = row.mechanism if row.need is None else format_number(ranked.ratio)
    at_size = f"{need} {row.unit}" if need else None
    return (
        f"{row.role}: {row.title}",
        *fit_cells(slopes.get(row.quantity)),
        at_size,
        format_number(row.budget),
        ratio,
    )


def print_capacity(measured: Capacity) -> None:
    """Prints the tables of slopes and of needs, and the processor time of the measurement."""
    console.print_table("slopes", [slope_cells(slope) for slope in measured.slopes.values()], SLOPE_HEADINGS)
    rows = [ranked_cells(ranked, measured.slopes) for ranked in measured.ranked]
    console.print_table("needs at the planned size", rows, ROW_HEADINGS)
    click.echo(f"{measured.processor_s:.1f} s of processor time")


def select_probes(probe_names: tuple[str, ...]) -> list[CapacityProbe]:
    """Returns the named probes, by default all. Raises click.UsageError for an unknown name."""
    from lichenquay.testbed.scale.catalogue import PROBES

    names = [probe.name for probe in PROBES]
    for name in probe_names:
        if name not in names:
            raise click.UsageError(f"--only: {name!r} is not a probe; expected one of {', '.join(names)}")
    return [probe for probe in PROBES if not probe_names or probe.name in probe_names]


@click.command()
@click.option("--full", is_flag=True, help="Measure up to 25,000 engines and 800 gateways. Takes minutes.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--only", "probe_names", multiple=True, help="Run only this probe; may be repeated.")
@console.json_option
def capacity(full: bool, seed: int, probe_names: tuple[str, ...], json_path: str | None) -> None:
    """Measures the cost of control by size, and compares needs at the planned size with budgets."""
    from lichenquay.testbed.scale import capacity as scale

    probes = select_probes(probe_names)
    with console.progress("capacity") as report_progress:
        measured = scale.run(full, seed, report_progress, probes)
    console.write_json(json_path, scale.as_json(measured))
    print_capacity(measured)

"""`lab capacity`: slopes of cost by size, and needs at the planned size against their budgets.

What it runs is imported when it is called, as the probes reach over the whole tree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from lichenquay.cli import console

if TYPE_CHECKING:
    from lichenquay.testbed.scale.capacity import Capacity, Ranked, Slope
    from lichenquay.testbed.scale.catalogue import Probe

SLOPE_HEADINGS = ("quantity", "model", "intercept", "slope", "low", "high", "sizes", "largest was")
ROW_HEADINGS = ("role: what", "slope", "low", "high", "sizes", "at the size", "budget", "ratio")
PREDICTED = {None: None, True: "foretold", False: "not foretold"}


def four_digits(value: float | None) -> str | None:
    """Four digits."""
    if value is None:
        return None
    return f"{value:,.0f}" if abs(value) >= 10_000 else f"{value:.4g}"


def fit_cells(slope: Slope | None) -> tuple[str | None, ...]:
    """Slope, low, high, and the sizes; a constant shows its level and that level's interval."""
    if slope is None or slope.fit is None:
        return None, None, None, None
    found = slope.fit
    figures = (found.slope, found.low, found.high)
    if found.model == "constant":
        figures = (found.intercept, found.intercept_low, found.intercept_high)
    return *map(four_digits, figures), f"{found.smallest:,.0f} to {found.largest:,.0f}"


def slope_cells(slope: Slope) -> tuple[str | None, ...]:
    """One row of slopes."""
    model = slope.fit.model.value if slope.fit else None
    intercept = four_digits(slope.fit.intercept) if slope.fit else None
    foretold = PREDICTED[slope.held_out.within]
    return f"{slope.what}, {slope.unit}", model, intercept, *fit_cells(slope), foretold


def ranked_cells(ranked: Ranked, slopes: dict[str, Slope]) -> tuple[str | None, ...]:
    """One row of needs."""
    row, need = ranked.row, four_digits(ranked.need)
    ratio = row.mechanism if row.need is None else four_digits(ranked.ratio)
    at_size = f"{need} {row.unit}" if need else None
    return (
        f"{row.role}: {row.title}",
        *fit_cells(slopes.get(row.what)),
        at_size,
        four_digits(row.budget),
        ratio,
    )


def print_capacity(found: Capacity) -> None:
    """Both tables, on standard output."""
    console.print_table("slopes", [slope_cells(s) for s in found.slopes.values()], SLOPE_HEADINGS)
    rows = [ranked_cells(r, found.slopes) for r in found.ranked]
    console.print_table("needs at the planned size", rows, ROW_HEADINGS)
    click.echo(f"{found.processor_s:.1f} s of processor time")


def selected_probes(only: tuple[str, ...]) -> list[Probe]:
    """The probes of these names, or all. Errors: click.UsageError for an unknown name."""
    from lichenquay.testbed.scale.catalogue import PROBES

    names = [probe.name for probe in PROBES]
    for name in only:
        if name not in names:
            raise click.UsageError(f"--only: {name!r} is none of {', '.join(names)}")
    return [probe for probe in PROBES if not only or probe.name in only]


@click.command()
@click.option("--full", is_flag=True, help="Up to 25,000 engines and 800 fronts: minutes.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--only", multiple=True, help="The probe of this name alone; may be repeated.")
@console.json_option
def capacity(full: bool, seed: int, only: tuple[str, ...], json_path: str | None) -> None:
    """Measure what control costs by size, and set the planned size's needs beside their budgets."""
    from lichenquay.testbed.scale import capacity as scale

    probes = selected_probes(only)
    with console.progress("capacity") as done:
        found = scale.run(full, seed, done, probes)
    console.write_json(json_path, scale.as_json(found))
    print_capacity(found)

"""The HTML page of a run, a single file with plots and tables. Latency counts from the intended send time."""

import base64
import html
import io
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

TIME_BINS = 60
ENGINE_SAMPLES = 240
SPECTRUM_POINTS = 120
MIN_DURATION_S = 0.1

STYLE = (
    "body{font:14px sans-serif;margin:2em}"
    "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}"
)


class EngineSpan(NamedTuple):
    """The interval in which a query ran at an engine, in milliseconds."""

    engine: str
    start_ms: float
    end_ms: float


def figure_as_html(figure):
    """Returns a figure as an HTML image with embedded data, and closes the figure."""
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90, bbox_inches="tight")
    plt.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def plot_over_time(columns, seconds):
    """Returns the plots of latency percentiles and rates over the intended send time."""
    edges_ms = np.linspace(0, max(seconds, MIN_DURATION_S) * 1000, TIME_BINS + 1)
    bins = np.clip(np.digitize(columns["at_ms"], edges_ms) - 1, 0, TIME_BINS - 1)
    centers_s = (edges_ms[:-1] + edges_ms[1:]) / 2000
    bin_seconds = (edges_ms[1] - edges_ms[0]) / 1000
    figure, (latency_plot, rate_plot) = plt.subplots(2, 1, figsize=(10, 6), sharex=True)
    _plot_percentiles(latency_plot, centers_s, bins, columns["answered_ms"] - columns["at_ms"])
    answered_ms = columns["answered_ms"][~np.isnan(columns["answered_ms"])]
    rate_plot.plot(centers_s, np.bincount(bins, minlength=TIME_BINS) / bin_seconds, label="asked")
    rate_plot.plot(centers_s, np.histogram(answered_ms, edges_ms)[0] / bin_seconds, label="answered")
    rate_plot.set_ylabel("queries per second")
    rate_plot.set_xlabel("s")
    rate_plot.legend()
    return figure_as_html(figure)


def _plot_percentiles(plot, centers_s, bins, latency_ms):
    is_answered = ~np.isnan(latency_ms)
    latency_by_bin = [latency_ms[(bins == number) & is_answered] for number in range(TIME_BINS)]
    for percentile, label in ((50, "p50"), (90, "p90"), (99, "p99"), (100, "max")):
        values = [np.percentile(values, percentile) if len(values) else np.nan for values in latency_by_bin]
        plot.plot(centers_s, values, label=label)
    plot.set_yscale("log")
    plot.set_ylabel("ms since the intended send time")
    plot.legend(ncols=4)


def plot_spectrum(latency):
    """Returns the plot of latency percentiles on a logarithmic scale, from histograms by group."""
    figure, plot = plt.subplots(figsize=(10, 4))
    quantiles = 1 - np.logspace(0, -5, SPECTRUM_POINTS)
    for group, histogram in latency.items():
        if histogram.get_total_count():
            latency_ms = [histogram.get_value_at_percentile(100 * share) / 1000 for share in quantiles]
            plot.plot(1 / (1 - quantiles), latency_ms, label=group)
    plot.set_xscale("log")
    plot.set_yscale("log")
    plot.set_xlabel("1 / share of slower queries")
    plot.set_ylabel("ms")
    plot.legend()
    return figure_as_html(figure)


def plot_engines(ledger):
    """Returns the plot of the running queries of each engine over time, or '' if none ran."""
    spans = _engine_spans(ledger)
    if not spans:
        return ""
    start_ms = min(span.start_ms for span in spans)
    end_ms = max(span.end_ms for span in spans)
    times_ms = np.linspace(start_ms, end_ms, ENGINE_SAMPLES)
    figure = plt.figure(figsize=(10, 4))
    plot = figure.gca()
    for engine in sorted({span.engine for span in spans}):
        starts_ms = np.array([span.start_ms for span in spans if span.engine == engine])
        ends_ms = np.array([span.end_ms for span in spans if span.engine == engine])
        running = [((starts_ms <= time_ms) & (ends_ms > time_ms)).sum() for time_ms in times_ms]
        plot.plot((times_ms - start_ms) / 1000, running, label=engine)
    plot.set_xlabel("s")
    plot.set_ylabel("running queries")
    plot.legend(ncols=4, fontsize="small")
    return figure_as_html(figure)


def _engine_spans(ledger):
    spans = []
    start_ms_by_query = {}
    for entry in ledger:
        if entry["kind"] == "start":
            start_ms_by_query[entry["engine"], entry["ref"]] = entry["ms"]
        elif entry["kind"] == "end":
            start_ms = start_ms_by_query.pop((entry["engine"], entry["ref"]), None)
            if start_ms is not None:
                spans.append(EngineSpan(entry["engine"], start_ms, entry["ms"]))
    return spans


def write_page(path, title, figures, columns, latency, ledger=()):
    """Writes the HTML page of a run.

    Parameters
    ----------
    path: the file to write.
    title: the heading of the page.
    figures: a report as from `build_report`; nested values other than the groups are omitted.
    columns: arrays of the run's queries, by column name.
    latency: histograms in microseconds, by group.
    ledger: the entries of the engines' ledgers.
    """
    escaped_title = html.escape(title)
    text = (
        f"<!doctype html><meta charset=utf-8><title>{escaped_title}</title><style>{STYLE}</style>"
        f"<h1>{escaped_title}</h1>"
        f"<h2>Over time</h2>{plot_over_time(columns, figures['seconds'])}"
        f"<h2>Spectrum</h2>{plot_spectrum(latency)}"
        f"<h2>Engines</h2>{plot_engines(ledger)}"
        f"<h2>Groups</h2>{_groups_table(figures.get('groups', {}))}"
        f"<h2>Figures</h2>{_figures_table(figures)}"
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)


def _figures_table(figures):
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{html.escape(str(value))}</td></tr>"
        for name, value in figures.items()
        if not isinstance(value, dict)
    )
    return f"<table>{rows}</table>"


def _groups_table(groups):
    first_group = next(iter(groups.values()), {})
    headings = "".join(f"<th>{name}</th>" for name in first_group)
    rows = ""
    for group, figures in groups.items():
        cells = "".join(f"<td>{value}</td>" for value in figures.values())
        rows += f"<tr><td>{html.escape(group)}</td>{cells}</tr>"
    return f"<table><tr><th></th>{headings}</tr>{rows}</table>"

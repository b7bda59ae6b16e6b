"""Reads and writes traces, the queries of a run as CSV or Parquet. An invalid row invalidates the trace."""

import math
from pathlib import Path

import numpy as np
import pyarrow as pa
from pyarrow import csv, parquet

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.load.errors import TraceError
from lichenquay.load.plan import COLUMNS, fill_missing_columns

TRACE_STREAM = 3  # index of the trace's random stream among those of a seed
FIRST_ROW = 2  # rows are numbered as in a CSV file, where row 1 is the header
REQUIRED_COLUMNS = ("at_ms", "group")

MIN_VALUES = {
    "at_ms": 0.0,
    "work_ms": 0.001,
    "memory_mb": 0.0,
    "effort_ms": 0.0,
    "claim_mb": 0.0,
    "address": 0,
    "tables": 1,
    "leave_ms": 0.0,
}


def read_trace(path: str | Path, testbed: pb.Lab, seed: int = 0) -> dict[str, np.ndarray]:
    """Reads the queries of a trace as the columns of a plan.

    `at_ms` and `group` are required; other missing columns are drawn by group. Raises TraceError.
    """
    table = _read_table(path)
    columns = {}
    for name in table.column_names:
        if name not in COLUMNS:
            raise TraceError(f"{path}: unknown column {name!r}; expected some of {', '.join(COLUMNS)}")
        columns[name] = _parse_column(path, name, table.column(name).to_pylist())
    for name in REQUIRED_COLUMNS:
        if name not in columns:
            raise TraceError(f"{path}: required column {name!r} is missing")
    _check_names(path, "group", columns, testbed.groups)
    _check_names(path, "tenant", columns, testbed.tenants)
    _check_ascending(path, columns["at_ms"])
    random = np.random.default_rng(np.random.SeedSequence([seed, TRACE_STREAM]))
    return fill_missing_columns(testbed, random, columns)


def write_trace(path: str | Path, plan: dict[str, np.ndarray]) -> None:
    """Writes a plan as a trace for `read_trace`; the suffix `.csv` selects CSV, any other Parquet."""
    path = Path(path)
    table = pa.table(
        {
            name: pa.array(np.asarray(plan[name]).astype(value_type).tolist())
            for name, value_type in COLUMNS.items()
        }
    )
    if path.suffix == ".csv":
        csv.write_csv(table, path)
    else:
        parquet.write_table(table, path)


def _read_table(path):
    path = Path(path)
    try:
        if path.suffix in (".parquet", ".pq"):
            return parquet.read_table(path)
        if path.suffix != ".csv":
            raise TraceError(f"{path}: unknown suffix; expected .csv, .parquet or .pq")
        return _read_csv(path)
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror or error}") from None
    except (pa.ArrowInvalid, UnicodeDecodeError) as error:
        raise TraceError(f"{path}: {str(error).splitlines()[0]}") from None


def _read_csv(path):
    """Reads a CSV file with all values as text, so that errors can quote them as they are in the file."""
    with open(path, encoding="utf-8") as file:
        names = file.readline().strip().split(",")
    invalid_rows = []

    def collect_invalid(row):
        invalid_rows.append(row)
        return "skip"

    table = csv.read_csv(
        path,
        read_options=csv.ReadOptions(use_threads=False),
        parse_options=csv.ParseOptions(invalid_row_handler=collect_invalid),
        convert_options=csv.ConvertOptions(
            column_types={name: pa.string() for name in names}, strings_can_be_null=False
        ),
    )
    if invalid_rows:
        row = invalid_rows[0]
        raise TraceError(
            f"{path}: row {row.number}: {row.actual_columns} values; expected {row.expected_columns}"
        )
    return table


def _parse_column(path, name, values):
    value_type = COLUMNS[name]
    parsed = []
    for row, text in enumerate(values, FIRST_ROW):
        try:
            value = _parse_value(value_type, text)
        except (TypeError, ValueError):
            raise TraceError(f"{path}: row {row}: {name}: {text!r} is not a valid value") from None
        if name in MIN_VALUES and value < MIN_VALUES[name]:
            raise TraceError(f"{path}: row {row}: {name}: {value:g} is below {MIN_VALUES[name]:g}")
        parsed.append(value)
    return np.array(parsed, dtype=object if value_type is str else value_type)


def _parse_value(value_type, text):
    if value_type is np.int64:
        return int(text)
    value = value_type(text)
    if value_type is float and math.isnan(value):
        raise ValueError("NaN is not allowed")
    return value


def _check_names(path, column, columns, items):
    known_names = {item.name for item in items}
    for row, name in enumerate(columns.get(column, ()), FIRST_ROW):
        if name not in known_names:
            raise TraceError(f"{path}: row {row}: {column}: {name!r} is not in the settings")


def _check_ascending(path, at_ms):
    descents = np.flatnonzero(np.diff(at_ms) < 0)
    if len(descents):
        index = int(descents[0])
        raise TraceError(
            f"{path}: row {index + 1 + FIRST_ROW}: at_ms: {at_ms[index + 1]:g} is before {at_ms[index]:g}, "
            "the row above"
        )

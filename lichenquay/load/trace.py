"""Traces: a run's queries from CSV or Parquet, and back. A row that makes no sense is named; nothing is taken in part."""

import math
from pathlib import Path

import numpy as np
import pyarrow as pa
from pyarrow import csv, parquet

from lichenquay.load.plan import COLUMNS, fill

LEAST = {
    "at_ms": 0.0,
    "work_ms": 0.001,
    "memory_mb": 0.0,
    "effort_ms": 0.0,
    "claim_mb": 0.0,
    "address": 0,
    "tables": 1,
    "leave_ms": 0.0,
}


class BadTrace(ValueError):
    """One line: file, row, column, cause."""


def table_of(path):
    """The file as a table; a CSV's values all as text."""
    path = Path(path)
    try:
        if path.suffix in (".parquet", ".pq"):
            return parquet.read_table(path)
        if path.suffix != ".csv":
            raise BadTrace(f"{path}: neither .csv nor .parquet")
        with open(path, encoding="utf-8") as file:
            names = file.readline().strip().split(",")
        bad = []
        table = csv.read_csv(
            path,
            read_options=csv.ReadOptions(use_threads=False),
            parse_options=csv.ParseOptions(invalid_row_handler=lambda row: bad.append(row) or "skip"),
            convert_options=csv.ConvertOptions(
                column_types={n: pa.string() for n in names}, strings_can_be_null=False
            ),
        )
        if bad:
            raise BadTrace(
                f"{path}: row {bad[0].number}: {bad[0].actual_columns} values, not {bad[0].expected_columns}"
            )
        return table
    except OSError as why:
        raise BadTrace(f"{path}: {why.strerror or why}") from None
    except (pa.ArrowInvalid, UnicodeDecodeError) as why:
        raise BadTrace(f"{path}: {str(why).splitlines()[0]}") from None


def column(path, name, kind, values):
    """One column, each value checked. Rows are counted as in a CSV file: the first after the head is 2."""
    got = []
    for row, value in enumerate(values, 2):
        try:
            value = kind(value) if kind is not np.int64 else int(value)
            if kind is float and math.isnan(value):
                raise ValueError
        except (TypeError, ValueError):
            raise BadTrace(f"{path}: row {row}: {name}: not a number: {value!r}") from None
        if name in LEAST and value < LEAST[name]:
            raise BadTrace(f"{path}: row {row}: {name}: {value:g} is below {LEAST[name]:g}")
        got.append(value)
    return np.array(got, dtype=kind if kind is not str else object)


def read_trace(path, lab, seed=0):
    """The queries of a trace. `at_ms` and `group` must be there; what else is missing is drawn by the group."""
    table, said = table_of(path), {}
    for name in table.column_names:
        if name not in COLUMNS:
            raise BadTrace(f"{path}: a column that is not known: {name!r}")
        said[name] = column(path, name, COLUMNS[name], table.column(name).to_pylist())
    for name in ("at_ms", "group"):
        if name not in said:
            raise BadTrace(f"{path}: no column {name!r}")
    known = {"group": {g.name for g in lab.groups}, "tenant": {t.name for t in lab.tenants}}
    for name, names in known.items():
        for row, value in enumerate(said.get(name, ()), 2):
            if value not in names:
                raise BadTrace(f"{path}: row {row}: {name}: not known: {value!r}")
    back = np.flatnonzero(np.diff(said["at_ms"]) < 0)
    if len(back):
        i = int(back[0])
        raise BadTrace(
            f"{path}: row {i + 3}: at_ms: {said['at_ms'][i + 1]:g} is before {said['at_ms'][i]:g}, the row above"
        )
    return fill(lab, np.random.default_rng(np.random.SeedSequence([seed, 3])), said)


def write_trace(path, plan):
    """A plan as a trace that `read_trace` takes again."""
    table = pa.table({n: pa.array(np.asarray(plan[n]).astype(COLUMNS[n]).tolist()) for n in COLUMNS})
    path = Path(path)
    (csv.write_csv if path.suffix == ".csv" else parquet.write_table)(table, path)

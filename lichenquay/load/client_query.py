"""The client's record of a query, and the table of queries that a worker process writes."""

from dataclasses import dataclass
from math import nan
from typing import NamedTuple

import pyarrow as pa

from lichenquay.load.task import Task

NO_ANSWER_CODE = -1  # the answer code of a query without an answer


@dataclass(eq=False, slots=True)
class ClientQuery:
    """The client's record of a query.

    Times are milliseconds since the start of the run, NaN if the event has not happened.
    """

    ref: str
    group: str
    tenant: str
    address: str
    at_ms: float  # the intended send time
    task: Task
    estimated_work_ms: float
    estimated_memory_mb: float
    timeout_ms: int
    cancel_after_ms: float  # infinite if the client does not cancel
    retry_count: int = 0
    due_handled_ms: float = nan  # when the generator handled it as due
    sent_ms: float = nan
    answered_ms: float = nan
    answer_code: int = NO_ANSWER_CODE
    answer_count: int = 0
    has_wrong_rows: bool = False
    is_cancelled: bool = False
    connection_lost: bool = False
    waited_for_stream: bool = False
    connection: object = None
    stream: int = 0

    @property
    def is_outstanding(self):
        """Whether it was sent and its client still waits for the answer."""
        is_sent = self.sent_ms == self.sent_ms  # False for NaN, which differs from itself
        return is_sent and self.answer_count == 0 and not (self.connection_lost or self.is_cancelled)


class RecordedColumn(NamedTuple):
    """A column of the stored table, and the attribute of `ClientQuery` that it stores."""

    name: str
    attribute: str
    type: pa.DataType


RECORDED_COLUMNS = (
    RecordedColumn("ref", "ref", pa.string()),
    RecordedColumn("group", "group", pa.string()),
    RecordedColumn("tenant", "tenant", pa.string()),
    RecordedColumn("address", "address", pa.string()),
    RecordedColumn("at_ms", "at_ms", pa.float64()),
    RecordedColumn("reached_ms", "due_handled_ms", pa.float64()),
    RecordedColumn("sent_ms", "sent_ms", pa.float64()),
    RecordedColumn("answered_ms", "answered_ms", pa.float64()),
    RecordedColumn("code", "answer_code", pa.int64()),
    RecordedColumn("answers", "answer_count", pa.int64()),
    RecordedColumn("odd", "has_wrong_rows", pa.bool_()),
    RecordedColumn("left", "is_cancelled", pa.bool_()),
    RecordedColumn("cut", "connection_lost", pa.bool_()),
    RecordedColumn("waited", "waited_for_stream", pa.bool_()),
    RecordedColumn("tries", "retry_count", pa.int64()),
    RecordedColumn("allowed", "timeout_ms", pa.int64()),
)


def table_of_queries(queries: list[ClientQuery]) -> pa.Table:
    """Returns the queries as a table with one row each, in the columns of `RECORDED_COLUMNS`."""
    return pa.table(
        {
            column.name: pa.array([getattr(query, column.attribute) for query in queries], column.type)
            for column in RECORDED_COLUMNS
        }
    )

"""The simulator adapter answers batches, and reports malformed input by line and field."""

from io import StringIO

import pytest

from lichenquay.simulator_adapter.adapter import Adapter
from lichenquay.simulator_adapter.codec import MalformedInputError

HELLO = (
    "hello\tseed=5\tclasses.count=1\tclasses.0.aim_us=1000000\tclasses.0.deadline_us=6000000"
    "\tclasses.0.effect=safe\tclasses.0.name=lookup\tlimits.most_tries=3\tkinds=k\tnew_key=1\n"
)
LIST = "sheet\ttable=3\trows_in=1\nengine\tengine=e1\tclass_of_host=k\tstatus=IN\n"


def test_a_batch_is_answered_and_malformed_input_names_its_line():
    """A query that fails on its engine is retried with the time that is left."""
    text = (
        f"clock\tmoment_us=1000\n{LIST}about\twho=front_2\n{HELLO}targets\ttable=3\tstamp=1\t"
        "mode=restored\narrival\treq=7\tlane=lookup\tttl_us=90000\ngo\n"
        "clock\tmoment_us=2500\nabout\twho=front_2\n"
        "response\treq=7\tleg=0\tengine=e1\tending=E\twait_time_us=1500\tterminal=0\ngo\n"
    )
    out = StringIO()
    Adapter(StringIO(text), out).run()
    assert out.getvalue().count("send\treq=7\tengine=e1\tpatience_us=90000\n") == 1
    assert "send\treq=7\tengine=e1\tpatience_us=88500\n" in out.getvalue() and out.getvalue().endswith("ok\n")
    with pytest.raises(MalformedInputError, match="line 3: arrival: who"):
        Adapter(StringIO("clock\tmoment_us=1\nabout\twho=front_1\narrival\treq=1\ngo\n"), out).run()


def test_invalid_settings_are_malformed_input():
    """The message names the line, the section and the setting."""
    text = f"clock\tmoment_us=1000\nabout\twho=front_2\n{HELLO}go\n".replace("effect=safe", "effect=odd")
    with pytest.raises(MalformedInputError, match="line 3: hello: class 'lookup': 'effect' is 'odd'"):
        Adapter(StringIO(text), StringIO()).run()

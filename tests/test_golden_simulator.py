"""The simulator adapter answers as revision 0018238 did, byte for byte.

The transcripts under `golden/simulator` were recorded with that revision. Each holds queries of every effect,
with ordering keys, idempotency keys, bulk loads, placement constraints, tenants, and changes of the endpoint
list.
"""

from io import StringIO
from pathlib import Path

import pytest

from lichenquay.simulator_adapter.adapter import Adapter

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "simulator"


@pytest.mark.parametrize("site", ["pushed", "on_request"])
def test_the_adapter_reproduces_the_recorded_answers(site):
    """One site's discovery pushes changes, the other's must be polled."""
    read = (GOLDEN / f"{site}.in.txt").read_text(encoding="utf-8")
    written = StringIO()
    Adapter(StringIO(read), written).run()
    expected = (GOLDEN / f"{site}.out.txt").read_text(encoding="utf-8")
    assert written.getvalue().splitlines() == expected.splitlines()

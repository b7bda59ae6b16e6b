"""Parts of the gateway without I/O: parsers at every split and with random input, settings, the log."""

import contextlib
import io as text_io
import random
from types import SimpleNamespace

import pytest
from gateway_world import SETTINGS

from lichenquay.admission import domain
from lichenquay.deployment_settings import DeploymentSettings, SettingsSection
from lichenquay.gateway import engine_protocol, frames, http
from lichenquay.gateway.endpoint_events import EndpointListError, read_endpoint_update
from lichenquay.gateway.log import Log
from lichenquay.gateway.statement import table_group_of
from lichenquay.settings_section import flatten
from lichenquay.simulator_adapter.codec import WireLine


def read_frames(reader, data, splits):
    """Returns the frames that a reader yields for data that is split at these positions."""
    result, start = [], 0
    for split in (*splits, len(data)):
        for kind, stream, payload in reader.feed(data[start:split]):
            result.append((kind, stream, bytes(payload)))
        start = split
    return result


def test_frames_are_reassembled_at_every_split():
    """Their fields are read as they were written."""
    fields = frames.encode_fields([("service", "status"), ("ref", "é" * 3)])
    data = (
        frames.encode_frame(2, 1, fields, b"body")
        + frames.encode_frame(8, 7)
        + frames.encode_answer(3, 14, b"a", b"b")
    )
    unsplit = read_frames(frames.FrameReader(), data, ())
    assert unsplit == [(2, 1, fields + b"body"), (8, 7, b""), (4, 3, b"\x0e\x00ab")]
    for split in range(len(data)):
        assert read_frames(frames.FrameReader(), data, (split,)) == unsplit
    assert read_frames(frames.FrameReader(), data, range(1, len(data))) == unsplit
    pairs, body = frames.read_fields(memoryview(unsplit[0][2]))
    assert pairs == [("service", "status"), ("ref", "ééé")] and body == b"body"


@pytest.mark.parametrize("length", [0, 4, 262_145, 2**32 - 1])
def test_a_frame_with_an_invalid_length_is_an_error(length):
    """The length is too small or too large."""
    with pytest.raises(frames.FrameError):
        read_frames(frames.FrameReader(), length.to_bytes(4, "little") + b"\2\0\0\0\0", ())


def test_random_frames_raise_only_frame_errors():
    """That holds for frames and for fields."""
    rng = random.Random(5)
    for _ in range(400):
        data = bytes(rng.choice((0, 1, 2, 5, 200, 255)) for _ in range(rng.randrange(60)))
        try:
            for _, _, payload in read_frames(
                frames.FrameReader(), data, sorted(rng.choices(range(len(data) + 1), k=3))
            ):
                frames.read_fields(memoryview(payload))
        except frames.FrameError:
            pass


REPLIES = [
    b"HTTP/1.1 200 OK\r\nX-Parts: 2\r\nContent-Length: 5\r\n\r\nab\r\nc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nab\r\r\n2\r\n\nc\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:5\r\nconnection: close\r\n\r\nab\r\nc",
]


@pytest.mark.parametrize("data", REPLIES)
def test_replies_are_whole_at_every_split(data):
    """Trailing bytes are detected."""
    for split in range(len(data)):
        reader = http.ReplyReader()
        reply = reader.feed(data[:split]) if split else None
        assert reply is None
        reply = reader.feed(data[split:])
        assert (reply.status, bytes(reply.body)) == (200, b"ab\r\nc") and not reply.has_trailing_bytes
        assert reply.keep_alive is (b"close" not in data)
        assert reader.feed(data) is not None  # the next reply
    reader, reply = http.ReplyReader(), None
    for i in range(len(data)):
        assert reply is None
        reply = reader.feed(data[i : i + 1])
    assert bytes(reply.body) == b"ab\r\nc"
    reply = http.ReplyReader().feed(data + b"HTTP/1.1 500 X\r\n\r\n")
    # The reply is valid, but its connection must not be used again.
    assert bytes(reply.body) == b"ab\r\nc" and reply.has_trailing_bytes and not reply.keep_alive


def test_a_reply_may_end_with_its_connection():
    """Only if the connection is not kept alive."""
    reader = http.ReplyReader()
    assert (
        reader.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab") is None and reader.feed(b"c") is None
    )
    reply = reader.connection_closed()
    assert reply.body == b"abc" and not reply.keep_alive and http.ReplyReader().connection_closed() is None


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 20x OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n no\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"x" * 20_000,
        b"HTTP/1.1 200 OK\r\n\r\nab",
        b"HTTP/1.1 100 X\r\n\r\n" * 2000,
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_an_invalid_reply_is_an_error(data):
    """The head, the length or the encoding is invalid."""
    with pytest.raises(http.ReplyError):
        http.ReplyReader().feed(data)


def test_corrupted_replies_raise_only_reply_errors():
    """Valid replies are corrupted at random positions."""
    rng = random.Random(6)
    for _ in range(600):
        data = bytearray(rng.choice(REPLIES))
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.choice(b"\r\n:;0 9\xff")
        split, reader = rng.randrange(len(data)), http.ReplyReader()
        with contextlib.suppress(http.ReplyError):
            reader.feed(bytes(data[:split])) or reader.feed(bytes(data[split:]))


@pytest.mark.parametrize(
    "text, table_group",
    [
        ("select a from sales_17.orders", "17"),
        (
            "SELECT id, 'from lake_0.decoy' as note -- from mart_1.old\n"
            'FROM "sales_7"."orders" o_2 where o_2.x = 1',
            "7",
        ),
        (
            "select o_1.a /* mart_1.old /* nested */ lake_2.x */ from sales_12.items o_1 "
            "join ops_12.t x_3 on x_3.i = o_1.i",
            "12",
        ),
        ('insert into staging.load select * from "odd""_4".t', "4"),
        ("copy into staging.x from 's_3.t'", None),
        ("update lake_5.t set a = 'it''s s_1.t' where b_2.c = 1.5", "5"),
        ("delete from ops_9.t", "9"),
        ("with w as (select * from lake_3.stock) select id from w", "3"),
        ("select 1", None),
        ("", None),
        ("select extract(day from o_1.at), $$ from q_2.r $$ from db.s_8.t o_1", "8"),
        ("from s_6 . t", "6"),
        ("merge into `m_2`.t using u_2.v on true", "2"),
        ("select 'open from s_1.t", None),
        ("/* from s_1.t", None),
    ],
)
def test_the_table_group_of_a_statement_is_found(text, table_group):
    """Names in strings, comments and aliases are ignored."""
    assert table_group_of(text) == table_group


def test_the_lexer_accepts_any_text():
    """Random sequences of tokens raise no exception."""
    rng = random.Random(7)
    for _ in range(500):
        table_group_of(
            "".join(
                rng.choice(["'", '"', "/*", "*/", "--", "\n", "$$", "s_1", ".", "(", ")", " from ", "`", "é"])
                for _ in range(30)
            )
        )


def test_gateway_and_simulator_read_settings_alike():
    """The gateway reads JSON, the simulator adapter text."""
    fields = flatten(SETTINGS)
    line = "hello\t" + "\t".join(f"{name}={value}" for name, value in fields.items())
    from_json = DeploymentSettings(SettingsSection.from_json(SETTINGS), 5)
    from_text = DeploymentSettings(SettingsSection(WireLine(1, line).fields), 5)
    assert [vars(group) for group in from_json.groups.values()] == [
        vars(group) for group in from_text.groups.values()
    ]
    assert (
        from_json.gateway,
        from_json.permissions,
        from_json.safety_limits,
        from_json.capabilities,
        from_json.sizes_by_kind,
    ) == (
        from_text.gateway,
        from_text.permissions,
        from_text.safety_limits,
        from_text.capabilities,
        from_text.sizes_by_kind,
    )
    manifest = from_json.groups["manifest"]
    assert manifest.effect == domain.Effect.NON_IDEMPOTENT and manifest.is_bulk_load
    assert from_json.permissions.max_attempts == 6 and from_json.sizes_by_kind == {"k": (8.0, 16384.0)}


def test_load_reports_costs_and_progress_are_read():
    """Invalid values are omitted, but an invalid endpoint record is an error."""

    def reply(**headers):
        return SimpleNamespace(
            headers={"x-" + name.replace("_", "-"): value for name, value in headers.items()}
        )

    assert engine_protocol.read_load_report(reply(report="inflight:7;util:0.61;odd;x:")) == {
        "active": 7.0,
        "cpu": 0.61,
    }
    assert (
        engine_protocol.read_load_report(reply()) is None
        and engine_protocol.read_load_report(reply(report="odd")) is None
    )
    assert (
        engine_protocol.read_cost(reply(cpu_ms="12.5", mem_used="64")) == (12.5, 64.0)
        and engine_protocol.read_cost(reply()) is None
    )
    assert (
        engine_protocol.read_cost(reply(cpu_ms="inf", mem_used="64")) is None
        and engine_protocol.read_load_report(reply(report="inflight:-1")) is None
    )
    assert engine_protocol.read_progress(reply(tell="held", amount="2")) == (domain.ProgressKind.WAITING, 2.0)
    assert not any(
        engine_protocol.read_progress(reply(**headers))
        for headers in ({}, dict(tell="held"), dict(tell="odd", amount="1"), dict(tell="share", amount="nan"))
    )
    for record in (
        {"uid": "a", "endpoint": "h:1", "state": "ASLEEP"},
        {"uid": "a", "endpoint": "h", "state": "SERVING"},
        3,
    ):
        with pytest.raises(EndpointListError):
            read_endpoint_update({"roster": {"all": False, "targets": [record]}})


def test_the_rate_of_log_lines_of_one_kind_is_limited():
    """Suppressed lines are counted in a line of their own."""
    clock, out = SimpleNamespace(now=0.0), text_io.StringIO()
    log = Log(lambda: clock.now, out)
    for _ in range(100):
        log("a", "same")
    log("b", "other")
    clock.now = 1.5
    log("a", "later")
    assert out.getvalue().count("same") == 5 and "95 more" in out.getvalue() and "later" in out.getvalue()

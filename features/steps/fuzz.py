"""Steps that feed random bytes and values to everything that decodes what others send."""

import asyncio
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import msgspec
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.fake_mesh import FakeMesh, make_host
from features.virtual_time import run_virtual
from wagtailloft import settings as daemon_settings
from wagtailloft.adapters import server as http_server
from wagtailloft.adapters.callers import CallerHandler
from wagtailloft.adapters.server import HttpRequest
from wagtailloft.errors import FixSettings, Kind, NoResponse
from wagtailloft.fleet import mesh
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import ENCODER, Frame, Hello, HelloReply
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.ports import LinkSpec

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

import links  # noqa: E402
import records  # noqa: E402
import settings_file  # noqa: E402
import store as platform_store  # noqa: E402
import wire  # noqa: E402

EXAMPLES = 300
MAX_LINE = 64  # of the decoder under test

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=12),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=12), inner, max_size=4),
    max_leaves=12,
)


def mutated(*samples):
    """Return a strategy of valid samples with random bytes in, between or instead of them."""
    parts = st.sampled_from(samples) | st.binary(max_size=40)
    streams = st.lists(parts, max_size=6).map(b"".join)
    cuts = st.tuples(streams, st.integers(0, 400), st.integers(0, 3), st.binary(max_size=3))
    return streams | cuts.map(lambda c: c[0][: c[1]] + c[3] + c[0][c[1] + c[2] :])


def fuzz(*strategies):
    """Return a decorator that runs a function at once on random values of the strategies."""

    def run(function):
        settings(max_examples=EXAMPLES, deadline=None, database=None)(
            given(*strategies)(function)
        )()

    return run


class FakeTransport:
    """A transport that remembers whether it was aborted."""

    def __init__(self):
        """Start open."""
        self.closed = False

    def write(self, data):
        """Ignore written data."""

    def is_closing(self):
        """Tell whether the connection was closed."""
        return self.closed

    def abort(self):
        """Close the connection."""
        self.closed = True

    def get_extra_info(self, name):
        """Return no socket."""
        return None


@then("any stream of bytes is split into the same messages, however it arrives, in bounded memory")
def step_caller_bytes(context):
    samples = (b"STARTUP orders key\r\n", b"QUERY q1 READ item\n", b"QUERY q2 PREPARE p READ x\r\n")

    @fuzz(mutated(*samples, b"QUIT\r\n", b"x" * 80), st.lists(st.integers(0, 300), max_size=4))
    def check(stream, cuts):
        whole = wire.LineDecoder(max_bytes=MAX_LINE).feed(stream)
        decoder, lines = wire.LineDecoder(max_bytes=MAX_LINE), []
        bounds = sorted(min(c, len(stream)) for c in cuts)
        for start, end in zip([0, *bounds], [*bounds, len(stream)], strict=True):
            lines += decoder.feed(stream[start:end])
            # A message of the largest size may wait for the second byte of its line end.
            assert len(decoder._buffer) <= MAX_LINE + 1
        assert lines == whole, (lines, whole)
        for line in whole:
            assert isinstance(wire.decode_message(line), wire.Message)


@then("a link that receives any bytes completes what waits, or is closed, and raises nothing")
def step_target_bytes(context):
    samples = (b"ROW a\r\n", b"DONE s\r\n", b"ERR BUSY x\r\n", b"READY I 1.2\r\n", b"READY T -\r\n")

    @fuzz(mutated(*samples, b"ROW primary 1 1.1 0 0 0 0\r\n"), st.integers(0, 3))
    def check(stream, waiting):
        async def run():
            spec = LinkSpec(target="m0", address="127.0.0.1:1", team="t", group="g")
            link = links.TargetLink(spec=spec)
            link._transport = FakeTransport()
            calls = [asyncio.create_task(link.status(0.05)) for _ in range(waiting)]
            await asyncio.sleep(0)
            link.data_received(stream)
            results = await asyncio.gather(*calls, return_exceptions=True)
            wrong = [r for r in results if isinstance(r, Exception) and type(r) is not NoResponse]
            assert not wrong, wrong

        run_virtual(run())


@then("a connection between hosts that receives any bytes raises nothing, in bounded memory")
def step_host_bytes(context):
    hello = Hello(host=make_host(1, 1))
    bodies = [
        ENCODER.encode(Frame(call_id=1, is_response=response, body=body))
        for response, body in (
            (False, hello),
            (True, HelloReply(host=make_host(2, 1))),
            (True, None),
        )
    ]
    samples = [len(body).to_bytes(mesh.HEADER_BYTES) + body for body in bodies]

    async def handle(conn, message):
        return HelloReply(host=make_host(2, 1))

    @fuzz(mutated(*samples, (2**31).to_bytes(mesh.HEADER_BYTES)))
    def check(stream):
        async def run():
            conn = mesh.PeerConnection(handler=handle, on_lost=lambda c: None)
            conn._transport = FakeTransport()
            conn.data_received(stream)
            assert len(conn._buffer) <= mesh.MAX_FRAME_BYTES + mesh.HEADER_BYTES
            await asyncio.sleep(0.01)

        run_virtual(run())


@then("any response of the store is cached or counts as none")
def step_store_responses(context):
    specs = {
        "service": "g",
        "addr": "10.0.0.1:80",
        "zone": "z",
        "version": "v",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "db_role": "primary",
    }
    fields = st.dictionaries(st.sampled_from([*specs, "version", "routes", "type"]), json_values)
    spec = json_values | fields.map(lambda changed: {**specs, **changed})
    stored = st.fixed_dictionaries(
        {
            "meta": json_values
            | st.fixed_dictionaries({"name": st.text(), "revision": st.integers()})
        },
        optional={"spec": spec},
    )
    body = st.fixed_dictionaries(
        {"at": st.integers() | json_values},
        optional={"items": st.lists(stored | json_values, max_size=3)},
    )
    encoded = (body | json_values).map(lambda value: msgspec.json.encode(value)) | st.binary()

    @fuzz(
        encoded, st.sampled_from([200, 410, 500]), st.integers(0, 3), st.sampled_from(list(Topic))
    )
    def check(raw, status, era, topic):
        async def run():
            response = platform_store._Response(status, raw, era)
            try:
                decoded = platform_store._decode_changes(response)
                entries = tuple(records.decode_entry(topic, o, era) for o in decoded.items)
                revision = platform_store.make_revision(era, decoded.at)
            except StoreDown:
                return
            hosts = Hosts(own=make_host(0, 1), mesh=FakeMesh())
            cache = StoreCache(
                store=None, hosts=hosts, mesh=FakeMesh(), max_age=3.3, assignment_max_age=2.4
            )
            changes = platform_store.Changes(
                topic=topic, revision=revision, is_snapshot=True, entries=entries
            )
            cache.apply(changes, 0.0)

        run_virtual(run())


@then("any bytes over HTTP become requests or a refusal, and any request is parsed or refused")
def step_http_bytes(context):
    request = b"POST /v1/routes/r/statements HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"
    samples = (request, b"GET / HTTP/1.1\r\n", b"Connection: Upgrade\r\nUpgrade: x\r\n", b"\r\n")

    @fuzz(mutated(*samples, b"Transfer-Encoding: chunked\r\n", b"Expect: 100-continue\r\n"))
    def check_bytes(stream):
        connection = http_server._Connection(sock=SimpleNamespace(send=lambda data: None))
        connection.feed(stream)

    handler = CallerHandler(entry=None, body_limit=lambda route: 100)
    names = ["wagtail-deadline-ms", "wagtail-max-age-ms", "authorization", "wagtail-request-id"]
    paths = st.sampled_from(["/v1/routes/r/statements", "/v1/routes/%FF/transactions/t/commit"])
    bodies = st.binary(max_size=120) | json_values.map(msgspec.json.encode)

    @fuzz(
        paths | st.text(),
        st.dictionaries(st.sampled_from(names), st.text()),
        bodies | st.just(b'{"sql": "SELECT 1"}'),
    )
    def check_request(path, headers, body):
        parsed = handler.parse(HttpRequest(method="POST", path=path, headers=headers, body=body))
        assert parsed.is_ok() or parsed.err_value.kind is not None


@then("it is refused as too large within 256 KiB, and a body in chunks of one byte is not")
def step_http_trailer(context):
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    for start in (b"2\r\n{}\r\n0\r\nX: ", b"2\r\n{}\r\n0;x="):
        connection = http_server._Connection(sock=SimpleNamespace())
        connection.feed(head + start)
        for _ in range(16):
            if not connection.ready:
                connection.feed(b"a" * http_server.RECV_BYTES)
        assert [r.parse_error for r in connection.ready] == [Kind.TOO_LARGE], start
    connection = http_server._Connection(sock=SimpleNamespace())
    connection.feed(head)
    for _ in range(100):
        connection.feed(b"1\r\na\r\n" * 1000)
    connection.feed(b"0\r\n\r\n")
    assert [len(r.body) for r in connection.ready] == [100_000]


@then("any settings file is read or refused with its errors")
def step_settings_files(context):
    lines = st.sampled_from(
        ["[host]", "ip = 10.0.0.1", "name = a", "[platform]", "address = 10.0.0.1:80", "drain = 1s"]
    )
    texts = st.lists(lines | st.text(max_size=20), max_size=10).map("\n".join)
    path = Path(context.stack.enter_context(tempfile.TemporaryDirectory())) / "host.toml"

    @fuzz(texts)
    def check_ini(text):
        try:
            daemon_settings.parse("host.ini", text)
        except FixSettings as exc:
            assert str(exc)

    values = st.one_of(st.integers(), st.text(max_size=8), st.lists(st.integers(), max_size=3))
    toml = st.dictionaries(
        st.sampled_from(["node_name", "ip", "zone", "region", "port_range", "seeds", "bootstrap"]),
        values,
    ).map(lambda d: "\n".join(f"{k} = {msgspec.json.encode(v).decode()}" for k, v in d.items()))
    tables = (
        '\n[listen]\nfrontend = "1.1.1.1:1"\nready = "1.1.1.1:2"\n[platform]\naddr = "1.1.1.1:3"'
    )

    @fuzz(toml.map(lambda t: t + tables + '\n[cloud_api]\naddr = "1.1.1.1:4"') | texts)
    def check_toml(text):
        path.write_bytes(text.encode("utf-8", "surrogatepass"))
        try:
            settings_file.load(str(path))
        except FixSettings as exc:
            assert str(exc)

"""Steps for odd values in settings, lines and our own interface, and for large ones."""

import asyncio
import base64
import json
import math
import re
import socket
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import then
from hypothesis import strategies as st

from features.steps.fuzz import FakeTransport, fuzz, json_values, mutated
from features.steps.odd_entries import (
    DEEP_ARRAY,
    DEEP_OBJECT,
    RawStore,
    encode_object,
    good_object,
    make_client,
    targets_of,
)
from features.steps.robustness import make_target_link
from features.virtual_time import run_virtual
from wagtailloft import logs, options
from wagtailloft import settings as daemon_settings
from wagtailloft.adapters import peers
from wagtailloft.adapters.callers import CallerHandler
from wagtailloft.adapters.http import HttpConnection
from wagtailloft.adapters.members import HttpMemberLink, MemberRequest, _decode_progress
from wagtailloft.adapters.object_api import HttpObjectApi, WriteConflict
from wagtailloft.adapters.peers import (
    _decode_grant,
    from_thrift_delta,
    from_thrift_digest,
    to_thrift_delta,
)
from wagtailloft.adapters.server import HttpRequest
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.errors import FixSettings, Kind, NoResponse, NotSent
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import (
    Topic,
)
from wagtailloft.gen.peer import ttypes
from wagtailloft.groups.ports import BoundStatement, LinkSpec
from wagtailloft.json_parts import split_array, split_object
from wagtailloft.models import Member, Mode, Team
from wagtailloft.operators import OperatorService
from wagtailloft.session_tokens import SessionTokens, _tag
from wagtailloft.sessions.session import Session
from wagtailloft.sessions.statements import (
    PreparedStatement,
    Statement,
    StatementResult,
    TransactionState,
    Verb,
)

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

import front  # noqa: E402
import links  # noqa: E402
import settings_file  # noqa: E402
import store as platform_store  # noqa: E402
import wire  # noqa: E402

# Settings.

TOML = """
node_name = "h"
ip = "10.0.0.1"
zone = "z"
region = "r"
port_range = [2, 3]
[listen]
frontend = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
addr = "10.0.0.1:82"
[cloud_api]
addr = "10.0.0.1:83"
[bounds]
revoke_ms = 5000
config_apply_ms = 3000
grace_s = 6
quota_window_s = 5
quota_excess = 0.1
quota_slack = 20
[limits]
max_fds = 1024
memory_mb = 256
"""
INI = """
[host]
name = a
ip = 10.0.0.1
zone = z
region = r
caller_port = 1
peer_port = 2
operator_port = 3
[platform]
address = 10.0.0.1:82
[session]
secret = xxxxxxxxxxxxxxxxxxxx
[process]
threads = 9
drain = 1s
"""
ODD_TOML_VALUES = (
    "nan",
    "inf",
    "-inf",
    "-1",
    "1e400",
    "9" * 40,
    "9" * 5000,
    "[" * 2000 + "]" * 2000,
)
ODD_INI_VALUES = (
    "nan",
    "inf",
    "-1",
    "1e400",
    "9" * 40,
    "9" * 5000,
    "9" * 400 + "s",
    "1" * 17 + "s",
)


def odd_files(text, values):
    """Return a settings file with each of its numbers replaced by each odd value."""
    for match in re.finditer(r"^(\w+) = (\[.*\]|[\d.]+s?)$", text, re.MULTILINE):
        for value in values:
            yield match[1], f"{text[: match.start(2)]}{value}{text[match.end(2) :]}"


def expect_refusal(load, option, text):
    """Return what is wrong with the refusal of a settings file, None if nothing is."""
    try:
        load(text)
    except FixSettings as exc:
        return None if str(exc) else (option, "no message")
    except Exception as exc:
        return option, type(exc).__name__
    return option, text[-300:]


@then("each odd settings file is refused with its errors")
def step_odd_settings(context):
    path = Path(context.stack.enter_context(tempfile.TemporaryDirectory())) / "host.toml"

    def load_toml(text):
        path.write_text(text)
        return settings_file.load(str(path))

    assert load_toml(TOML) and daemon_settings.parse("host.ini", INI)
    odd = [expect_refusal(load_toml, *item) for item in odd_files(TOML, ODD_TOML_VALUES)]
    for old, new in (
        ('"h"', '"h\\r\\nx"'),
        ('"h"', '"' + "h" * 1000 + '"'),
        ('"10.0.0.1"', '"10.0.0"'),
        ("[2, 3]", "[0, 3]"),
        ("[2, 3]", "[2, 70000]"),
        ("[2, 3]", "[-2, 3]"),
        ("[2, 3]", "[3, 2]"),
    ):
        odd.append(expect_refusal(load_toml, new, TOML.replace(old, new, 1)))
    for option, text in odd_files(INI, ODD_INI_VALUES):
        odd.append(expect_refusal(lambda t: daemon_settings.parse("host.ini", t), option, text))
    assert not any(odd), [o for o in odd if o]


@then("each odd value of an option is refused with what is expected")
def step_odd_options(context):
    for option in msgspec.structs.fields(options.Options):
        for value in (
            "9" * 400,
            "9" * 400 + "s",
            "9" * 400 + "B",
            "nan",
            "inf",
            "-1",
            "\u0663s",
            "",
        ):
            parsed = options.parse(option.name, value)
            assert parsed.is_err() and parsed.err_value, (option.name, value[:9])


# Lines of callers and targets.


def run_at_link(response):
    """Return the link that got the bytes of a response to a statement, and the exception raised."""

    async def run():
        link = make_target_link()
        bound = BoundStatement(request_id="r", statement=Statement(verb=Verb.READ, text="READ 1"))
        running = asyncio.create_task(link.run(bound, 0.2))
        await asyncio.sleep(0)
        kept = 0
        for chunk in response:
            if not link.closed:
                link.data_received(chunk)
            kept = max(kept, sum(len(r) for p in link._pending for r in p.rows))
        if link.closed:
            link.connection_lost(None)
        (result,) = await asyncio.gather(running, return_exceptions=True)
        return link, result, kept

    return run_virtual(run())


@then("a statement whose response is {response} gets no response, and the link is closed")
def step_odd_response(context, response):
    text = response.replace("TOO LONG", "ROW " + "x" * wire.MAX_MESSAGE_BYTES)
    data = "".join(f"{line}\r\n" for line in text.split("/")).encode()
    link, result, _ = run_at_link([data])
    assert isinstance(result, NoResponse) and link.closed, result


@then("a link keeps a bounded part of a response, and gets no response")
def step_endless_rows(context):
    row = b"ROW " + b"x" * 1000 + b"\r\n"
    link, result, kept = run_at_link(row * 1000 for _ in range(40))
    assert isinstance(result, NoResponse) and link.closed, result
    assert kept <= links.MAX_RESPONSE_CHARS, kept


@then("a link to a target at port {port:d} is not opened, and nothing was sent")
def step_odd_port(context, port):
    async def check():
        spec = LinkSpec(group="g", target="m", address=f"127.0.0.1:{port}", team="t")
        try:
            await links.TargetLinkFactory(source="127.0.0.1").open(spec)
        except NotSent:
            return
        raise AssertionError("a link was opened")

    asyncio.run(check())


class PausableTransport(FakeTransport):
    """A transport that stops delivering while reading is paused."""

    paused = False

    def pause_reading(self):
        """Pause."""
        self.paused = True

    def resume_reading(self):
        """Resume."""
        self.paused = False

    close = FakeTransport.abort


@then("at most 4 MiB of a caller's messages wait at a host, and all are processed in order")
def step_large_messages(context):
    async def check():
        handled = []

        async def handle(request_id, statement):
            handled.append(request_id)
            await asyncio.sleep(0.01)
            return StatementResult()

        server = SimpleNamespace(closing=False, connections=set())
        connection = front.CallerConnection(server=server, name="s1")
        connection._transport = transport = PausableTransport()
        connection.session = SimpleNamespace(handle=handle, state=TransactionState.IDLE)
        text = b" WRITE a " + b"x" * (wire.MAX_MESSAGE_BYTES - 100) + b"\r\n"
        stream = b"".join(b"QUERY %d" % n + text for n in range(40))
        most = 0
        for start in range(0, len(stream), 1 << 18):
            while transport.paused:
                await asyncio.sleep(0.01)
            connection.data_received(stream[start : start + (1 << 18)])
            waiting = (m.statement.text for m in connection._messages)
            most = max(most, sum(len(t) for t in waiting))
        await asyncio.sleep(1.0)
        assert handled == [str(n) for n in range(40)], handled
        assert most <= 4 << 20, most

    run_virtual(check())


@then(
    "the variables and prepared statements of a session have at most 2 MiB, and others are refused"
)
def step_session_state(context):
    async def check():
        admission = SimpleNamespace(
            record_result=lambda *_: None, age=lambda: 0.0, digest=lambda key: ""
        )
        session = Session(name="s", database="d", key="", admission=admission, dispatcher=None)
        value = "x" * (1 << 19)
        kinds = []
        for n in range(8):
            prepared = PreparedStatement(mode=Mode.READ, text=value)
            for statement in (
                Statement(verb=Verb.SET, name=f"v{n}", argument=value),
                Statement(verb=Verb.PREPARE, name=f"p{n}", prepared=prepared),
            ):
                kinds.append((await session.handle("r", statement)).kind)
        kept = [*session._session_variables.values(), *(p.text for p in session._prepared.values())]
        assert 1 << 20 <= sum(map(len, kept)) <= 2 << 20, [len(k) for k in kept]
        assert kinds.count(Kind.TOO_LARGE) == 16 - len(kept), kinds
        again = Statement(verb=Verb.SET, name="v0", argument="short")
        assert (await session.handle("r", again)).ok
        assert (await session.handle("r", Statement(verb=Verb.DEALLOCATE, name="p0"))).ok

    run_virtual(check())


@then("a log line of values with 1 MiB has at most 4 KiB")
def step_long_log_values(context):
    for value in ("x" * (1 << 20), "\n" * (1 << 20), b"x" * (1 << 20)):
        line = logs.format_event("refused", {"request": value, "ms": 1.0})
        assert len(line) <= 4096 and line.endswith("ms=1"), (len(line), line[-30:])


# Our own interface.

ODD_VALUES = (DEEP_ARRAY, DEEP_OBJECT, b"NaN", b'"\xff"', b'"\\ud800"', b"7", b"[]", b"{}", b"nul")


@then("each odd body of a caller or an operator is refused as a bad request")
def step_odd_bodies(context):
    handler = CallerHandler(entry=None, body_limit=lambda route: 1 << 20)
    operators = OperatorService.__new__(OperatorService)
    for value in ODD_VALUES:
        for body in (value, b'{"sql":"x","args":[%s]}' % value, b'{"sql":"x","args":%s}' % value):
            if body.endswith(b"[7]}") or body.endswith(b":[]}"):
                continue  # good arguments
            refused = handler.parse(
                HttpRequest(method="POST", path="/v1/routes/r/statements", body=body)
            )
            assert refused.is_err() and refused.err_value.kind is Kind.BAD_REQUEST, body[:40]
        for body in (value, b'{"name":"t","rate":%s}' % value):
            if body.endswith(b":7}"):
                continue  # a good rate
            refused = operators._decode_valid("team", "t", body)
            assert refused.is_err() and refused.err_value.kind is Kind.BAD_REQUEST, body[:40]


class RawPlatform:
    """The HTTP transport of a client of the object API that answers with raw JSON."""

    def __init__(self, data, status=200):
        """Answer with the given body."""
        self.data, self.status = data, status

    def request(self, method, url, **kwargs):
        """Answer a call."""
        return SimpleNamespace(status=self.status, data=self.data, headers={"Store-Era": "1"})


def odd_changes():
    """Return the JSON of changes that are of no use."""
    change = b'{"kind":%s,"name":%s,"revision":%s,"value":%s}'
    odd = [change % (b'"team"', b'"odd"', b"2", value) for value in ODD_VALUES]
    odd += [
        change % (b'"team"', b'"odd"', number, b'{"name":"odd"}')
        for number in (b"-1", b"1" * 13, b"9" * 40, b"9" * 6000, b"1e400", b"null", DEEP_ARRAY)
    ]
    for kind, value in (
        (
            b'"host"',
            b'{"name":"h","ip":"1.1.1.1","caller_port":1,"peer_port":70000,"operator_port":1}',
        ),
        (b'"leadership"', b'{"term":18446744073709551616}'),
        (b'"era"', b'{"era":9223372036854775807}'),
        (b'"era"', b'{"era":"x"}'),
        (b'"epoch"', b'{"name":"x","holder":"h","epoch":-1}'),
        (b'"team"', b'{"name":"odd","rate":1e300}'),
        (b"7", b"{}"),
        (DEEP_ARRAY, b"{}"),
    ):
        odd.append(change % (kind, b'"odd"', b"2", value))
    return [*odd, b"7", b"null", DEEP_ARRAY, b"{}"]


@then("for each odd object, the good ones of a list are decoded, and the odd one is logged once")
def step_odd_changes(context):
    good = [
        b'{"kind":"team","name":"%s","revision":%d,"value":{"name":"%s"}}' % (n, r, n)
        for n, r in ((b"a", 1), (b"z", 3))
    ]
    failures = []
    for odd in odd_changes():
        lines = []
        api = HttpObjectApi(address="127.0.0.1:1", source="127.0.0.1")
        api._http = RawPlatform(
            b'{"revision":3,"whole":true,"changes":[%s,%s,%s]}' % (good[0], odd, good[1])
        )
        try:
            with patch.object(logs, "warn", lambda name, /, _lines=lines, **_: _lines.append(name)):
                delta = [api.watch(0, 0.0).ok_value for _ in range(3)][-1]
                cache = ObjectCache()
                cache.apply(delta)
            assert [c.name for c in delta.changes] == ["a", "z"], delta
            assert lines == ["object_unreadable"], lines
            to_thrift_delta(cache.changes_since(0)).validate()
        except Exception as exc:
            failures.append((odd[:90], repr(exc)[:90]))
    assert not failures, f"{len(failures)} of {len(odd_changes())}: {failures}"


@then("for each odd object, a read of it counts as a platform that does not answer")
def step_odd_reads(context):
    for odd in odd_changes():
        api = HttpObjectApi(address="127.0.0.1:1", source="127.0.0.1")
        api._http = RawPlatform(odd)
        kind = re.match(rb'{"kind":"(\w+)"', odd)
        found = api.get(kind[1].decode() if kind else "team", "odd")
        assert found.is_err() and found.err_value.kind is Kind.PLATFORM_DOWN, odd[:90]


@then("each odd response of a member counts as no response")
def step_odd_member(context):
    good = b'{"term":1,"position":{"term":1,"index":2},"results":[]}'
    member = Member(name="m", ip="127.0.0.1", port=1, control_port=1)
    numbers = (b"-1", b"9223372036854775808", b"9" * 60, b"1e400", *ODD_VALUES)
    bodies = [good.replace(b":1,", b":%s," % n, 1) for n in numbers if n != b"7"]
    bodies += [good.replace(b":2}", b":%s}" % n, 1) for n in numbers if n != b"7"]
    bodies += [v for v in ODD_VALUES]
    for body, status in [(b, s) for b in bodies for s in (200, 400)]:
        link = HttpMemberLink(member=member, source="127.0.0.1")
        link._conn = SimpleNamespace(
            usable=True, exchange=lambda *_, r=(status, body): r, close=lambda: None
        )
        try:
            link.call("run", MemberRequest(term=1, mode="read"), 1.0)
        except NoResponse:
            continue
        raise AssertionError((status, body[:90]))
    progress = b'{"name":"m","term":1,"role":"primary","received":{},"applied":{},"source_age":%s}'
    for number in (b"-1", b"1e300", *(v for v in ODD_VALUES if v != b"7")):
        try:
            _decode_progress(progress % number)
        except NoResponse:
            continue
        raise AssertionError(number[:90])


@then("each odd digest, delta, grant and request for tokens is refused")
def step_odd_peers(context):
    def refuses(decode, value):
        try:
            decoded = decode(value)
        except (ValueError, RecursionError):
            return True
        raise AssertionError(decoded)

    digest = dict(sender="h", revision=1, platform_age=0.1, news=[], fresh=True)
    assert from_thrift_digest(ttypes.Digest(**digest)) and from_thrift_digest(
        ttypes.Digest(**digest | {"platform_age": math.inf})
    )
    for odd in ({"platform_age": math.nan}, {"platform_age": -1.0}, {"revision": -1}):
        assert refuses(from_thrift_digest, ttypes.Digest(**digest | odd))
    change = ttypes.ObjectChange("team", "t", -1, b"{}")
    assert refuses(from_thrift_delta, ttypes.Changes(1, [change], False))
    assert refuses(from_thrift_delta, ttypes.Changes(-1, [], False))
    for odd in (math.nan, math.inf, -1.0):
        for field in ("tokens", "wait"):
            grant = ttypes.TokenGrant(**{"number": 1, "tokens": 1.0, "wait": 0.0, field: odd})
            assert refuses(_decode_grant, grant)
        for field in ("held", "wanted"):
            ask = dict(team="t", host="h", number=1, held=0.0, wanted=1.0) | {field: odd}
            assert refuses(peers.decode_grant_request, ttypes.TokenAsk(**ask))


@then("each odd object conflicts with a write at its revision, and its value is given as null")
def step_odd_object_conflict(context):
    for value in (*ODD_VALUES, b'{"name":"odd","rate":1e300}'):
        data = b'{"kind":"team","name":"odd","revision":2,"value":%s}' % value
        api = HttpObjectApi(address="127.0.0.1:1", source="127.0.0.1")
        api._http, api._started_era, api._era = RawPlatform(data, status=409), 1, 1
        put = api.put("team", "odd", Team(name="odd"), 10**12 + 1)
        assert put.err_value == WriteConflict(revision=10**12 + 2), (value[:20], put)


@then("each odd token is refused as a bad session")
def step_odd_tokens(context):
    tokens = SessionTokens(secrets=("x" * 20,))

    def read(body):
        signed = _tag(tokens._secrets[0], body) + body
        return tokens.read("t", base64.urlsafe_b64encode(signed).decode())

    def encode(*position):
        return msgspec.msgpack.encode(["t", {"g": position}])

    assert read(encode(1, 2)).is_ok()
    odd = [encode(*p) for p in ((-1, 2), (1, 2**63), (1, 2**64 - 1), (1.5, 2), (math.nan, 2))]
    odd += [b"\x92\xa1t" + b"\x91" * 3000, b"\x93\xa1t\x80" + b"\x91" * 3000 + b"\x01"]
    odd += [b"\x91" * 3000 + b"\x01", b"\x92\xa1t\xdf\xff\xff\xff\xff", b""]
    for body in odd:
        refused = read(body)
        assert refused.is_err() and refused.err_value.kind is Kind.BAD_SESSION, body[:20]


# Sizes.


@then("any array and any object are split into what they hold, and any other text is refused")
def step_split(context):
    @fuzz(st.lists(json_values, max_size=4), st.sampled_from([None, 1]))
    def check_array(value, indent):
        parts = split_array(json.dumps(value, indent=indent).encode())
        assert [json.loads(p) for p in parts] == value

    @fuzz(st.dictionaries(st.text(), json_values, max_size=4), st.sampled_from([None, 1]))
    def check_object(value, indent):
        parts = split_object(json.dumps(value, indent=indent, ensure_ascii=False).encode())
        assert {json.loads(k): json.loads(v) for k, v in parts.items()} == value

    @fuzz(mutated(b'[1,"a"]', b'{"a":[1]}', b'"', b"\\", b"[", b"]"))
    def check_any(text):
        for split in (split_array, split_object):
            try:
                split(text)
            except ValueError:
                pass


@then("its good entries are decoded within {limit:g} s, however the odd one is nested")
def step_large_odd(context, limit):
    for spec in (
        b"[" * 500_000 + b"]" * 500_000,
        b'{"a":' * 170_000 + b"1" + b"}" * 170_000,
        b"[" + b",," * 500_000 + b"]",
        b'["' + b'\\"' * 500_000 + b'"]',
        b'"' + b"\\u0000" * 170_000 + b'\\q"',
    ):
        raw_store = RawStore()
        raw_store.write(b"a", good_object(b"a"))
        raw_store.write(b"odd", encode_object(b'"odd"', b"REVISION", spec))
        started = time.process_time()
        changes = asyncio.run(make_client(raw_store).changes(Topic.TARGETS, 0, 0.0))
        assert time.process_time() - started < limit, spec[:20]
        assert targets_of(changes.entries) == ["a"], spec[:20]


def serve_endlessly(context, head):
    """Serve 64 MiB after a head to each connection; return the port, and the bytes sent to each."""
    listener = socket.create_server(("127.0.0.1", 0))
    context.stack.callback(listener.close)
    sent = []

    def serve():
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            sent.append(0)
            with conn, suppress(OSError):
                conn.recv(65_536)
                conn.sendall(head)
                for _ in range(64):
                    conn.sendall(b" " * (1 << 20))
                    sent[-1] += 1 << 20

    threading.Thread(target=serve, daemon=True).start()
    return listener.getsockname()[1], sent


HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 99999999999\r\n\r\n"


@then("a response of the store over 32 MiB counts as none, and its connection is closed")
def step_endless_store(context):
    port, sent = serve_endlessly(context, HEAD)
    client = platform_store.ObjectStore(address=f"127.0.0.1:{port}", source="127.0.0.1")
    try:
        asyncio.run(client.changes(Topic.TARGETS, 0, 0.0))
    except StoreDown as exc:
        assert "MiB" in str(exc), exc
    else:
        raise AssertionError("an endless response was taken")
    assert len(sent) == 1 and sent[0] < 60 << 20, sent


@then("a response of a member of our own interface over 32 MiB counts as none")
def step_endless_member(context):
    port, sent = serve_endlessly(context, HEAD)
    conn = HttpConnection(ip="127.0.0.1", port=port, source="127.0.0.1")
    conn.open(1.0)
    try:
        conn.exchange("POST", "/run", b"{}", 20.0)
    except NoResponse:
        assert not conn.usable and sent[0] < 60 << 20, sent
        return
    raise AssertionError("an endless response was taken")

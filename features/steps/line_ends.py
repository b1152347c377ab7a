"""Steps that send texts with line ends through the line protocol, in packets of any size."""

import asyncio
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import then, when
from hypothesis import assume, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from features.steps.robustness import make_target_link
from features.virtual_time import run_virtual
from wagtailloft import logs
from wagtailloft.errors import Kind, NotSent
from wagtailloft.groups.ports import BoundStatement, LinkSpec
from wagtailloft.models import Mode, Position
from wagtailloft.operations import logbook
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
import wire  # noqa: E402

EXAMPLES = 400
TEXTS = (
    "gate 3\npallets 1",
    "she said:\nQUERY q1 WRITE other not-sent",
    "note\r",
    "two\r\rreturns\n\n",
    "\n",
    "\r",
    "half\r \nend",
)
PREPARED = PreparedStatement(mode=Mode.READ, text="q1")
PACKET_SIZES = (1, 2, 7, 1 << 16)

# Mostly the characters that have a meaning on the wire.
wire_texts = st.text(
    st.sampled_from("\r\n ab") | st.characters(max_codepoint=255), max_size=24
).filter(lambda text: "\r\n" not in text)


def divide(data, cuts):
    """Return the data in packets that end at the cuts."""
    bounds = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


def messages_in(data):
    """Return the messages in a stream by the definition of the protocol: CR LF ends each."""
    *messages, rest = data.decode("latin-1").split("\r\n")
    assert rest == "", rest
    return messages


class RecordingTransport:
    """A transport that keeps what is written."""

    def __init__(self):
        """Start empty."""
        self.data = b""

    def write(self, data):
        """Keep the data."""
        self.data += data

    def is_closing(self):
        """Tell that the connection is open."""
        return False

    def pause_reading(self):
        """Ignore the pause, as nothing more arrives."""

    def resume_reading(self):
        """Ignore the end of a pause."""

    def close(self):
        """Ignore the close."""


async def send_to_host(packets, outcome=None):
    """Return the statements that a host handles from a caller's packets, and its responses."""
    handled = []

    async def handle(request_id, statement):
        handled.append((request_id, statement))
        return outcome or StatementResult()

    server = SimpleNamespace(closing=False, connections=set())
    connection = front.CallerConnection(server=server, name="s")
    connection._transport = RecordingTransport()
    connection.session = SimpleNamespace(handle=handle, state=TransactionState.IDLE)
    for packet in packets:
        connection.data_received(packet)
    await asyncio.sleep(0.01)
    return handled, connection._transport.data


@when("a caller writes texts with line feeds and carriage returns, in packets of any size")
def step_write_texts(context):
    context.sent = {}
    context.writer, context.reader = context.site.hosts
    client = context.site.open_session(context.writer, "accounts")
    for size in PACKET_SIZES:
        for number, text in enumerate(TEXTS):
            request_id = f"p{size}n{number}"
            statement = f"WRITE item{request_id} {text}"
            data = f"QUERY {request_id} {statement}\r\n".encode("latin-1")
            for start in range(0, len(data), size):
                client.sock.sendall(data[start : start + size])
            reply = client.receive()
            assert reply[0].startswith("DONE 7"), (statement, reply)
            context.sent[request_id] = statement
    client.close()


@then("members ran exactly these statements, and reads return the texts")
def step_check_texts(context):
    ran = {e.request_id: e.text for e in context.site.group.executed if e.request_id != "-"}
    assert ran == context.sent, [
        (ran.get(k), v) for k, v in context.sent.items() if ran.get(k) != v
    ]
    client = context.site.open_session(context.reader, "accounts")
    for statement in context.sent.values():
        _, item, text = statement.split(" ", 2)
        reply = client.query(f"READ {item}")
        assert reply[0] == f"ROW {text}", (statement, reply)
    client.close()


@then("any statement reaches a member as its caller sent it, or nothing is sent")
def step_any_statement(context):
    verbs = st.sampled_from(("READ", "WRITE", "EXEC p"))
    ids = wire_texts.filter(lambda i: i and " " not in i and i != "-")

    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(ids, verbs, wire_texts, st.lists(st.integers(0, 60), max_size=5))
    def check(request_id, verb, rest, cuts):
        text = f"{verb} {rest}"
        message = f"QUERY {request_id} {text}"
        assume("\r\n" not in message)
        packets = divide(f"{message}\r\n".encode("latin-1"), cuts)
        handled, response = run_virtual(send_to_host(packets))
        assert len(messages_in(response)) == 2, response
        if not handled:
            assert response.startswith(b"ERR BADMSG"), (message, response)
            return
        ((received_id, statement),) = handled
        assert received_id == request_id and statement.text == text, (message, handled)

        async def forward():
            link = make_target_link()
            bound = BoundStatement(
                request_id=received_id, statement=replace(statement, prepared=PREPARED)
            )
            running = asyncio.create_task(link.run(bound, 0.01))
            await asyncio.gather(running, return_exceptions=True)
            return link._transport.data

        *_, forwarded = messages_in(run_virtual(forward()))
        expected = message.replace("EXEC p ", "EXEC p0 ") if verb == "EXEC p" else message
        assert forwarded == expected, (message, forwarded)

    check()


@then("any rows of a member reach the caller as the member sent them")
def step_any_rows(context):
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.lists(wire_texts, max_size=4), st.lists(st.integers(0, 90), max_size=5))
    def check(rows, cuts):
        sent = [f"ROW {row}" for row in rows] + ["DONE 7.a", "READY I 1.2"]
        data = "".join(f"{line}\r\n" for line in sent).encode("latin-1")

        async def respond():
            link = make_target_link()
            statement = Statement(verb=Verb.READ, text="READ a")
            running = asyncio.create_task(
                link.run(BoundStatement(request_id="r", statement=statement), 0.1)
            )
            await asyncio.sleep(0)
            for packet in divide(data, cuts):
                link.data_received(packet)
            return await running

        outcome = run_virtual(respond())
        assert list(outcome.rows) == rows and outcome.signature == "7.a", (rows, outcome)
        assert messages_in(wire.encode_response(outcome)) == sent, (rows, outcome)

    check()


@then("no link is opened for it, and the member got nothing")
def step_odd_names(context):
    async def check():
        received = []
        server = await asyncio.start_server(
            lambda reader, writer: received.append(writer), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        factory = links.TargetLinkFactory(source="127.0.0.1")
        good = dict(group="g", target="m", address=f"127.0.0.1:{port}", team="t")
        for part, name in (
            ("team", "t\r\nQUERY q1 WRITE a b"),
            ("target", "m\r\nQUERY q1 WRITE a b"),
            ("group", "g\r\nQUERY q1 WRITE a b"),
            ("team", "t m2"),
            ("group", "g t2"),
            ("team", ""),
            ("team", "Kielce \u0142"),
        ):
            try:
                await factory.open(LinkSpec(**{**good, part: name}))
            except NotSent as exc:
                assert exc.kind is Kind.BAD_REQUEST, (part, name, exc)
            else:
                raise AssertionError(f"a link was opened for {part} {name!r}")
        server.close()
        assert not received, received

    asyncio.run(check())


@then("the statement with the variable is refused as not executed, and nothing was sent")
def step_line_end_in_variable(context):
    async def check():
        for name, value in (("a", "1\r\nQUERY q2 WRITE b c"), ("a\r\nQUERY q2 WRITE b", "c")):
            link = make_target_link()
            statement = Statement(verb=Verb.READ, text="READ a")
            bound = BoundStatement(
                request_id="r", statement=statement, session_variables={name: value}
            )
            outcome = await link.run(bound, 0.1)
            assert outcome.kind is Kind.BAD_REQUEST and not outcome.sent, outcome
            assert not link._transport.data and not link._pending and link.closed

    run_virtual(check())


@then("the error reaches the caller as one message")
def step_line_end_in_error(context):
    for detail in ("a\r\nDONE 7.x\r\nREADY I 1.1", "a\r\r\n\n", "\u0142\r\n", "x" * (2 << 20)):
        outcome = StatementResult(
            kind=Kind.OUTCOME_UNKNOWN, detail=detail, position=Position(term=1, index=2)
        )
        error, ready = messages_in(wire.encode_response(outcome))
        assert error.startswith("ERR INDOUBT ") and ready == "READY I 1.2", (error, ready)
        assert len(messages_in(wire.encode_refusal(outcome))) == 1, detail


@then("a message of the largest size is read, and a larger one is reported once, in any packets")
def step_sizes(context):
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(
        st.lists(st.integers(0, 14), min_size=1, max_size=4),
        st.sampled_from("x\r\n"),
        st.lists(st.integers(0, 70), max_size=8),
    )
    def check(sizes, filler, cuts):
        most = 8
        texts = [filler * size for size in sizes]
        decoder, lines = wire.LineDecoder(max_bytes=most), []
        for packet in divide("".join(f"{t}\r\n" for t in texts).encode("latin-1"), cuts):
            lines += decoder.feed(packet)
            assert len(decoder._buffer) <= most + 1, len(decoder._buffer)
        assert lines == [t if len(t) <= most else None for t in texts], (texts, lines)

    check()


@then("a statement that would be too large with its prefix is refused and not sent")
def step_prefix_size(context):
    async def check():
        room = wire.MAX_MESSAGE_BYTES - len("QUERY r ")
        statement = Statement(verb=Verb.READ, text="READ " + "x" * (room - len("READ ")))
        for position, is_sent in ((None, True), (Position(term=1, index=2), False)):
            link = make_target_link()
            bound = BoundStatement(request_id="r", statement=statement, min_position=position)
            running = asyncio.create_task(link.run(bound, 0.1))
            (outcome,) = await asyncio.gather(running, return_exceptions=True)
            assert bool(link._transport.data) is is_sent, (position, outcome)
            if not is_sent:
                assert outcome.kind is Kind.TOO_LARGE and not outcome.sent, outcome

    run_virtual(check())


@then("trace finds any request by its ID, and shows each of its lines as one line")
def step_trace(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = Path(folder) / "edge-1.log"
    characters = st.sampled_from('\r\n "\\=x\x85') | st.characters(exclude_categories=["Cs"])

    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.text(characters, min_size=1, max_size=20))
    def check(request):
        line = logs.format_event("failed", {"request": request, "detail": "a\nb"})
        path.write_text(f"time=1.0 {line}\n", encoding="utf-8")
        (found,) = logbook.trace(request, [str(path)])
        assert found.fields == {"request": request, "detail": "a\nb"}, found
        (row,) = logbook.table_rows([found])
        assert len(row["what"].splitlines()) == 1, row

    check()

"""Steps for the frames of one connection between hosts: any bytes, cut anywhere."""

import asyncio
import socket

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailloft.fleet.mesh import HEADER_BYTES, PeerConnection
from wagtailloft.fleet.messages import DECODER, ENCODER, Ack, Frame, RollbackRequest


class FakeTransport:
    """Collect what is written, and note the end."""

    def __init__(self):
        """Start open."""
        self.data, self.ended = bytearray(), False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def get_extra_info(self, name):
        """Return a socket whose options can be set."""
        return self.sock

    def write(self, data):
        """Take bytes."""
        self.data += data

    def abort(self):
        """Note the end."""
        self.ended = True


def framed(frame):
    """Return a frame's bytes with their length."""
    body = ENCODER.encode(frame)
    return len(body).to_bytes(HEADER_BYTES) + body


def frames(data):
    """Return the frames that bytes hold."""
    found = []
    while data:
        size = int.from_bytes(data[:HEADER_BYTES])
        found.append(DECODER.decode(bytes(data[HEADER_BYTES : HEADER_BYTES + size])))
        del data[: HEADER_BYTES + size]
    return found


async def play(count, junk, cuts):
    """Feed frames and then junk in pieces; return the numbers answered and whether it ended."""

    async def handle(conn, message):
        return Ack()

    transport = FakeTransport()
    conn = PeerConnection(handler=handle, on_lost=lambda _: None)
    conn.connection_made(transport)
    data = b"".join(
        framed(Frame(call_id=n, is_response=False, body=RollbackRequest(transaction_id=n)))
        for n in range(count)
    )
    data += junk
    edges = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    for start, end in zip(edges, edges[1:], strict=False):
        if not transport.ended:
            conn.data_received(data[start:end])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    transport.sock.close()
    return {f.call_id for f in frames(transport.data) if f.body}, transport.ended


@then("over {count:d} generated streams whole frames are answered, whatever follows them")
def step_frames(context, count):
    @settings(max_examples=count)
    @given(
        number=st.integers(0, 6),
        junk=st.binary(max_size=40),
        cuts=st.lists(st.integers(0, 1000), max_size=8),
    )
    def check(number, junk, cuts):
        answered, _ = asyncio.run(play(number, junk, cuts))
        assert set(range(number)) <= answered, (number, answered)

    check()


@then("a frame over the limit ends the connection")
def step_frame_limit(context):
    answered, ended = asyncio.run(play(2, b"\xff\xff\xff\xff", []))
    assert answered == {0, 1} and ended


@then("a frame that is no message ends the connection")
def step_frame_unreadable(context):
    answered, ended = asyncio.run(play(2, b"\x00\x00\x00\x01\xc1", []))
    assert answered == {0, 1} and ended

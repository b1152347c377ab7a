"""Steps for framing between hosts: arbitrary bytes that arrive split at arbitrary positions."""

import asyncio
import socket

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailloft.fleet.mesh import HEADER_BYTES, PeerConnection
from wagtailloft.fleet.messages import DECODER, ENCODER, Ack, Frame, RollbackRequest


class FakeTransport:
    """A transport that collects the bytes written and records an abort."""

    def __init__(self):
        """Create an open transport with a real socket."""
        self.data, self.aborted = bytearray(), False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def get_extra_info(self, name):
        """Return the socket, on which the connection sets options."""
        return self.sock

    def write(self, data):
        """Collect bytes."""
        self.data += data

    def abort(self):
        """Record that the connection was aborted."""
        self.aborted = True


def encode_frame(frame):
    """Return the bytes of a frame, preceded by their length."""
    body = ENCODER.encode(frame)
    return len(body).to_bytes(HEADER_BYTES) + body


def decode_frames(data):
    """Remove all frames from `data` and return them."""
    decoded = []
    while data:
        size = int.from_bytes(data[:HEADER_BYTES])
        decoded.append(DECODER.decode(bytes(data[HEADER_BYTES : HEADER_BYTES + size])))
        del data[: HEADER_BYTES + size]
    return decoded


async def feed(count, junk, cuts):
    """Feed `count` frames and junk to a connection, split at `cuts`.

    Return the call ids that were answered and whether the connection was aborted.
    """

    async def handle(conn, message):
        return Ack()

    transport = FakeTransport()
    conn = PeerConnection(handler=handle, on_lost=lambda _: None)
    conn.connection_made(transport)
    data = b"".join(
        encode_frame(Frame(call_id=n, is_response=False, body=RollbackRequest(transaction_id=n)))
        for n in range(count)
    )
    data += junk
    boundaries = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        if not transport.aborted:
            conn.data_received(data[start:end])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    transport.sock.close()
    return {f.call_id for f in decode_frames(transport.data) if f.body}, transport.aborted


@then("for {count:d} generated streams all complete frames are answered, whatever bytes follow")
def step_complete_frames(context, count):
    @settings(max_examples=count)
    @given(
        number=st.integers(0, 6),
        junk=st.binary(max_size=40),
        cuts=st.lists(st.integers(0, 1000), max_size=8),
    )
    def check(number, junk, cuts):
        answered, _ = asyncio.run(feed(number, junk, cuts))
        assert set(range(number)) <= answered, (number, answered)

    check()


@then("a frame over the size limit closes the connection")
def step_oversized_frame(context):
    answered, aborted = asyncio.run(feed(2, b"\xff\xff\xff\xff", []))
    assert answered == {0, 1} and aborted


@then("a frame that is not a valid message closes the connection")
def step_invalid_frame(context):
    answered, aborted = asyncio.run(feed(2, b"\x00\x00\x00\x01\xc1", []))
    assert answered == {0, 1} and aborted

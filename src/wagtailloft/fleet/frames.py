"""Frames of the calls between hosts: a message with its length in front."""

import msgspec

from wagtailloft.errors import Unreadable, Unsendable
from wagtailloft.fleet.messages import DECODER, ENCODER, Frame

HEADER_BYTES = 4
MAX_FRAME_BYTES = 8 << 20  # a store object has at most 1 MiB; a pull may carry several

# What encoding raises for numbers over 64 bits, text that is no Unicode and unknown types.
ENCODE_ERRORS = (OverflowError, ValueError, TypeError, RecursionError)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length; raise Unsendable."""
    name = type(frame.body).__name__
    try:
        body = ENCODER.encode(frame)
    except ENCODE_ERRORS as exc:
        raise Unsendable(f"the {name} can't be encoded: {exc!r}") from exc
    if len(body) > MAX_FRAME_BYTES:
        raise Unsendable(f"the {name} is larger than {MAX_FRAME_BYTES} bytes")
    return len(body).to_bytes(HEADER_BYTES) + body


PING = encode_frame(Frame(call_id=0, is_response=False))
PONG = encode_frame(Frame(call_id=0, is_response=True))


def decode_frame(body: bytes) -> Frame:
    """Decode a frame without its length; raise Unreadable."""
    try:
        return DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise Unreadable(str(exc)) from exc

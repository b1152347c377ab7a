"""Session tokens: signed records of the highest acknowledged position in each group."""

import base64
import binascii
import hashlib
import hmac

import msgspec
from result import Err, Ok, Result

from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Position, SessionPosition
from wagtailloft.ranges import Count

TAG_BYTES = 16
MAX_TOKEN_BYTES = 8_192
MAX_TOKENS = 16


class _Body(msgspec.Struct, frozen=True, array_like=True):
    """The signed content: a team, and (term, index) by group."""

    team: str
    positions: dict[str, tuple[Count, Count]]


class SessionTokens:
    """Sign and verify session tokens; the first secret signs, and each of them verifies."""

    def __init__(self, *, secrets: tuple[str, ...]) -> None:
        self._secrets = tuple(hashlib.sha256(s.encode()).digest() for s in secrets)

    def sign(self, team: str, positions: tuple[SessionPosition, ...]) -> str:
        """Return the signed token of a team's session as URL-safe base64."""
        named = {p.group: (p.position.term, p.position.index) for p in positions}
        body = msgspec.msgpack.encode(_Body(team, named))
        return base64.urlsafe_b64encode(_tag(self._secrets[0], body) + body).decode()

    def read(self, team: str, text: str) -> Result[tuple[SessionPosition, ...], Refusal]:
        """Return the highest position in each group from one or more tokens, separated by commas.

        Refuse with BAD_SESSION if a token is malformed, wrongly signed or another team's, or if
        there are too many.
        """
        positions: tuple[SessionPosition, ...] = ()
        if not text:
            return Ok(positions)
        tokens = text.split(",")
        if len(tokens) > MAX_TOKENS:
            return _bad_session(f"more than {MAX_TOKENS} tokens")
        for token in tokens:
            read = self._read_one(team, token.strip())
            if isinstance(read, Err):
                return read
            for session_position in read.ok_value:
                positions = merge(positions, session_position)
        return Ok(positions)

    def _read_one(self, team: str, token: str) -> Result[tuple[SessionPosition, ...], Refusal]:
        if len(token) > MAX_TOKEN_BYTES:
            return _bad_session("token too long")
        try:
            raw = base64.b64decode(token.encode("ascii"), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return _bad_session("token is not base64")
        tag, body = raw[:TAG_BYTES], raw[TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(s, body)) for s in self._secrets):
            return _bad_session("wrong signature")
        try:
            content = msgspec.msgpack.decode(body, type=_Body)
        except (msgspec.DecodeError, RecursionError):
            return _bad_session("token content can't be decoded")
        if content.team != team:
            return _bad_session("session of another team")
        positions = content.positions.items()
        return Ok(
            tuple(
                SessionPosition(group=g, position=Position(term=t, index=i))
                for g, (t, i) in positions
            )
        )


def merge(
    positions: tuple[SessionPosition, ...], session_position: SessionPosition
) -> tuple[SessionPosition, ...]:
    """Add a position, keeping the higher one of its group."""
    known = {p.group: p for p in positions}
    old = known.get(session_position.group)
    if old is None or old.position < session_position.position:
        known[session_position.group] = session_position
    return tuple(known.values())


def position_of(positions: tuple[SessionPosition, ...], group: str) -> Position:
    """Return a session's position in a group, or the lowest position if it has none."""
    for session_position in positions:
        if session_position.group == group:
            return session_position.position
    return Position()


def _tag(secret: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret, digest_size=TAG_BYTES).digest()


def _bad_session(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=Kind.BAD_SESSION, detail=detail))

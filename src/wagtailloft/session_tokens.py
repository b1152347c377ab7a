"""Session tokens: the highest acknowledged position of each group, signed."""

import base64
import binascii
import hashlib
import hmac

import msgspec
from result import Err, Ok, Result

from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Position, SessionPosition

TAG_BYTES = 16
TOKEN_LIMIT_BYTES = 8_192
TOKENS_LIMIT = 16


class _Body(msgspec.Struct, frozen=True, array_like=True):
    team: str
    positions: dict[str, tuple[int, int]]


class SessionTokens:
    """Sign and read session tokens; the first secret signs, all of them verify."""

    def __init__(self, *, secrets: tuple[str, ...]) -> None:
        self._secrets = tuple(hashlib.sha256(s.encode()).digest() for s in secrets)

    def sign(self, team: str, positions: tuple[SessionPosition, ...]) -> str:
        """Return the token of a team's session."""
        named = {m.group: (m.position.term, m.position.index) for m in positions}
        body = msgspec.msgpack.encode(_Body(team, named))
        return base64.urlsafe_b64encode(_tag(self._secrets[0], body) + body).decode()

    def read(self, team: str, text: str) -> Result[tuple[SessionPosition, ...], Refusal]:
        """Return the highest marks of one or more tokens, or refuse one that is not this team's."""
        positions: tuple[SessionPosition, ...] = ()
        if not text:
            return Ok(positions)
        tokens = text.split(",")
        if len(tokens) > TOKENS_LIMIT:
            return _bad(f"over {TOKENS_LIMIT} tokens")
        for token in tokens:
            read = self._read_one(team, token.strip())
            if isinstance(read, Err):
                return read
            for session_position in read.ok_value:
                positions = merge(positions, session_position)
        return Ok(positions)

    def _read_one(self, team: str, token: str) -> Result[tuple[SessionPosition, ...], Refusal]:
        if len(token) > TOKEN_LIMIT_BYTES:
            return _bad("too long")
        try:
            raw = base64.b64decode(token.encode("ascii"), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return _bad("not base64")
        tag, body = raw[:TAG_BYTES], raw[TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(s, body)) for s in self._secrets):
            return _bad("wrong signature")
        try:
            content = msgspec.msgpack.decode(body, type=_Body)
        except msgspec.DecodeError:
            return _bad("unreadable")
        if content.team != team:
            return _bad("another team's session")
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
    """Add a mark, keeping the higher position of each group."""
    known = {m.group: m for m in positions}
    old = known.get(session_position.group)
    if old is None or old.position < session_position.position:
        known[session_position.group] = session_position
    return tuple(known.values())


def position_of(positions: tuple[SessionPosition, ...], group: str) -> Position:
    """Return the position that a session knows of a group."""
    for session_position in positions:
        if session_position.group == group:
            return session_position.position
    return Position()


def _tag(secret: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=secret, digest_size=TAG_BYTES).digest()


def _bad(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=Kind.BAD_SESSION, detail=detail))

"""Split JSON into parts that can be decoded each on its own.

A decoder refuses a whole document for one part that is nested too deeply or that is no JSON. Only
the brackets, strings and separators around the parts have to be in order here.
"""

import re

# Possessive repeats, so that the time is proportional to the size of any text.
_STRING = rb'"(?:[^"\\]++|\\.)*+"'
# Whatever precedes the next separator or bracket at the first level; then that.
_FIRST_LEVEL = re.compile(rb'(?:[^"\[\]{},:]++|%s)*+([,:\[\]{}])' % _STRING, re.DOTALL)
# Whatever precedes the next brackets further inside; then those.
_INSIDE = re.compile(rb'(?:[^"\[\]{}]++|%s)*+([\[{]++|[\]}]++)' % _STRING, re.DOTALL)


def split_array(raw: bytes) -> list[bytes]:
    """Return the elements of a JSON array; raise ValueError if the text is none."""
    return [element for _, element in _split(raw, b"[")]


def split_object(raw: bytes) -> dict[bytes, bytes]:
    """Return the values of a JSON object by their quoted names; raise ValueError if it is none."""
    return dict(_split(raw, b"{"))


def _split(raw: bytes, opening: bytes) -> list[tuple[bytes, bytes]]:
    """Return the names and values at the first level of a text that begins with a bracket."""
    raw = raw.strip()
    if not raw.startswith(opening):
        raise ValueError(f"expected {opening.decode()}")
    parts, start, name = [], 1, b""
    match = _FIRST_LEVEL.match(raw, 1)
    while match is not None:
        token, at = match[1], match.start(1)
        if token in b"]}":
            value = raw[start:at].strip()
            if value or parts:
                parts.append((name, value))
            if at != len(raw) - 1:
                raise ValueError("text follows the last bracket")
            return parts
        after = at + 1
        if token in b"[{":
            after = _end_of_brackets(raw, after)
        elif token == b",":
            parts.append((name, raw[start:at].strip()))
            start, name = after, b""
        elif not name:
            name = raw[start:at].strip()
            start = after
        match = _FIRST_LEVEL.match(raw, after)
    raise ValueError("a string or a bracket has no end")


def _end_of_brackets(raw: bytes, start: int) -> int:
    """Return where the brackets end that were opened just before a position."""
    depth = 1
    while depth:
        match = _INSIDE.match(raw, start)
        if match is None:
            raise ValueError("a string or a bracket has no end")
        brackets = match[1]
        start = match.end()
        if brackets[0] in b"[{":
            depth += len(brackets)
        elif depth >= len(brackets):
            depth -= len(brackets)
        else:
            return match.start(1) + depth
    return start

"""Split JSON into parts that can be decoded each on its own.

A decoder refuses a whole document for one part that is nested too deeply or that is no JSON. Only
the brackets, strings and separators around the parts have to be in order here.
"""

import re

# Possessive repeats, so that the time is proportional to the size of any text.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|"|[\[{]++|[\]}]++|[,:]', re.DOTALL)


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
    parts, depth, start, name = [], 1, 1, b""
    for match in _TOKEN.finditer(raw, 1):
        token = match[0]
        if token == b'"':
            raise ValueError("a string has no end")
        if token[0] in b"[{":
            depth += len(token)
        elif token[0] in b"]}":
            depth -= len(token)
            if depth <= 0:
                end = match.end() + depth - 1
                value = raw[start:end].strip()
                if value or parts:
                    parts.append((name, value))
                if end != len(raw) - 1:
                    raise ValueError("text follows the last bracket")
                return parts
        elif depth == 1 and token == b",":
            parts.append((name, raw[start : match.start()].strip()))
            start, name = match.end(), b""
        elif depth == 1 and token == b":" and not name:
            name = raw[start : match.start()].strip()
            start = match.end()
    raise ValueError("a bracket has no end")

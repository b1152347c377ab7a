"""Call the operators' surface of a daemon."""

import json
from enum import IntEnum
from typing import Any
from urllib.parse import quote

import urllib3

from wagtailloft.errors import Kind

TIMEOUT_S = 10.0


class ExitCode(IntEnum):
    """Name the exit codes, one a class of error."""

    FAULT = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
    REFUSED = 6


class CommandError(Exception):
    """Raised to end the command with a line and an exit code."""

    def __init__(self, text: str, code: ExitCode) -> None:
        super().__init__(text)
        self.code = code


class OperatorClient:
    """Call a daemon's operator surface."""

    def __init__(self, *, host: str) -> None:
        self._base = f"http://{host}"
        self._host = host
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer; raise CommandError."""
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self._http.request(method, f"{self._base}/v1/{path}", body=data)
        except urllib3.exceptions.HTTPError as exc:
            text = f"no daemon answers at {self._host}; give --host IP:PORT of an operator port"
            raise CommandError(text, ExitCode.UNREACHABLE) from exc
        try:
            value = json.loads(answer.data)
        except ValueError as exc:
            raise CommandError(f"{self._host} is no operator port", ExitCode.UNREACHABLE) from exc
        if answer.status >= 400:
            raise _failure(value)
        return value

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None if there is none."""
        try:
            return self.call("GET", f"objects/{kind}/{safe(name)}")
        except CommandError as exc:
            if exc.code is ExitCode.NOT_FOUND:
                return None
            raise

    def put(self, kind: str, name: str, value: dict[str, Any], version: int) -> dict[str, Any]:
        """Write an object if its version is still the given one."""
        return self.call("PUT", f"objects/{kind}/{safe(name)}?version={version}", value)

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object as it stands now."""
        found = self.call("GET", f"objects/{kind}/{safe(name)}")
        return self.call("DELETE", f"objects/{kind}/{safe(name)}?version={found['revision']}")

    def list(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind."""
        return self.call("GET", f"objects/{kind}")


def _failure(value: dict[str, Any]) -> CommandError:
    kind = value.get("kind", "")
    text = f"{kind}: {value.get('detail', '')}"
    if kind == Kind.CONFLICT.value:
        if "value" in value:
            now = json.dumps(value["value"])
            text = f"{text}; now at revision {value['revision']}: {now}; nothing was overwritten"
        return CommandError(text, ExitCode.CONFLICT)
    codes = {Kind.NOT_FOUND.value: ExitCode.NOT_FOUND, Kind.BAD_REQUEST.value: ExitCode.USAGE}
    return CommandError(text, codes.get(kind, ExitCode.REFUSED))


def safe(text: str) -> str:
    """Return a name as it stands in a path."""
    return quote(text, safe="")

"""HTTP client of a daemon's operator port."""

import json
from enum import IntEnum
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import urllib3

from wagtailloft.errors import Kind
from wagtailloft.route_report import PATH

REQUEST_TIMEOUT_S = 10.0


class ExitCode(IntEnum):
    """Exit code of the command-line tool for each class of error."""

    FAULT = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
    REFUSED = 6


class CommandError(Exception):
    """Raised when a command fails; holds the line to print and the exit code."""

    def __init__(self, text: str, code: ExitCode) -> None:
        super().__init__(text)
        self.code = code


class OperatorClient:
    """Client of the operator port of the daemon at `host`, given as IP:PORT."""

    def __init__(self, *, host: str) -> None:
        self._base = f"http://{host}"
        self._http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and return the decoded JSON body; raise CommandError if it fails.

        `path` is relative to /v1/ and already quoted.
        """
        return self._call(method, f"{self._base}/v1/{path}", body)

    def explain_route(self, fields: dict[str, str]) -> Any:
        """Return the report of where a statement would go; raise CommandError if it fails.

        A host that does not serve the group names the one that does, which is then asked.
        """
        return self._call("GET", f"{self._base}{PATH}?{urlencode(fields)}", redirects=1)

    def _call(self, method: str, url: str, body: Any = None, redirects: int = 0) -> Any:
        data = None if body is None else json.dumps(body).encode()
        host = urlsplit(url).netloc
        try:
            response = self._http.request(method, url, body=data, redirect=False)
        except urllib3.exceptions.HTTPError as exc:
            text = f"no daemon answers at {host}; give --host IP:PORT of an operator port"
            raise CommandError(text, ExitCode.UNREACHABLE) from exc
        location = response.headers.get("location", "")
        if location and redirects:
            return self._call(method, location, body, redirects - 1)
        try:
            value = json.loads(response.data)
        except ValueError as exc:
            raise CommandError(
                f"{host} is not the operator port of a daemon", ExitCode.UNREACHABLE
            ) from exc
        if response.status >= 300 and not (isinstance(value, dict) and "kind" in value):
            text = f"{host} does not answer this; is it an operator or metrics port?"
            raise CommandError(text, ExitCode.UNREACHABLE)
        if response.status >= 400:
            raise _error_from(value)
        return value

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object with its revision, or None if it does not exist."""
        try:
            return self.call("GET", f"objects/{kind}/{quote_segment(name)}")
        except CommandError as exc:
            if exc.code is ExitCode.NOT_FOUND:
                return None
            raise

    def put(self, kind: str, name: str, value: dict[str, Any], version: int) -> dict[str, Any]:
        """Write an object if its current version is `version`, 0 for a new object."""
        return self.call("PUT", f"objects/{kind}/{quote_segment(name)}?version={version}", value)

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object, unless it changes between the read and the removal."""
        found = self.call("GET", f"objects/{kind}/{quote_segment(name)}")
        return self.call(
            "DELETE", f"objects/{kind}/{quote_segment(name)}?version={found['revision']}"
        )

    def list(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind."""
        return self.call("GET", f"objects/{kind}")


def _error_from(value: dict[str, Any]) -> CommandError:
    kind = value.get("kind", "")
    text = f"{kind}: {value.get('detail', '')}"
    if kind == Kind.CONFLICT.value:
        if "value" in value:
            current = json.dumps(value["value"])
            text = (
                f"{text}; now at revision {value['revision']}: {current}; nothing was overwritten"
            )
        return CommandError(text, ExitCode.CONFLICT)
    exit_codes = {
        Kind.NOT_FOUND.value: ExitCode.NOT_FOUND,
        Kind.UNKNOWN_ROUTE.value: ExitCode.NOT_FOUND,
        Kind.BAD_REQUEST.value: ExitCode.USAGE,
    }
    return CommandError(text, exit_codes.get(kind, ExitCode.REFUSED))


def quote_segment(text: str) -> str:
    """Quote a text as one segment of a URL path or as the value of a query parameter."""
    return quote(text, safe="")

"""The operators' command-line tool: it talks HTTP to any daemon."""

import configparser
import json
import os
import secrets
import sys
import time
import warnings
from enum import IntEnum
from pathlib import Path
from typing import Any
from urllib.parse import quote

import fire
import urllib3

from wagtailloft import options
from wagtailloft.catalog import key_digest
from wagtailloft.errors import Kind

TIMEOUT_S = 10.0
DEFAULT_HOST = "127.0.0.1:7003"
HOST_VARIABLE = "WAGTAILLOFT_HOST"
SECRET_BYTES = 32


class Exit(IntEnum):
    """Name the exit codes, one a class of error."""

    FAULT = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
    REFUSED = 6


class Failure(Exception):
    """Raised to end the command with a line and an exit code."""

    def __init__(self, text: str, code: Exit) -> None:
        super().__init__(text)
        self.code = code


class Api:
    """Call a daemon's operator surface."""

    def __init__(self, *, host: str) -> None:
        self._base = f"http://{host}"
        self._host = host
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer; raise Failure."""
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self._http.request(method, f"{self._base}/v1/{path}", body=data)
        except urllib3.exceptions.HTTPError as exc:
            text = f"no daemon answers at {self._host}; give --host IP:PORT of an operator port"
            raise Failure(text, Exit.UNREACHABLE) from exc
        try:
            value = json.loads(answer.data)
        except ValueError as exc:
            raise Failure(f"{self._host} is no operator port", Exit.UNREACHABLE) from exc
        if answer.status >= 400:
            raise _failure(value)
        return value

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None if there is none."""
        try:
            return self.call("GET", f"objects/{kind}/{_safe(name)}")
        except Failure as exc:
            if exc.code is Exit.NOT_FOUND:
                return None
            raise

    def put(self, kind: str, name: str, value: dict[str, Any], version: int) -> dict[str, Any]:
        """Write an object if its version is still the given one."""
        return self.call("PUT", f"objects/{kind}/{_safe(name)}?version={version}", value)

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object as it stands now."""
        found = self.call("GET", f"objects/{kind}/{_safe(name)}")
        return self.call("DELETE", f"objects/{kind}/{_safe(name)}?version={found['revision']}")

    def list(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind."""
        return self.call("GET", f"objects/{kind}")


class Printer:
    """Print tables for a person or JSON for a program."""

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, value: Any, rows: list[dict[str, Any]] | None = None) -> None:
        """Print a value; as a table of rows where a person reads."""
        if self.as_json:
            print(json.dumps(value, indent=2))
            return
        if rows is None:
            rows = value if isinstance(value, list) else [value]
        print(table(rows))


class Objects:
    """Share what the object commands have in common."""

    kind = ""

    def __init__(self, *, api: Api, printer: Printer) -> None:
        self._api = api
        self._printer = printer

    def list(self) -> None:
        """List all of them."""
        rows = [{"revision": i["revision"], **i["value"]} for i in self._api.list(self.kind)]
        self._printer.show(rows, [_flat(r) for r in rows])

    def remove(self, name: str) -> None:
        """Remove one that nothing uses."""
        self._printer.show(self._api.remove(self.kind, str(name)))

    def _save(self, name: str, changes: dict[str, Any]) -> None:
        found = self._api.find(self.kind, name)
        value = dict(found["value"]) if found else {"name": name}
        value.update({k: v for k, v in changes.items() if v is not None})
        version = found["revision"] if found else 0
        written = self._api.put(self.kind, name, value, version)
        self._printer.show({**value, **written}, [_flat({**value, **written})])


class Teams(Objects):
    """Teams: rate in requests a second, burst in requests, weight against other teams."""

    kind = "team"

    def set(
        self,
        name: str,
        rate: float | None = None,
        burst: float | None = None,
        weight: float | None = None,
    ) -> None:
        """Create a team or change what is given of it."""
        self._save(str(name), {"rate": rate, "burst": burst, "weight": weight})


class Keys(Objects):
    """Keys of teams: the secret is shown once, only its hash is kept."""

    kind = "key"

    def create(self, team: str, label: str = "") -> None:
        """Create a key for a team and show its secret, this once."""
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = key_digest(secret)
        value = {"digest": digest, "team": str(team), "label": str(label)}
        self._api.put("key", digest, value, 0)
        shown = {"team": str(team), "id": digest[:12], "secret": secret}
        self._printer.show(shown)

    def withdraw(self, id: str) -> None:  # noqa: A002
        """Withdraw a key by the start of its id; it stops working within seconds."""
        matches = [i for i in self._api.list("key") if i["name"].startswith(str(id))]
        if len(matches) != 1:
            raise Failure(f"{len(matches)} keys start with '{id}'", Exit.NOT_FOUND)
        self._printer.show(self._api.remove("key", matches[0]["name"]))


class Groups(Objects):
    """Database groups and their members."""

    kind = "group"

    def create(self, name: str, *members: str, slots: int = 2, connections: int = 16) -> None:
        """Create a group; each member is NAME@IP:PORT:CONTROL_PORT/ZONE."""
        value = {
            "name": str(name),
            "members": [_member(str(m)) for m in members],
            "slots": slots,
            "connections": connections,
        }
        written = self._api.put("group", str(name), value, 0)
        self._printer.show({**value, **written}, [_flat({**value, **written})])

    def leave(self, name: str, member: str, back: bool = False) -> None:
        """Mark a member as leaving: it gets no new work; --back takes the mark away."""
        found = self._api.find("group", str(name))
        if found is None:
            raise Failure(f"no group '{name}'", Exit.NOT_FOUND)
        if str(member) not in [m["name"] for m in found["value"]["members"]]:
            raise Failure(f"group '{name}' has no member '{member}'", Exit.NOT_FOUND)
        members = [
            {**m, "leaving": not back} if m["name"] == str(member) else m
            for m in found["value"]["members"]
        ]
        value = {**found["value"], "members": members}
        self._printer.show(self._api.put("group", str(name), value, found["revision"]))


class Routes(Objects):
    """Routes: the names under which callers reach groups."""

    kind = "route"

    def set(
        self,
        name: str,
        group: str | None = None,
        teams: str | None = None,
        open: bool | None = None,
    ) -> None:
        """Create or change a route; teams are separated by commas; --open needs no key."""
        listed = None if teams is None else [t for t in _names(teams) if t]
        self._save(str(name), {"group": group, "teams": listed, "open": open})


class SettingsTree:
    """The settings tree: defaults, region:NAME, zone:NAME, group:NAME, route:NAME."""

    def __init__(self, *, api: Api, printer: Printer) -> None:
        self._api = api
        self._printer = printer

    def get(self, level: str = options.DEFAULTS) -> None:
        """Print what one level overrides."""
        found = self._api.find("level", str(level))
        value = found["value"]["options"] if found else {}
        rows = [{"option": k, "value": v} for k, v in sorted(value.items())]
        self._printer.show(value, rows or [{"option": "(none)", "value": ""}])

    def set(self, level: str, option: str, value: str, version: int | None = None) -> None:
        """Override one option at a level; --version refuses if the level changed since."""
        found = self._api.find("level", str(level))
        known = dict(found["value"]["options"]) if found else {}
        current = found["revision"] if found else 0
        known[str(option)] = _text(value)
        self._write(str(level), known, current if version is None else int(version))

    def unset(self, level: str, option: str) -> None:
        """Take an override away, so that the wider level decides."""
        found = self._api.find("level", str(level))
        if found is None or str(option) not in found["value"]["options"]:
            raise Failure(f"[{level}] does not override '{option}'", Exit.NOT_FOUND)
        left = {k: v for k, v in found["value"]["options"].items() if k != str(option)}
        self._write(str(level), left, found["revision"])

    def apply(self, file: str) -> None:
        """Write the levels of an INI file, one section a level, each checked whole."""
        written = []
        for level, given in _read_tree(str(file)).items():
            found = self._api.find("level", level)
            written.append(self._put(level, given, found["revision"] if found else 0))
        self._printer.show(written)

    def diff(self, file: str) -> None:
        """Print how an INI file differs from the settings in force."""
        rows = []
        for level, given in _read_tree(str(file)).items():
            found = self._api.find("level", level)
            known = found["value"]["options"] if found else {}
            rows.extend(_differences(level, known, given))
        nothing = [{"level": "", "option": "", "in_force": "no difference", "file": ""}]
        self._printer.show(rows, rows or nothing)

    def explain(self, route: str = "", group: str = "") -> None:
        """Print each option for a route or group with the level that gives it."""
        path = f"settings?route={_safe(str(route))}&group={_safe(str(group))}"
        self._printer.show(self._api.call("GET", path))

    def _write(self, level: str, given: dict[str, str], version: int) -> None:
        self._printer.show(self._put(level, given, version))

    def _put(self, level: str, given: dict[str, str], version: int) -> dict[str, Any]:
        value = {"name": level, "options": given}
        return {"level": level, **self._api.put("level", level, value, version)}


class Wagtailloft:
    """Drive a wagtailloft fleet through any of its daemons.

    Give --host IP:PORT of a daemon's operator port, or set WAGTAILLOFT_HOST; --json for programs.
    """

    def __init__(self, host: str = "", json: bool = False) -> None:
        address = host or os.environ.get(HOST_VARIABLE, DEFAULT_HOST)
        self._api = Api(host=str(address))
        self._printer = Printer(as_json=json)
        shared = {"api": self._api, "printer": self._printer}
        self.team = Teams(**shared)
        self.key = Keys(**shared)
        self.group = Groups(**shared)
        self.route = Routes(**shared)
        self.settings = SettingsTree(**shared)

    def status(self) -> None:
        """Show hosts, owners, and groups with term, primary, positions and lag."""
        value = self._api.call("GET", "status")
        if self._printer.as_json:
            self._printer.show(value)
            return
        print(table([_host_row(h) for h in value["hosts"]]))
        print(table([r for h in value["hosts"] for g in h["groups"] for r in _group_rows(g)]))
        for name in value["unreachable"]:
            print(f"host {name} did not answer")
        for name in value["unserved"]:
            print(f"group {name} has no owner with a primary")

    def explain(self, subject: str) -> None:
        """Show what was decided about a request id, group, host or lease, and why."""
        value = self._api.call("GET", f"explain/{_safe(str(subject))}")
        if not value:
            raise Failure(f"nothing is remembered of '{subject}'", Exit.NOT_FOUND)
        rows = [{**d, "time": _clock(d["time"])} for d in value]
        self._printer.show(value, rows)

    def drain(self) -> None:
        """Stop the daemon behind --host gracefully."""
        self._api.call("POST", "drain")
        self._printer.show({"draining": True})


def table(rows: list[dict[str, Any]]) -> str:
    """Return rows as an aligned table."""
    if not rows:
        return ""
    heads = list(rows[0])
    cells = [[str(row.get(h, "")) for h in heads] for row in rows]
    widths = [max(len(h), *(len(c[i]) for c in cells)) for i, h in enumerate(heads)]
    lines = [heads, *cells]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip() for line in lines
    )


def _failure(value: dict[str, Any]) -> Failure:
    kind = value.get("kind", "")
    text = f"{kind}: {value.get('detail', '')}"
    if kind == Kind.CONFLICT.value:
        if "value" in value:
            now = json.dumps(value["value"])
            text = f"{text}; now at revision {value['revision']}: {now}; nothing was overwritten"
        return Failure(text, Exit.CONFLICT)
    codes = {Kind.NOT_FOUND.value: Exit.NOT_FOUND, Kind.BAD_REQUEST.value: Exit.USAGE}
    return Failure(text, codes.get(kind, Exit.REFUSED))


def _read_tree(file: str) -> dict[str, dict[str, str]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(file).read_text(encoding="utf-8"), source=file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise Failure(f"{file}: {exc}".replace("\n", " "), Exit.USAGE) from exc
    return {name: dict(parser[name]) for name in parser.sections()}


def _differences(level: str, known: dict[str, str], given: dict[str, str]) -> list[dict[str, str]]:
    names = sorted(set(known) | set(given))
    return [
        {"level": level, "option": n, "in_force": known.get(n, ""), "file": given.get(n, "")}
        for n in names
        if known.get(n) != given.get(n)
    ]


def _member(text: str) -> dict[str, Any]:
    name, _, rest = text.partition("@")
    address, _, zone = rest.partition("/")
    parts = address.split(":")
    if not name or len(parts) != 3 or not parts[1].isdigit() or not parts[2].isdigit():
        raise Failure(f"'{text}' is not NAME@IP:PORT:CONTROL_PORT/ZONE", Exit.USAGE)
    return {
        "name": name,
        "ip": parts[0],
        "port": int(parts[1]),
        "control_port": int(parts[2]),
        "zone": zone,
    }


def _host_row(host: dict[str, Any]) -> dict[str, Any]:
    return {
        "host": host["name"],
        "state": host["state"],
        "zone": host["zone"],
        "revision": host["revision"],
        "settings": host["settings"],
        "age": host["settings_age"],
        "spreader": "yes" if host["spreader"] else "",
        "groups": ",".join(g["name"] for g in host["groups"]),
    }


def _group_rows(group: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {
            "group": group["name"],
            "owner": group["owner"],
            "term": group["term"],
            "member": m["name"],
            "role": "primary" if m["name"] == group["primary"] else m["role"],
            "reachable": "yes" if m["reachable"] else "no",
            "received": m["received"],
            "applied": m["applied"],
            "lag": m["lag_entries"],
            "queued": m["queued"],
            "connections": m["connections"],
        }
        for m in group["members"]
    ]


def _flat(row: dict[str, Any]) -> dict[str, Any]:
    return {k: _cell(v) for k, v in row.items()}


def _cell(value: Any) -> Any:
    if isinstance(value, list):
        return ",".join(v["name"] if isinstance(v, dict) else str(v) for v in value)
    return value


def _names(teams: Any) -> list[str]:
    if isinstance(teams, (list, tuple)):
        return [str(t) for t in teams]
    return [t.strip() for t in str(teams).split(",")]


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _safe(text: str) -> str:
    return quote(text, safe="")


def _clock(seconds: float) -> str:
    whole = time.strftime("%H:%M:%S", time.localtime(seconds))
    return f"{whole}.{int(seconds * 1000) % 1000:03d}"


def main() -> None:
    """Run the command line."""
    warnings.simplefilter("ignore", SyntaxWarning)
    try:
        fire.Fire(Wagtailloft, name="wagtailloft")
    except Failure as exc:
        print(exc, file=sys.stderr)
        sys.exit(exc.code)


if __name__ == "__main__":
    main()

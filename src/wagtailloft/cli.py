"""The operators' command-line tool: it talks HTTP to any daemon."""

import configparser
import os
import secrets
import sys
import warnings
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire

from wagtailloft import options
from wagtailloft.catalog import key_digest
from wagtailloft.operations import logbook
from wagtailloft.operator_client import CommandError, ExitCode, OperatorClient, safe
from wagtailloft.printer import Printer, clock, flat, group_rows, host_row, table

DEFAULT_HOST = "127.0.0.1:7003"
HOST_VARIABLE = "WAGTAILLOFT_HOST"
SECRET_BYTES = 32


class Objects:
    """Share what the object commands have in common."""

    kind = ""

    def __init__(self, *, api: OperatorClient, printer: Printer) -> None:
        self._api = api
        self._printer = printer

    def list(self) -> None:
        """List all of them."""
        rows = [{"revision": i["revision"], **i["value"]} for i in self._api.list(self.kind)]
        self._printer.show(rows, [flat(r) for r in rows])

    def remove(self, name: str) -> None:
        """Remove one that nothing uses."""
        self._printer.show(self._api.remove(self.kind, str(name)))

    def _save(self, name: str, changes: dict[str, Any]) -> None:
        found = self._api.find(self.kind, name)
        value = dict(found["value"]) if found else {"name": name}
        value.update({k: v for k, v in changes.items() if v is not None})
        version = found["revision"] if found else 0
        written = self._api.put(self.kind, name, value, version)
        self._printer.show({**value, **written}, [flat({**value, **written})])


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
            raise CommandError(f"{len(matches)} keys start with '{id}'", ExitCode.NOT_FOUND)
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
        self._printer.show({**value, **written}, [flat({**value, **written})])

    def leave(self, name: str, member: str, back: bool = False) -> None:
        """Mark a member as leaving: it gets no new work; --back takes the mark away."""
        found = self._api.find("group", str(name))
        if found is None:
            raise CommandError(f"no group '{name}'", ExitCode.NOT_FOUND)
        if str(member) not in [m["name"] for m in found["value"]["members"]]:
            raise CommandError(f"group '{name}' has no member '{member}'", ExitCode.NOT_FOUND)
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

    def __init__(self, *, api: OperatorClient, printer: Printer) -> None:
        self._api = api
        self._printer = printer

    def get(self, level: str = options.DEFAULTS_LEVEL) -> None:
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
            raise CommandError(f"[{level}] does not override '{option}'", ExitCode.NOT_FOUND)
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
        path = f"settings?route={safe(str(route))}&group={safe(str(group))}"
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
        self._api = OperatorClient(host=str(address))
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
        print(table([host_row(h) for h in value["hosts"]]))
        print(table([r for h in value["hosts"] for g in h["groups"] for r in group_rows(g)]))
        for name in value["unreachable"]:
            print(f"host {name} did not answer")
        for name in value["unserved"]:
            print(f"group {name} has no owner with a primary")

    def explain(self, subject: str) -> None:
        """Show what was decided about a request id, group, host or lease, and why."""
        value = self._api.call("GET", f"explain/{safe(str(subject))}")
        if not value:
            raise CommandError(f"nothing is remembered of '{subject}'", ExitCode.NOT_FOUND)
        rows = [{**d, "time": clock(d["time"])} for d in value]
        self._printer.show(value, rows)

    def trace(self, request: str, *files: str) -> None:
        """Show what hosts logged about a request; give the log files, one a host."""
        lines = _from_logs(files, lambda: logbook.trace(str(request), map(str, files)))
        if not lines:
            raise CommandError(f"no log names request '{request}'", ExitCode.NOT_FOUND)
        self._printer.show(logbook.rows(lines))

    def timeline(self, *files: str) -> None:
        """Show what hosts believed over time; give the log files, one a host."""
        self._printer.show(
            logbook.rows(_from_logs(files, lambda: logbook.timeline(map(str, files))))
        )

    def drain(self) -> None:
        """Stop the daemon behind --host gracefully."""
        self._api.call("POST", "drain")
        self._printer.show({"draining": True})


def _from_logs(
    files: tuple[str, ...], read: Callable[[], list[logbook.LogLine]]
) -> list[logbook.LogLine]:
    if not files:
        raise CommandError("give one log file or more", ExitCode.USAGE)
    try:
        return read()
    except OSError as exc:
        raise CommandError(f"{exc.filename}: {exc.strerror}", ExitCode.USAGE) from exc


def _read_tree(file: str) -> dict[str, dict[str, str]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(file).read_text(encoding="utf-8"), source=file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise CommandError(f"{file}: {exc}".replace("\n", " "), ExitCode.USAGE) from exc
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
        raise CommandError(f"'{text}' is not NAME@IP:PORT:CONTROL_PORT/ZONE", ExitCode.USAGE)
    return {
        "name": name,
        "ip": parts[0],
        "port": int(parts[1]),
        "control_port": int(parts[2]),
        "zone": zone,
    }


def _names(teams: Any) -> list[str]:
    if isinstance(teams, (list, tuple)):
        return [str(t) for t in teams]
    return [t.strip() for t in str(teams).split(",")]


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def main() -> None:
    """Run the command line."""
    warnings.simplefilter("ignore", SyntaxWarning)
    try:
        fire.Fire(Wagtailloft, name="wagtailloft")
    except CommandError as exc:
        print(exc, file=sys.stderr)
        sys.exit(exc.code)


if __name__ == "__main__":
    main()

"""Command-line tool of the operators, which calls the HTTP interface of any daemon."""

import configparser
import os
import secrets
import sys
import warnings
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire
from fire import decorators

from wagtailloft import options, route_command
from wagtailloft.catalog import key_digest
from wagtailloft.digits import is_decimal
from wagtailloft.operations import logbook
from wagtailloft.operator_client import CommandError, ExitCode, OperatorClient, quote_segment
from wagtailloft.printer import (
    Printer,
    flatten_row,
    format_table,
    group_rows,
    host_row,
    time_of_day,
)

DEFAULT_ADDRESS = "127.0.0.1:7003"
HOST_ENV_VARIABLE = "WAGTAILLOFT_HOST"
SECRET_BYTES = 32


class ObjectCommands:
    """Commands for the objects of one kind."""

    kind = ""

    def __init__(self, *, api: OperatorClient, printer: Printer) -> None:
        self._api = api
        self._printer = printer

    def list(self) -> None:
        """List all objects of this kind."""
        rows = [{"revision": i["revision"], **i["value"]} for i in self._api.list(self.kind)]
        self._printer.show(rows, [flatten_row(r) for r in rows])

    def remove(self, name: str) -> None:
        """Remove an object that nothing uses."""
        self._printer.show(self._api.remove(self.kind, str(name)))

    def _save(self, name: str, changes: dict[str, Any]) -> None:
        found = self._api.find(self.kind, name)
        value = dict(found["value"]) if found else {"name": name}
        value.update({k: v for k, v in changes.items() if v is not None})
        version = found["revision"] if found else 0
        written = self._api.put(self.kind, name, value, version)
        self._printer.show({**value, **written}, [flatten_row({**value, **written})])


class TeamCommands(ObjectCommands):
    """Teams: rate in requests per second, burst in requests, weight relative to other teams."""

    kind = "team"

    def set(
        self,
        name: str,
        rate: float | None = None,
        burst: float | None = None,
        weight: float | None = None,
    ) -> None:
        """Create a team, or change the given values of an existing one."""
        self._save(str(name), {"rate": rate, "burst": burst, "weight": weight})


class KeyCommands(ObjectCommands):
    """Keys of teams: a secret is shown only at its creation, and only its hash is stored."""

    kind = "key"

    def create(self, team: str, label: str = "") -> None:
        """Create a key for a team and print its secret, which can't be shown again."""
        secret = secrets.token_urlsafe(SECRET_BYTES)
        digest = key_digest(secret)
        value = {"digest": digest, "team": str(team), "label": str(label)}
        self._api.put("key", digest, value, 0)
        created = {"team": str(team), "id": digest[:12], "secret": secret}
        self._printer.show(created)

    def withdraw(self, id: str) -> None:  # noqa: A002
        """Withdraw the key whose id starts with ID; it stops working within seconds."""
        if not str(id):
            raise CommandError("expected the first characters of a key's id", ExitCode.USAGE)
        matches = [i for i in self._api.list("key") if i["name"].startswith(str(id))]
        if len(matches) != 1:
            raise CommandError(
                f"{len(matches)} keys have an id that starts with '{id}'; expected one",
                ExitCode.NOT_FOUND,
            )
        self._printer.show(self._api.remove("key", matches[0]["name"]))


class GroupCommands(ObjectCommands):
    """Database groups and their members."""

    kind = "group"

    def create(self, name: str, *members: str, slots: int = 2, connections: int = 16) -> None:
        """Create a group; each member is NAME@IP:PORT:CONTROL_PORT/ZONE."""
        value = {
            "name": str(name),
            "members": [_parse_member(str(m)) for m in members],
            "slots": slots,
            "connections": connections,
        }
        written = self._api.put("group", str(name), value, 0)
        self._printer.show({**value, **written}, [flatten_row({**value, **written})])

    def leave(self, name: str, member: str, back: bool = False) -> None:
        """Mark a member as leaving, so that it gets no new work; --back clears the mark."""
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


class RouteCommands(ObjectCommands):
    """Routes: the names by which callers address groups."""

    kind = "route"
    # Makes fire accept DATABASE without a flag; it prefers the commands of this class.
    FIRE_METADATA = {decorators.ACCEPTS_POSITIONAL_ARGS: True}

    def __dir__(self) -> list[str]:
        """Leave fire's own attribute out of its help."""
        return [n for n in super().__dir__() if n != decorators.FIRE_METADATA]

    def __call__(self, database: str, team: str = "", text: str = "READ") -> None:
        """Show where a statement on a route would go now, and why, without sending it.

        --text starts with READ, WRITE, BEGIN or BEGIN READ; --team looks at a team's rate too.
        """
        route_command.show(self._api, self._printer, str(database), str(team), str(text))

    def set(
        self,
        name: str,
        group: str | None = None,
        teams: str | None = None,
        open: bool | None = None,
    ) -> None:
        """Create or change a route; commas separate teams; --open admits callers without a key."""
        team_names = None if teams is None else [t for t in _split_names(teams) if t]
        self._save(str(name), {"group": group, "teams": team_names, "open": open})


class SettingsCommands:
    """The settings tree: defaults, region:NAME, zone:NAME, group:NAME, route:NAME."""

    def __init__(self, *, api: OperatorClient, printer: Printer) -> None:
        self._api = api
        self._printer = printer

    def get(self, level: str = options.DEFAULTS_LEVEL) -> None:
        """Print the options that a level overrides."""
        found = self._api.find("level", str(level))
        overrides = found["value"]["options"] if found else {}
        rows = [{"option": k, "value": v} for k, v in sorted(overrides.items())]
        self._printer.show(overrides, rows or [{"option": "(none)", "value": ""}])

    def set(self, level: str, option: str, value: str, version: int | None = None) -> None:
        """Override an option at a level, unless the level is no longer at revision --version."""
        found = self._api.find("level", str(level))
        overrides = dict(found["value"]["options"]) if found else {}
        revision = found["revision"] if found else 0
        overrides[str(option)] = _option_text(value)
        self._put_and_show(str(level), overrides, revision if version is None else int(version))

    def unset(self, level: str, option: str) -> None:
        """Remove an override, so that the value of the next wider level applies."""
        found = self._api.find("level", str(level))
        if found is None or str(option) not in found["value"]["options"]:
            raise CommandError(f"[{level}] does not override '{option}'", ExitCode.NOT_FOUND)
        remaining = {k: v for k, v in found["value"]["options"].items() if k != str(option)}
        self._put_and_show(str(level), remaining, found["revision"])

    def apply(self, file: str) -> None:
        """Write the levels of an INI file, one section per level; each is validated as a whole."""
        written = []
        for level, overrides in _read_levels(str(file)).items():
            found = self._api.find("level", level)
            written.append(self._put_level(level, overrides, found["revision"] if found else 0))
        self._printer.show(written)

    def diff(self, file: str) -> None:
        """Print the differences between an INI file and the settings in force."""
        rows = []
        for level, overrides in _read_levels(str(file)).items():
            found = self._api.find("level", level)
            current = found["value"]["options"] if found else {}
            rows.extend(_differences(level, current, overrides))
        no_difference = [{"level": "", "option": "", "in_force": "no difference", "file": ""}]
        self._printer.show(rows, rows or no_difference)

    def explain(self, route: str = "", group: str = "") -> None:
        """Print each option in force for a route or group, and the level that sets it."""
        path = f"settings?route={quote_segment(str(route))}&group={quote_segment(str(group))}"
        self._printer.show(self._api.call("GET", path))

    def _put_and_show(self, level: str, overrides: dict[str, str], version: int) -> None:
        self._printer.show(self._put_level(level, overrides, version))

    def _put_level(self, level: str, overrides: dict[str, str], version: int) -> dict[str, Any]:
        value = {"name": level, "options": overrides}
        return {"level": level, **self._api.put("level", level, value, version)}


class Wagtailloft:
    """Operate a wagtailloft fleet through any of its daemons.

    Give --host IP:PORT of a daemon's operator port, or set WAGTAILLOFT_HOST; --json prints JSON.
    """

    def __init__(self, host: str = "", json: bool = False) -> None:
        address = host or os.environ.get(HOST_ENV_VARIABLE, DEFAULT_ADDRESS)
        self._api = OperatorClient(host=str(address))
        self._printer = Printer(as_json=json)
        shared = {"api": self._api, "printer": self._printer}
        self.team = TeamCommands(**shared)
        self.key = KeyCommands(**shared)
        self.group = GroupCommands(**shared)
        self.route = RouteCommands(**shared)
        self.settings = SettingsCommands(**shared)

    def status(self) -> None:
        """Show the hosts, and the groups with their owner, term, primary, log positions and lag."""
        value = self._api.call("GET", "status")
        if self._printer.as_json:
            self._printer.show(value)
            return
        print(format_table([host_row(h) for h in value["hosts"]]))
        print(format_table([r for h in value["hosts"] for g in h["groups"] for r in group_rows(g)]))
        for name in value["unreachable"]:
            print(f"host {name} did not answer")
        for name in value["unserved"]:
            print(f"group {name} has no owner that reports a primary")

    def explain(self, subject: str) -> None:
        """Show the decisions about a request id, group, host or lease, and their reasons."""
        value = self._api.call("GET", f"explain/{quote_segment(str(subject))}")
        if not value:
            raise CommandError(f"no decisions are recorded about '{subject}'", ExitCode.NOT_FOUND)
        rows = [{**d, "time": time_of_day(d["time"])} for d in value]
        self._printer.show(value, rows)

    def trace(self, request: str, *files: str) -> None:
        """Show what the hosts logged about a request; give one log file per host."""
        lines = _read_logs(files, lambda: logbook.trace(str(request), map(str, files)))
        if not lines:
            raise CommandError(
                f"none of the log files names request '{request}'", ExitCode.NOT_FOUND
            )
        self._printer.show(logbook.table_rows(lines))

    def timeline(self, *files: str) -> None:
        """Show how the hosts' views of the fleet changed over time; give one log file per host."""
        self._printer.show(
            logbook.table_rows(_read_logs(files, lambda: logbook.timeline(map(str, files))))
        )

    def drain(self) -> None:
        """Stop the daemon behind --host gracefully."""
        self._api.call("POST", "drain")
        self._printer.show({"draining": True})


def _read_logs(
    files: tuple[str, ...], collect: Callable[[], list[logbook.LogLine]]
) -> list[logbook.LogLine]:
    if not files:
        raise CommandError("give at least one log file", ExitCode.USAGE)
    try:
        return collect()
    except OSError as exc:
        raise CommandError(f"{exc.filename}: {exc.strerror}", ExitCode.USAGE) from exc


def _read_levels(file: str) -> dict[str, dict[str, str]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(file).read_text(encoding="utf-8"), source=file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise CommandError(f"{file}: {exc}".replace("\n", " "), ExitCode.USAGE) from exc
    return {name: dict(parser[name]) for name in parser.sections()}


def _differences(
    level: str, current: dict[str, str], overrides: dict[str, str]
) -> list[dict[str, str]]:
    names = sorted(set(current) | set(overrides))
    return [
        {"level": level, "option": n, "in_force": current.get(n, ""), "file": overrides.get(n, "")}
        for n in names
        if current.get(n) != overrides.get(n)
    ]


def _parse_member(text: str) -> dict[str, Any]:
    name, _, rest = text.partition("@")
    address, _, zone = rest.partition("/")
    parts = address.split(":")
    if not name or len(parts) != 3 or not is_decimal(parts[1]) or not is_decimal(parts[2]):
        raise CommandError(
            f"member '{text}' is not in the form NAME@IP:PORT:CONTROL_PORT/ZONE", ExitCode.USAGE
        )
    return {
        "name": name,
        "ip": parts[0],
        "port": int(parts[1]),
        "control_port": int(parts[2]),
        "zone": zone,
    }


def _split_names(teams: Any) -> list[str]:
    if isinstance(teams, (list, tuple)):
        return [str(t) for t in teams]
    return [t.strip() for t in str(teams).split(",")]


def _option_text(value: Any) -> str:
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

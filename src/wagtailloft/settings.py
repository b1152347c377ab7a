"""The daemon's own settings: one INI file, checked whole at start."""

import configparser
import ipaddress
from pathlib import Path
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from wagtailloft import options
from wagtailloft.errors import FixSettings
from wagtailloft.models import Record

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Secret = Annotated[str, msgspec.Meta(min_length=16)]
Threads = Annotated[int, msgspec.Meta(ge=4, le=2_000)]
LevelName = Annotated[str, msgspec.Meta(pattern=r"^(debug|info|warning|error)$")]

RIGHT = {
    "Port": "a port from 1 to 65535",
    "Name": "letters, digits, dot, dash or underscore, 63 at most",
    "Secret": "16 characters or more",
    "Threads": "a number from 4 to 2000",
    "LevelName": "debug, info, warning or error",
    "Ip": "an IP number such as 10.0.0.7",
    "Address": "an IP number and a port such as 10.0.0.7:8080",
}


class HostSection(Record, forbid_unknown_fields=True):
    """Hold who and where this host is."""

    name: Name
    ip: str
    zone: Name
    region: Name
    caller_port: Port
    peer_port: Port
    operator_port: Port
    announced_peer_port: Port | None = None


class PlatformSection(Record, forbid_unknown_fields=True):
    """Hold where the platform's object API is."""

    address: str


class SessionSection(Record, forbid_unknown_fields=True):
    """Hold the secrets that sign session tokens; older ones still verify."""

    secret: Secret
    older_secret: str = ""


class ProcessSection(Record, forbid_unknown_fields=True):
    """Hold the sizes of this process and its log level."""

    threads: Threads = 64
    log: LevelName = "info"
    drain: options.Seconds = 20.0


class Settings(Record):
    """Hold all settings of one daemon."""

    host: HostSection
    platform: PlatformSection
    session: SessionSection
    process: ProcessSection


SECTIONS: dict[str, type] = {
    "host": HostSection,
    "platform": PlatformSection,
    "session": SessionSection,
    "process": ProcessSection,
}
_TYPE_NAMES = {id(Port): "Port", id(Name): "Name", id(Secret): "Secret"}
_TYPE_NAMES |= {id(Threads): "Threads", id(LevelName): "LevelName"}


def load(path: str) -> Settings:
    """Read a settings file; raise FixSettings with a line for each fault."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise FixSettings(f"{path}: cannot be read: {exc}") from exc
    return parse(path, text)


def parse(path: str, text: str) -> Settings:
    """Check the text of a settings file; raise FixSettings with a line for each fault."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as exc:
        raise FixSettings(str(exc).replace("\n", " ")) from exc
    faults: list[str] = []
    values: dict[str, Any] = {}
    for name in parser.sections():
        if name not in SECTIONS:
            faults.append(f"{_where(path, text, name)}: unknown section; known: {_known()}")
    for name, kind in SECTIONS.items():
        given = dict(parser[name]) if parser.has_section(name) else {}
        values[name] = _section(path, text, name, kind, given, faults)
    if faults:
        raise FixSettings("\n".join(faults))
    return Settings(**values)


def _section(path: str, text: str, name: str, kind: type, given: dict, faults: list[str]) -> Any:
    fields = {f.name: f for f in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    for option, raw in given.items():
        where = _where(path, text, name, option)
        if option not in fields:
            faults.append(f"{where}: unknown option; known: {', '.join(fields)}")
            continue
        checked = _check(option, raw, fields[option].type)
        if isinstance(checked, Err):
            faults.append(f"{where}: {checked.err_value}")
            continue
        values[option] = checked.ok_value
    missing = [f.name for f in fields.values() if f.required and f.name not in given]
    faults.extend(f"{_where(path, text, name)}: option '{m}' is missing" for m in missing)
    return kind(**values) if not faults else None


def _check(option: str, raw: str, kind: Any) -> Result[Any, str]:
    if option == "ip":
        return _ip(raw)
    if option == "address":
        return _address(raw)
    if option == "drain":
        seconds = options.duration(raw)
        return Ok(seconds) if seconds is not None else Err(f"'{raw}' is not a time such as 20s")
    try:
        return Ok(msgspec.convert(raw, kind, strict=False))
    except msgspec.ValidationError:
        right = RIGHT.get(_TYPE_NAMES.get(id(kind), ""), "another value")
        shown = "the value" if option.endswith("secret") else f"'{raw}'"
        return Err(f"{shown} is not right; expected {right}")


def _ip(raw: str) -> Result[str, str]:
    try:
        return Ok(str(ipaddress.ip_address(raw)))
    except ValueError:
        return Err(f"'{raw}' is not right; expected {RIGHT['Ip']}")


def _address(raw: str) -> Result[str, str]:
    ip, _, port = raw.rpartition(":")
    if _ip(ip).is_err() or not port.isdigit() or not 0 < int(port) < 65_536:
        return Err(f"'{raw}' is not right; expected {RIGHT['Address']}")
    return Ok(raw)


def _where(path: str, text: str, section: str, option: str = "") -> str:
    line = _line(text, section, option)
    place = f"{path}:{line}" if line else path
    return f"{place}: [{section}] {option}".rstrip()


def _line(text: str, section: str, option: str) -> int:
    inside = False
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            inside = stripped == f"[{section}]"
            if inside and not option:
                return number
        elif inside and stripped.replace(":", "=").split("=")[0].strip().lower() == option:
            return number
    return 0


def _known() -> str:
    return ", ".join(SECTIONS)

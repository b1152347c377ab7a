"""Load and validate the daemon's settings: one INI file, read once at start."""

import configparser
import ipaddress
from pathlib import Path
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from wagtailloft import options
from wagtailloft.digits import is_decimal
from wagtailloft.errors import FixSettings
from wagtailloft.models import Record

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Secret = Annotated[str, msgspec.Meta(min_length=16)]
Threads = Annotated[int, msgspec.Meta(ge=4, le=2_000)]
LevelName = Annotated[str, msgspec.Meta(pattern=r"^(debug|info|warning|error)$")]

MAX_DRAIN_S = 86_400.0

EXPECTED = {
    "Port": "a port from 1 to 65535",
    "Name": "letters, digits, dots, dashes or underscores, 63 at most, a letter or digit first",
    "Secret": "16 characters or more",
    "Threads": "a number from 4 to 2000",
    "LevelName": "debug, info, warning or error",
    "Ip": "an IP address such as 10.0.0.7",
    "Address": "an IP address and a port such as 10.0.0.7:8080",
}


class HostSection(Record, forbid_unknown_fields=True):
    """The host's name, its location and the ports it listens on.

    `announced_peer_port` is the peer port that other hosts are told. It defaults to `peer_port`.
    """

    name: Name
    ip: str
    zone: Name
    region: Name
    caller_port: Port
    peer_port: Port
    operator_port: Port
    announced_peer_port: Port | None = None


class PlatformSection(Record, forbid_unknown_fields=True):
    """The address of the platform's object API, as IP:PORT."""

    address: str


class SessionSection(Record, forbid_unknown_fields=True):
    """The secrets of session tokens.

    New tokens are signed with `secret`; tokens signed with `older_secret` are still accepted.
    """

    secret: Secret
    older_secret: str = ""


class ProcessSection(Record, forbid_unknown_fields=True):
    """The process's thread count, its log level and how long it may drain, in seconds."""

    threads: Threads = 64
    log: LevelName = "info"
    drain: options.Seconds = 20.0


class Settings(Record):
    """All settings of one daemon, by section of the file."""

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
    """Read and validate a settings file; raise FixSettings with one line for each error."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise FixSettings(f"{path}: cannot be read: {exc}") from exc
    return parse(path, text)


def parse(path: str, text: str) -> Settings:
    """Validate the text of a settings file; raise FixSettings with one line for each error.

    `path` is only used in the error messages.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as exc:
        raise FixSettings(str(exc).replace("\n", " ")) from exc
    errors: list[str] = []
    values: dict[str, Any] = {}
    for name in parser.sections():
        if name not in SECTIONS:
            errors.append(
                f"{_location(path, text, name)}: unknown section; "
                f"known sections: {_section_names()}"
            )
    for name, section_type in SECTIONS.items():
        raw_options = dict(parser[name]) if parser.has_section(name) else {}
        values[name] = _parse_section(path, text, name, section_type, raw_options, errors)
    if errors:
        raise FixSettings("\n".join(errors))
    return Settings(**values)


def _parse_section(
    path: str, text: str, name: str, section_type: type, raw_options: dict, errors: list[str]
) -> Any:
    fields = {f.name: f for f in msgspec.structs.fields(section_type)}
    values: dict[str, Any] = {}
    for option, raw in raw_options.items():
        location = _location(path, text, name, option)
        if option not in fields:
            errors.append(f"{location}: unknown option; known options: {', '.join(fields)}")
            continue
        parsed = _parse_option(option, raw, fields[option].type)
        if isinstance(parsed, Err):
            errors.append(f"{location}: {parsed.err_value}")
            continue
        values[option] = parsed.ok_value
    missing = [f.name for f in fields.values() if f.required and f.name not in raw_options]
    errors.extend(f"{_location(path, text, name)}: option '{m}' is missing" for m in missing)
    return section_type(**values) if not errors else None


def _parse_option(option: str, raw: str, option_type: Any) -> Result[Any, str]:
    if option == "ip":
        return _parse_ip(raw)
    if option == "address":
        return _parse_address(raw)
    if option == "drain":
        seconds = options.duration(raw)
        if seconds is None:
            return Err(f"'{raw}' is not a duration such as 20s")
        if seconds > MAX_DRAIN_S:
            return Err(f"'{raw}' is out of bounds; allowed: up to {MAX_DRAIN_S:g} s")
        return Ok(seconds)
    try:
        return Ok(msgspec.convert(raw, option_type, strict=False))
    except msgspec.ValidationError:
        expected = EXPECTED.get(_TYPE_NAMES.get(id(option_type), ""), "a valid value")
        shown = "the value" if option.endswith("secret") else f"'{raw}'"
        return Err(f"{shown} is invalid; expected {expected}")


def _parse_ip(raw: str) -> Result[str, str]:
    try:
        return Ok(str(ipaddress.ip_address(raw)))
    except ValueError:
        return Err(f"'{raw}' is invalid; expected {EXPECTED['Ip']}")


def _parse_address(raw: str) -> Result[str, str]:
    ip, _, port = raw.rpartition(":")
    if _parse_ip(ip).is_err() or not is_decimal(port) or not 0 < int(port) < 65_536:
        return Err(f"'{raw}' is invalid; expected {EXPECTED['Address']}")
    return Ok(raw)


def _location(path: str, text: str, section: str, option: str = "") -> str:
    line = _line_number(text, section, option)
    source = f"{path}:{line}" if line else path
    return f"{source}: [{section}] {option}".rstrip()


def _line_number(text: str, section: str, option: str) -> int:
    in_section = False
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            in_section = stripped == f"[{section}]"
            if in_section and not option:
                return number
        elif in_section and stripped.replace(":", "=").split("=")[0].strip().lower() == option:
            return number
    return 0


def _section_names() -> str:
    return ", ".join(SECTIONS)

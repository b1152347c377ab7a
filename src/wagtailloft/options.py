"""Define the options of the settings tree, with their units, bounds and defaults."""

import re
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from wagtailloft.digits import is_decimal
from wagtailloft.models import Record, SettingsLevel

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_PER_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
BOOLEANS = {"yes": True, "no": False}
DEFAULTS_LEVEL = "defaults"

# At most 15 digits on each side, so that any amount is finite.
_AMOUNT_PATTERN = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)\s*([A-Za-z]*)")

Seconds = Annotated[float, msgspec.Meta(extra={"unit": "duration"})]


def _seconds(low: float, high: float) -> Any:
    return Annotated[float, msgspec.Meta(ge=low, le=high, extra={"unit": "duration"})]


def _bytes(low: int, high: int) -> Any:
    return Annotated[int, msgspec.Meta(ge=low, le=high, extra={"unit": "size"})]


def _count(low: int, high: int) -> Any:
    return Annotated[int, msgspec.Meta(ge=low, le=high, extra={"unit": "count"})]


def _share(low: float, high: float) -> Any:
    return Annotated[float, msgspec.Meta(ge=low, le=high, extra={"unit": "share"})]


class Options(Record, forbid_unknown_fields=True):
    """The options that a level of the settings tree may override; durations are in seconds.

    deadline: time allowed for a request that sets no deadline.
    deadline_limit: upper bound of a request's deadline.
    replica_wait: how long a read may wait for a replica to catch up.
    transaction_idle: time without a statement after which a transaction is rolled back.
    transaction_limit: time after which an open transaction is rolled back.
    queue_limit: requests of one team that may wait for a member.
    body_limit: upper bound of a request's body, in bytes.
    retry_share: retries allowed, as a share of the requests served.
    request_table: whether writes are recorded by request id in the group's request table.
    claim_alone: whether a failover may go on with the members' consent alone while the platform is
        unreachable.
    """

    deadline: _seconds(0.001, 300.0) = 5.0
    deadline_limit: _seconds(0.001, 3600.0) = 60.0
    replica_wait: _seconds(0.0, 10.0) = 0.25
    transaction_idle: _seconds(0.1, 600.0) = 10.0
    transaction_limit: _seconds(0.1, 3600.0) = 60.0
    queue_limit: _count(1, 100_000) = 200
    body_limit: _bytes(256, 16 * 1024 * 1024) = 1024 * 1024
    retry_share: _share(0.0, 1.0) = 0.1
    request_table: bool = True
    claim_alone: bool = True


class OptionOrigin(Record):
    """The value of an option in force, and the level that sets it."""

    option: str
    value: str
    level: str


def parse(option: str, text: str) -> Result[Any, str]:
    """Return the value of an option, or a message that says which values are valid."""
    field = _FIELDS.get(option)
    if field is None:
        return Err(f"unknown option '{option}'; known options: {', '.join(sorted(_FIELDS))}")
    if field.type is bool:
        if text not in BOOLEANS:
            return Err(f"'{text}' is not yes or no")
        return Ok(BOOLEANS[text])
    meta = field.type.__metadata__[0]
    amount = _parse_amount(text, meta.extra["unit"])
    if amount is None:
        return Err(f"'{text}' is not a {meta.extra['unit']}; write it like {_example(meta)}")
    try:
        return Ok(msgspec.convert(amount, field.type, strict=False))
    except msgspec.ValidationError:
        return Err(
            f"'{text}' is out of bounds; allowed: {meta.ge:g} to {meta.le:g}"
            " (durations in seconds, sizes in bytes)"
        )


def duration(text: str) -> float | None:
    """Parse a duration such as 250ms; return seconds, or None if the text is not a duration."""
    return _parse_amount(text, "duration")


def resolve(levels: tuple[SettingsLevel, ...]) -> Options:
    """Merge the levels, given from the widest to the narrowest, into the options in force.

    A narrower level overrides a wider one; values that do not parse are ignored.
    """
    values: dict[str, Any] = {}
    for level in levels:
        for option, text in level.options.items():
            parsed = parse(option, text)
            if isinstance(parsed, Ok):
                values[option] = parsed.ok_value
    return Options(**values)


def explain(levels: tuple[SettingsLevel, ...]) -> tuple[OptionOrigin, ...]:
    """Return each option's value and the level that sets it, sorted by option."""
    origins: dict[str, OptionOrigin] = {}
    for name, field in _FIELDS.items():
        origins[name] = OptionOrigin(option=name, value=_format(field.default), level="built in")
    for level in levels:
        for option, text in level.options.items():
            origins[option] = OptionOrigin(option=option, value=text, level=level.name)
    return tuple(origins[name] for name in sorted(origins))


def _parse_amount(text: str, unit: str) -> float | int | None:
    match = _AMOUNT_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    number, suffix = match.groups()
    if unit == "duration":
        return float(number) * SECONDS_PER_UNIT[suffix] if suffix in SECONDS_PER_UNIT else None
    if unit == "size":
        return round(float(number) * BYTES_PER_UNIT[suffix]) if suffix in BYTES_PER_UNIT else None
    if suffix:
        return None
    if unit == "share":
        return float(number)
    return int(number) if is_decimal(number) else None


def _example(meta: msgspec.Meta) -> str:
    return {"duration": "250ms or 5s", "size": "64KiB", "share": "0.1", "count": "200"}[
        meta.extra["unit"]
    ]


def _format(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)


_FIELDS = {f.name: f for f in msgspec.structs.fields(Options)}

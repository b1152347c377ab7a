"""The options of the settings tree: names, units, bounds and defaults."""

import re
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from wagtailloft.models import Level, Record

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
SIZES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
YES_NO = {"yes": True, "no": False}
DEFAULTS_LEVEL = "defaults"

_AMOUNT = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)")

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
    """Hold every option that a level of the tree may override."""

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


class Explained(Record):
    """Hold one option's value with the level that gave it."""

    option: str
    value: str
    level: str


def parse(option: str, text: str) -> Result[Any, str]:
    """Return the value of an option, or say what would be right."""
    field = _FIELDS.get(option)
    if field is None:
        return Err(f"unknown option '{option}'; known: {', '.join(sorted(_FIELDS))}")
    if field.type is bool:
        if text not in YES_NO:
            return Err(f"'{text}' is not yes or no")
        return Ok(YES_NO[text])
    meta = field.type.__metadata__[0]
    amount = _amount(text, meta.extra["unit"])
    if amount is None:
        return Err(f"'{text}' is not a {meta.extra['unit']}; write it like {_sample(meta)}")
    try:
        return Ok(msgspec.convert(amount, field.type, strict=False))
    except msgspec.ValidationError:
        return Err(f"'{text}' is out of bounds; allowed: {meta.ge:g} to {meta.le:g} (s, B or 1)")


def duration(text: str) -> float | None:
    """Return a time such as 250ms in seconds, or None if it is not one."""
    return _amount(text, "duration")


def resolve(levels: tuple[Level, ...]) -> Options:
    """Return the options in force, from the widest level to the narrowest."""
    values: dict[str, Any] = {}
    for level in levels:
        for option, text in level.options.items():
            parsed = parse(option, text)
            if isinstance(parsed, Ok):
                values[option] = parsed.ok_value
    return Options(**values)


def explain(levels: tuple[Level, ...]) -> tuple[Explained, ...]:
    """Return each option's value with the level that gave it."""
    result: dict[str, Explained] = {}
    for name, field in _FIELDS.items():
        result[name] = Explained(option=name, value=_text(field.default), level="built in")
    for level in levels:
        for option, text in level.options.items():
            result[option] = Explained(option=option, value=text, level=level.name)
    return tuple(result[name] for name in sorted(result))


def _amount(text: str, unit: str) -> float | int | None:
    match = _AMOUNT.fullmatch(text.strip())
    if match is None:
        return None
    number, suffix = match.groups()
    if unit == "duration":
        return float(number) * UNITS[suffix] if suffix in UNITS else None
    if unit == "size":
        return round(float(number) * SIZES[suffix]) if suffix in SIZES else None
    if suffix:
        return None
    if unit == "share":
        return float(number)
    return int(number) if number.isdigit() else None


def _sample(meta: msgspec.Meta) -> str:
    return {"duration": "250ms or 5s", "size": "64KiB", "share": "0.1", "count": "200"}[
        meta.extra["unit"]
    ]


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)


_FIELDS = {f.name: f for f in msgspec.structs.fields(Options)}

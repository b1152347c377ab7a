"""One line of key=value pairs for each event."""

import logging as logging_of_libraries

from absl import flags, logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def start(level: str) -> None:
    """Send events of a level and above to standard error."""
    logging_of_libraries.getLogger("thrift").setLevel(logging_of_libraries.CRITICAL)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(level)


def event(name: str, /, **fields: object) -> None:
    """Log one event."""
    logging.info("%s", line(name, fields))


def warn(name: str, /, **fields: object) -> None:
    """Log one event that an operator should look at."""
    logging.warning("%s", line(name, fields))


def line(name: str, fields: dict[str, object]) -> str:
    """Return an event as key=value pairs; values with spaces are quoted."""
    pairs = [f"event={name}"]
    pairs.extend(f"{key}={_quoted(value)}" for key, value in fields.items())
    return " ".join(pairs)


def _quoted(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and not any(c.isspace() or c in '"=' or not c.isprintable() for c in text):
        return text
    escaped = text.encode("unicode_escape").decode().replace('"', '\\"')
    return f'"{escaped}"'

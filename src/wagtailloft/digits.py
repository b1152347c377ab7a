"""Check text that is about to be converted to an integer."""

MAX_DIGITS = 18  # fits into 64 bits


def is_decimal(text: str) -> bool:
    """Tell whether int() accepts the text as a plain number of ASCII digits within 64 bits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS

"""Shortens values from outside for error texts and log lines.

A text that repeats all of a value that was refused lets its sender fill logs
and responses.
"""

import reprlib

MAX_TEXT_CHARACTERS = 500
MAX_VALUE_CHARACTERS = 64

_values = reprlib.Repr()
_values.maxstring = _values.maxother = _values.maxlong = MAX_VALUE_CHARACTERS
_values.maxlevel = 2
_values.maxdict = _values.maxlist = _values.maxtuple = _values.maxset = 4


def shorten(value: object) -> str:
    """Returns a value as `repr` does, with its long parts left out.

    The work doesn't grow with the value.

    Example:
        >>> shorten([0] * 100_000)
        '[0, 0, 0, 0, ...]'
    """
    return shorten_text(_values.repr(value))


def shorten_text(text: str, max_characters: int = MAX_TEXT_CHARACTERS) -> str:
    """Returns a text of at most `max_characters`.

    The end is kept: it tells where in a message the problem is.
    """
    if len(text) <= max_characters:
        return text
    kept = (max_characters - len(" ... ")) // 2
    return f"{text[:kept]} ... {text[-kept:]}"

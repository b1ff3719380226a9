"""Decodes JSON from outside, of which one part may be nonsense.

A list of the platform's store holds what many writers wrote. One value that is
nested too deeply, has a number of thousands of digits or bytes that are no
text must not cost the others, so it is replaced and the rest is kept.
"""

import json
import re
from typing import Any

MAX_DEPTH = 32  # the objects of the store need 9
MAX_DIGITS = 18  # of a whole number; more may not fit in 64 bits

_SURROGATE = "\\ud"  # begins the escape of a half of a surrogate pair
# Strings as a whole, since brackets within them don't nest.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)


def loads(data: bytes) -> Any:
    """Returns the value of ``data``; raises :class:`ValueError` only.

    What is nested deeper than ``MAX_DEPTH`` becomes ``None``, a longer whole
    number a float, and what is no text, in bytes or as half of a surrogate
    pair, replacement characters.
    """
    text = data.decode("utf-8", errors="replace")
    try:
        found = _decode(text)
    except RecursionError:
        text = _prune(text)
        found = _decode(text)
    return _clean(found) if _SURROGATE in text.lower() else found


def _decode(text: str) -> Any:
    return json.loads(text, parse_int=_parse_int)


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _clean(value: Any) -> Any:
    """Returns ``value`` with texts that can be encoded again."""
    if isinstance(value, str):
        return value.encode("utf-16", "surrogatepass").decode(
            "utf-16", "replace"
        )
    if isinstance(value, list):
        return [_clean(each) for each in value]
    if isinstance(value, dict):
        return {_clean(key): _clean(each) for key, each in value.items()}
    return value


def _prune(text: str) -> str:
    """Replaces the arrays and objects below ``MAX_DEPTH`` by ``null``."""
    parts = []
    depth = 0
    kept_from = 0
    for token in _TOKEN.finditer(text):
        if token[0] in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [text[kept_from : token.start()], "null"]
        elif token[0] in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                kept_from = token.end()
            depth -= 1
    if depth > 0:
        raise ValueError("the document ends within an array or object")
    return "".join([*parts, text[kept_from:]])

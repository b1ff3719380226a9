"""Formats output as JSON or as text tables."""

from collections.abc import Sequence
import json
from typing import Any
from typing import TextIO

from . import results

COLUMN_GAP = "  "
VALUE_WIDTH = 60  # maximum number of characters of a value in a table


def write_json(out: TextIO, value: Any) -> None:
    """Writes ``value`` as indented JSON."""
    print(json.dumps(value, indent=2, sort_keys=True), file=out)


def write_line(out: TextIO, value: Any) -> None:
    """Writes ``value`` as one line of JSON, for a stream of values."""
    print(json.dumps(value, sort_keys=True), file=out, flush=True)


def write_table(
    out: TextIO, titles: Sequence[str], rows: Sequence[Sequence[Any]]
) -> None:
    """Writes ``rows`` below ``titles`` in aligned columns."""
    cells = [list(titles)] + [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print(COLUMN_GAP.join(padded).rstrip(), file=out)


def to_json_object(item: results.StoredObject) -> dict[str, Any]:
    """Returns ``item`` in the form that ``apply`` reads, with its version."""
    return {
        "kind": item.kind,
        "name": item.name,
        "version": item.version,
        "value": item.value,
    }


def summarize(value: Any) -> str:
    """Returns ``value`` on one line, truncated to ``VALUE_WIDTH``."""
    if isinstance(value, dict):
        text = " ".join(
            f"{key}={_format_value(value[key])}" for key in sorted(value)
        )
    else:
        text = _format_value(value)
    if len(text) <= VALUE_WIDTH:
        return text
    return text[: VALUE_WIDTH - 3] + "..."


def _format_value(value: Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value, separators=(",", ":"))

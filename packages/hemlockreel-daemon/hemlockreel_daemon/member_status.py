"""The members of the region, as the status responses show them."""

from typing import Any

import msgspec

from hemlockreel import board as boards
from hemlockreel import membership


def describe(board: boards.Board) -> list[dict[str, Any]]:
    """Returns the live members as dictionaries."""
    return [
        msgspec.structs.asdict(member)
        for member in membership.live_members(board)
    ]

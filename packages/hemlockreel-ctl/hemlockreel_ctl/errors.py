"""The error that ends a command, and the exit codes."""

import enum


class ExitCode(enum.IntEnum):
    """The exit codes of ``hemlockreel``, for use in scripts.

    ``LOST_RACE`` and ``UNAVAILABLE`` mean that the object named in the message
    was not written, ``UNKNOWN`` that it may have been written, and
    ``NOT_IN_FORCE`` that it was written. ``LOST_RACE`` is a conflict with
    another write. argparse exits with 2 for an invalid command line.
    """

    OK = 0
    USER_ERROR = 1
    LOST_RACE = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class UserError(Exception):
    """Ends the command with a message instead of a traceback."""

    def __init__(self, message: str, code: ExitCode = ExitCode.USER_ERROR):
        super().__init__(message)
        self.code = code

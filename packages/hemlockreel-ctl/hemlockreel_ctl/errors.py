"""The one error that a command ends with."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit code of ``hemlockreel`` says to a script.

    ``LOST_RACE`` and ``UNAVAILABLE`` mean that nothing was written for the
    object that the message names; after ``UNKNOWN`` it may have been, and
    with ``NOT_IN_FORCE`` it was.
    argparse itself ends with 2 for a wrong command line.
    """

    OK = 0
    USER_ERROR = 1
    LOST_RACE = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class UserError(Exception):
    """Ends the command with a message for the operator and no trace."""

    def __init__(self, message: str, code: ExitCode = ExitCode.USER_ERROR):
        super().__init__(message)
        self.code = code

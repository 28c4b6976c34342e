"""Exception classes; every error carries the step and the peer that failed."""


class PulleyError(Exception):
    """The base class of every error that the packages raise.

    ``step`` names the operation that failed (``"connect"``, ``"claim"``), ``peer``
    the address of the other side; each is empty if there is none.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        prefix = " ".join(part for part in (self.step, self.peer) if part)
        message = super().__str__()
        return f"{prefix}: {message}" if prefix else message


class SettingsError(PulleyError):
    """A setting, from a flag, variable or file, has a value that is not allowed."""


class ProtocolError(PulleyError):
    """A peer sent bytes that violate the protocol in use."""


class ConnectionLost(PulleyError):
    """A connection closed or stopped responding before its exchange was complete."""


class TimedOut(PulleyError):
    """A step took longer than its time limit."""

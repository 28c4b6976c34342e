"""Clock, errors, sentinels, logs, outcomes and settings shared by all packages."""

from .addresses import is_address, is_ip, is_port, split_address
from .clock import Clock, boot_time_ms, to_seconds, wall_time_ms
from .errors import (
    ConnectionLost,
    ProtocolError,
    PulleyError,
    SettingsError,
    TimedOut,
)
from .logs import configure_logs, log_event, warn_event
from .outcomes import Outcome, Reason
from .sentinels import ABSENT, UNAVAILABLE, UNKNOWN, Sentinel
from .timeouts import interruptible, time_limit, wait_for_event

__all__ = [
    "ABSENT",
    "Clock",
    "ConnectionLost",
    "Outcome",
    "ProtocolError",
    "PulleyError",
    "Reason",
    "Sentinel",
    "SettingsError",
    "TimedOut",
    "UNAVAILABLE",
    "UNKNOWN",
    "boot_time_ms",
    "configure_logs",
    "interruptible",
    "is_address",
    "is_ip",
    "is_port",
    "log_event",
    "split_address",
    "time_limit",
    "to_seconds",
    "wait_for_event",
    "wall_time_ms",
    "warn_event",
]

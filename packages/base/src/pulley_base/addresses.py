"""Addresses of the form IP:port."""

import socket

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an IP:port.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(value: object) -> bool:
    """Check whether a value is the text of an IPv4 address and a port to connect to.

    >>> [is_address(text) for text in ("127.0.0.1:80", "127.0.0.1:0", "a.example:80")]
    [True, False, False]
    """
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return is_ip(host) and is_port(port)


def is_ip(text: str) -> bool:
    """Check whether a text is an IPv4 address."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def is_port(text: str) -> bool:
    """Check whether a text is a port from 1 to 65535 in decimal digits."""
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_PORT_DIGITS:
        return False
    return 0 < int(text) <= MAX_PORT

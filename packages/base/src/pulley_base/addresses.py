"""Addresses of the form IP:port."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an IP:port.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)

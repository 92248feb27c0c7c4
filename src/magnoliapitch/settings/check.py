"""Validators of single values in the settings."""

from __future__ import annotations

import ipaddress

from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url


def check_ip_address(value: str) -> str:
    """Return the value if it is an IP address.

    :raises ValueError: if it is not, for example if it is a host name.
    """
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(
            "must be an IP address such as 10.0.3.7, not a host name"
        ) from None
    return value


def check_peer_address(value: str) -> str:
    """Return the value if it is an address and port, ``IP:PORT``.

    :raises ValueError: if it is not.
    """
    host, _, port = value.rpartition(":")
    check_ip_address(host.strip("[]"))
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 1 << 16):
        raise ValueError(
            "must be an IP address and a port such as 10.0.3.7:8082"
        )
    return value


def check_platform_url(value: str) -> str:
    """Return the value if it is a URL whose host is an IP address.

    A URL without a host, such as ``memory:``, only selects an adapter; it is
    accepted unless its scheme is HTTP.

    :raises ValueError: if it is no URL, or its host is missing or a name.
    """
    try:
        url = parse_url(value)
    except LocationParseError as error:
        raise ValueError(f"must be a URL: {error}") from error
    if not url.scheme:
        raise ValueError("must be a URL such as http://10.0.3.7:9000/log")
    if url.host:
        check_ip_address(url.host.strip("[]"))
    elif url.scheme.startswith("http"):
        raise ValueError("must contain a host, as in http://IP:PORT/PATH")
    return value

"""Checks of single values of the settings."""

from __future__ import annotations

import ipaddress

from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url


def check_ip_number(value: str) -> str:
    """Return the value if it is an IP number.

    :raises ValueError: if it is a host name or anything else.
    """
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(
            "must be an IP number such as 10.0.3.7, not a host name"
        ) from None
    return value


def check_peer_address(value: str) -> str:
    """Return the value if it is ``IP:PORT``.

    :raises ValueError: if it is not.
    """
    host, _, port = value.rpartition(":")
    check_ip_number(host.strip("[]"))
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 1 << 16):
        raise ValueError("must be an address such as 10.0.3.7:8082")
    return value


def check_platform_url(value: str) -> str:
    """Return the value if it is a URL whose host is an IP number.

    A URL without a host, such as ``memory:``, names an adapter only.

    :raises ValueError: if it is not such a URL.
    """
    try:
        url = parse_url(value)
    except LocationParseError as error:
        raise ValueError(f"must be a URL: {error}") from error
    if not url.scheme:
        raise ValueError("must be a URL such as http://10.0.3.7:9000/log")
    if url.host:
        check_ip_number(url.host.strip("[]"))
    elif url.scheme.startswith("http"):
        raise ValueError("must name a host: http://IP:PORT/PATH")
    return value

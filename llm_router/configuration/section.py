"""Checked reads of a configuration's keys."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from llm_router.configuration.schema import ConfigurationError, HostAndPort

MAX_INTEGER = 10**15  # eleven days in nanoseconds
MAX_PORT = 65535


class Section:
    """One object of a configuration file, with the path of its keys for error messages.

    Every read raises ConfigurationError, which names the key."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self.values = values
        self.path = path

    def section(self, key: str, *, required: bool = False) -> Section:
        """Return an object below this one, empty where it is absent and not required."""
        value = self.values.get(key)
        if value is None and not required:
            value = {}
        if not isinstance(value, dict):
            raise self.error(key, "is missing" if value is None else "must be an object")
        return Section(value, f"{self.path}{key}.")

    def text(self, key: str) -> str:
        """Return a required text that is not empty."""
        value = self.values.get(key)
        if not isinstance(value, str) or not value:
            raise self.error(key, "is missing" if value is None else "must be a text")
        return value

    def integer(self, key: str, *, default: int, minimum: int) -> int:
        """Return a whole number, which may be written as 5.0."""
        value = self.values.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or (isinstance(value, float) and not value.is_integer()):
            raise self.error(key, "must be a whole number")
        if not minimum <= value <= MAX_INTEGER:
            raise self.error(key, f"must be at least {minimum} and at most {MAX_INTEGER}")
        return int(value)

    def host_and_port(self, key: str) -> HostAndPort:
        """Return a required HOST:PORT, without the brackets of an IPv6 address."""
        return parse_host_and_port(self.text(key), f"{self.path}{key}")

    def seed(self, key: str) -> int:
        """Return a number that is written in hex; 0 where it is absent."""
        value = self.values.get(key, 0)
        try:
            return value if isinstance(value, int) else int(str(value), 16)
        except ValueError:
            raise self.error(key, "must be a number in hex") from None

    def error(self, key: str, problem: str) -> ConfigurationError:
        """Return the error that a key is at fault."""
        return ConfigurationError(f"{self.path}{key}: {problem}")


def parse_host_and_port(text: str, key: str) -> HostAndPort:
    """Return the parts of HOST:PORT; raise ConfigurationError that names the key otherwise."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{key}: must be HOST:PORT")
    return HostAndPort(host.strip("[]"), int(port))

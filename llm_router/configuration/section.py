"""Reads the keys of a configuration file and checks their values."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from llm_router.configuration.schema import ConfigurationError, HostAndPort

MAX_INTEGER = 10**15  # largest integer value; as nanoseconds it is eleven days
MAX_PORT = 65535


class Section:
    """One object of a configuration file, with the path of its keys for error messages.

    Every read of a key raises ConfigurationError with the name of the key if the value is invalid."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self.values = values
        self.path = path

    def section(self, key: str, *, required: bool = False) -> Section:
        """Return a nested object; return an empty section if the key is absent and not required."""
        value = self.values.get(key)
        if value is None and not required:
            value = {}
        if not isinstance(value, dict):
            raise self.error(key, "is missing" if value is None else "must be an object")
        return Section(value, f"{self.path}{key}.")

    def text(self, key: str) -> str:
        """Return a required, non-empty string."""
        value = self.values.get(key)
        if not isinstance(value, str) or not value:
            raise self.error(key, "is missing" if value is None else "must be a non-empty string")
        return value

    def integer(self, key: str, *, default: int, minimum: int) -> int:
        """Return a whole number within bounds; accept a float without a fraction, such as 5.0."""
        value = self.values.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or (isinstance(value, float) and not value.is_integer()):
            raise self.error(key, "must be a whole number")
        if not minimum <= value <= MAX_INTEGER:
            raise self.error(key, f"must be at least {minimum} and at most {MAX_INTEGER}")
        return int(value)

    def host_and_port(self, key: str) -> HostAndPort:
        """Return a required HOST:PORT as host and port; remove the brackets of an IPv6 address."""
        return parse_host_and_port(self.text(key), f"{self.path}{key}")

    def seed(self, key: str) -> int:
        """Return an integer or a hexadecimal string as a number, or 0 if the key is absent."""
        value = self.values.get(key, 0)
        try:
            return value if isinstance(value, int) else int(str(value), 16)
        except ValueError:
            raise self.error(key, "must be an integer or a hexadecimal string") from None

    def error(self, key: str, problem: str) -> ConfigurationError:
        """Return an error that names an invalid key and its problem."""
        return ConfigurationError(f"{self.path}{key}: {problem}")


def parse_host_and_port(text: str, key: str) -> HostAndPort:
    """Return the host and port of HOST:PORT; raise ConfigurationError with the key for another form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{key}: must be HOST:PORT")
    return HostAndPort(host.strip("[]"), int(port))

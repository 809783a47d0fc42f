"""Reads typed values from `name=value` fields, the format of simulator messages and settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from math import isfinite
from typing import Any, TypeVar

Value = TypeVar("Value")

BOOLEANS = {"1": True, "0": False, "true": True, "false": False}


class FieldError(Exception):
    """A line or field is malformed; the message names the field."""


class Fields:
    """The fields of one line or of one settings tree, by name.

    Each read method raises FieldError if the field is missing or does not have the requested type."""

    __slots__ = ("values",)

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    @classmethod
    def parse(cls, words: Iterable[str]) -> Fields:
        """Return the fields of a line, given its `name=value` words."""
        values: dict[str, str] = {}
        for word in words:
            name, separator, value = word.partition("=")
            if not separator or not name:
                raise FieldError(f"{word!r} is not of the form name=value")
            values[name] = value
        return cls(values)

    def __contains__(self, name: str) -> bool:
        return name in self.values

    def text(self, name: str) -> str:
        """Return the unchanged text of a required field."""
        try:
            return self.values[name]
        except KeyError:
            raise FieldError(f"{name} is missing") from None

    def integer(self, name: str) -> int:
        """Return the value of a required field that is a whole number."""
        value = self.text(name)
        try:
            return int(value)
        except ValueError:
            raise FieldError(f"{name}={value} is not a whole number") from None

    def number(self, name: str) -> float:
        """Return the value of a required field that is a finite number."""
        value = self.text(name)
        try:
            result = float(value)
        except ValueError:
            raise FieldError(f"{name}={value} is not a number") from None
        if not isfinite(result):
            raise FieldError(f"{name}={value} is not a finite number")
        return result

    def rounded(self, name: str) -> int:
        """Return the value of a required field, rounded to an integer.

        This reads counts and times in nanoseconds, which may have a decimal point."""
        value = self.text(name)
        if value.isdecimal():
            return int(value)  # A conversion to float would lose digits of a large integer.
        return round(self.number(name))

    def choice(self, name: str, meanings: Mapping[str, Value]) -> Value:
        """Return the object in `meanings` for the word in a required field."""
        value = self.text(name)
        if value not in meanings:
            raise FieldError(f"{name}={value} is not one of {', '.join(meanings)}")
        return meanings[value]

    def boolean(self, name: str) -> bool:
        """Return the value of a required Boolean field."""
        return self.choice(name, BOOLEANS)

    def optional(self, name: str, read: Callable[[str], Value]) -> Value | None:
        """Return the value that the read method `read` gives for a field; None if it is absent or empty."""
        return read(name) if self.values.get(name) else None

    def items(self, name: str) -> list[str]:
        """Return the items of a comma-separated field; an absent field has no items."""
        value = self.values.get(name)
        return value.split(",") if value else []

    def item(self, name: str, index: int) -> Fields:
        """Return one item of a comma-separated field as a field of the same name.

        The result has no fields if the list is shorter."""
        items = self.items(name)
        return Fields({name: items[index]} if index < len(items) else {})

    def with_prefix(self, prefix: str) -> Fields:
        """Return the fields whose names start with a prefix, and remove the prefix from the names."""
        return Fields(
            {name[len(prefix) :]: value for name, value in self.values.items() if name.startswith(prefix)}
        )


def without_none(**values: object) -> dict[str, Any]:
    """Return the arguments that are not None, so that a dataclass uses its defaults for the others."""
    return {name: value for name, value in values.items() if value is not None}

"""Typed reads of `name=value` fields, the form in which the simulator and the settings write everything."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from math import isfinite
from typing import Any, TypeVar

Value = TypeVar("Value")

BOOLEANS = {"1": True, "0": False, "true": True, "false": False}


class FieldError(Exception):
    """A line, or a field of one, that the form does not allow; the message names the field."""


class Fields:
    """The fields of one line or of one settings tree, by name.

    Every read raises FieldError where the field is missing or is not of the asked type."""

    __slots__ = ("values",)

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    @classmethod
    def parse(cls, words: Iterable[str]) -> Fields:
        """Return the fields of a line that has been split into `name=value` words."""
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
        """Return a required field as it is written."""
        try:
            return self.values[name]
        except KeyError:
            raise FieldError(f"{name} is missing") from None

    def integer(self, name: str) -> int:
        """Return a required whole number."""
        value = self.text(name)
        try:
            return int(value)
        except ValueError:
            raise FieldError(f"{name}={value} is not a whole number") from None

    def number(self, name: str) -> float:
        """Return a required finite number."""
        value = self.text(name)
        try:
            result = float(value)
        except ValueError:
            raise FieldError(f"{name}={value} is not a number") from None
        if not isfinite(result):
            raise FieldError(f"{name}={value} is not a finite number")
        return result

    def rounded(self, name: str) -> int:
        """Return a required count or time in nanoseconds, which may be written with a decimal point."""
        value = self.text(name)
        if value.isdecimal():
            return int(value)  # not by way of a float, which would lose digits
        return round(self.number(name))

    def choice(self, name: str, meanings: Mapping[str, Value]) -> Value:
        """Return the meaning of a required field that holds one of several words."""
        value = self.text(name)
        if value not in meanings:
            raise FieldError(f"{name}={value} is none of {', '.join(meanings)}")
        return meanings[value]

    def boolean(self, name: str) -> bool:
        """Return a required truth value."""
        return self.choice(name, BOOLEANS)

    def optional(self, name: str, read: Callable[[str], Value]) -> Value | None:
        """Return what `read`, a read of these fields, makes of a field; None if it is absent or empty."""
        return read(name) if self.values.get(name) else None

    def items(self, name: str) -> list[str]:
        """Return the items of a comma-joined list; an absent list is empty."""
        value = self.values.get(name)
        return value.split(",") if value else []

    def item(self, name: str, index: int) -> Fields:
        """Return one item of a comma-joined list as the only field, or no field where the list is shorter."""
        items = self.items(name)
        return Fields({name: items[index]} if index < len(items) else {})

    def below(self, prefix: str) -> Fields:
        """Return the fields whose names start with a prefix, without that prefix."""
        return Fields(
            {name[len(prefix) :]: value for name, value in self.values.items() if name.startswith(prefix)}
        )


def present(**values: object) -> dict[str, Any]:
    """Return the arguments that are not None, so that a dataclass's default stands for each of the others."""
    return {name: value for name, value in values.items() if value is not None}

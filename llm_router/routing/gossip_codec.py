"""The wire form of what router instances send one another: 10 bytes a message."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from zlib import crc32

VERSION = 1  # of the wire form
BODY = Struct(">BBIH")  # version, symptom, endpoint number, tenant and class
CHECKSUM = Struct(">H")  # the low half of the body's CRC-32


class Symptom(IntEnum):
    """What a router instance has met at an endpoint; the values are those of the wire."""

    DOWN = 1  # it refused the connection or broke it
    SLOW = 2
    OVERLOADED = 3  # for a tenant and class


@dataclass(slots=True, frozen=True)
class SymptomMessage:
    """A symptom of an endpoint; tenant and class by their index in the order of the settings."""

    symptom: Symptom
    endpoint_id: int
    tenant_class_index: int = 0

    def encode(self) -> bytes:
        """Return the message's bytes."""
        body = BODY.pack(VERSION, self.symptom, self.endpoint_id, self.tenant_class_index)
        return body + _checksum(body)

    @classmethod
    def decode(cls, data: bytes) -> SymptomMessage | None:
        """Return the message, None where it is truncated, damaged or of another version."""
        if len(data) != BODY.size + CHECKSUM.size:
            return None
        body = data[: BODY.size]
        if _checksum(body) != data[BODY.size :]:
            return None
        version, symptom, endpoint_id, tenant_class_index = BODY.unpack(body)
        if version != VERSION or symptom not in set(Symptom):
            return None
        return cls(Symptom(symptom), endpoint_id, tenant_class_index)


def _checksum(body: bytes) -> bytes:
    return CHECKSUM.pack(crc32(body) & 0xFFFF)

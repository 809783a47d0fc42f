"""The wire format of the gossip between router instances: one message has 10 bytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from zlib import crc32

VERSION = 1  # version number of the wire format
BODY = Struct(">BBIH")  # version, symptom, endpoint ID, index of the tenant and class
CHECKSUM = Struct(">H")  # the low 16 bits of the CRC-32 of the body


class Symptom(IntEnum):
    """A fault that a router instance observed at an endpoint; the values are those of the wire format."""

    DOWN = 1  # The endpoint refused or broke connections, or its responses were errors.
    SLOW = 2  # The first token of a decode attempt took much longer than usual.
    OVERLOADED = 3  # The endpoint rejected a request of a tenant and class as overloaded.


@dataclass(slots=True, frozen=True)
class SymptomMessage:
    """A gossip message with a symptom of an endpoint.

    `tenant_class_index` is the index of a tenant and class in the order of the settings.
    An index of 0 means that the symptom concerns no particular tenant and class."""

    symptom: Symptom
    endpoint_id: int
    tenant_class_index: int = 0

    def encode(self) -> bytes:
        """Encode the message to its wire format."""
        body = BODY.pack(VERSION, self.symptom, self.endpoint_id, self.tenant_class_index)
        return body + _checksum(body)

    @classmethod
    def decode(cls, data: bytes) -> SymptomMessage | None:
        """Decode a message; return None if it is truncated, corrupted or of another version."""
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

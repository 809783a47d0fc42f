"""Parses clusters and load assignments in xDS v3 JSON into endpoint lists."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from zlib import crc32

import orjson

from llm_router.configuration import XdsFiles
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.lifecycle.start_times import parse_start_time
from llm_router.routing.events import EndpointStatus

# Key of the router's own values in `filter_metadata`; deployed files use this name.
METADATA_KEY = "hoplane"
CLUSTER_TYPE = "Cluster"
LOAD_ASSIGNMENT_TYPE = "ClusterLoadAssignment"
MAX_PORT = 65535
# An unhealthy endpoint gets no new requests and finishes its running requests.
HEALTH_STATUSES = {
    "UNKNOWN": EndpointStatus.READY,
    "HEALTHY": EndpointStatus.READY,
    "DEGRADED": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "UNHEALTHY": EndpointStatus.DRAINING,
    "TIMEOUT": EndpointStatus.DRAINING,
}


class XdsFormatError(Exception):
    """Raised for an invalid xDS resource; the message names its path in the file."""


class XdsFileError(Exception):
    """Raised for an xDS file that cannot be read or is invalid; `problem` is the reason."""

    def __init__(self, file: Path, problem: str) -> None:
        super().__init__(f"{file.name}: {problem}")
        self.file, self.problem = file, problem


@dataclass(slots=True, frozen=True)
class Cluster:
    """An xDS cluster: its name is the model's name, and its metadata is the default for its endpoints."""

    name: str
    metadata: Mapping[str, Any]


def load_endpoint_lists(files: XdsFiles) -> dict[str, EndpointListReceived]:
    """Return each cluster's full endpoint list by cluster name; raise XdsFileError for an invalid file."""
    file = files.clusters
    try:
        clusters = read_clusters(file.read_bytes())
        file = files.endpoints
        return read_load_assignments(file.read_bytes(), clusters)
    except (OSError, XdsFormatError, TypeError, ValueError, AttributeError) as error:
        raise XdsFileError(file, str(error)) from None


def read_clusters(text: bytes) -> dict[str, Cluster]:
    """Return the clusters by the service name that load assignments use for them."""
    clusters = {}
    for index, resource in enumerate(_read_resources(text, CLUSTER_TYPE)):
        name = _field(resource, "name")
        if not isinstance(name, str) or not name:
            raise XdsFormatError(f"resources.{index}.name: is missing")
        service_name = _field_at(resource, "eds_cluster_config", "service_name") or name
        metadata = _field_at(resource, "metadata", "filter_metadata", METADATA_KEY) or {}
        clusters[service_name] = Cluster(name, metadata)
    return clusters


def read_load_assignments(text: bytes, clusters: Mapping[str, Cluster]) -> dict[str, EndpointListReceived]:
    """Return the endpoint list of each cluster by cluster name.

    A cluster without load assignment has an empty list. Load assignments of unknown clusters are ignored."""
    lists = {cluster.name: EndpointListReceived((), is_full=True) for cluster in clusters.values()}
    for index, resource in enumerate(_read_resources(text, LOAD_ASSIGNMENT_TYPE)):
        cluster = clusters.get(_field(resource, "cluster_name"))
        if cluster is None:
            continue
        endpoints = _read_load_assignment(resource, cluster, f"resources.{index}")
        lists[cluster.name] = EndpointListReceived(endpoints, is_full=True)
    return lists


def _read_load_assignment(resource: object, cluster: Cluster, path: str) -> tuple[Endpoint, ...]:
    """Return the endpoints in all localities of one load assignment."""
    endpoints = []
    for locality_index, locality in enumerate(_field(resource, "endpoints", [])):
        for index, lb_endpoint in enumerate(_field(locality, "lb_endpoints", [])):
            endpoint_path = f"{path}.endpoints.{locality_index}.lb_endpoints.{index}"
            endpoints.append(_read_endpoint(lb_endpoint, locality, cluster, endpoint_path))
    names = {endpoint.name for endpoint in endpoints}
    if len(names) < len(endpoints):
        raise XdsFormatError(f"{path}: two endpoints have the same name")
    return tuple(endpoints)


def _read_endpoint(lb_endpoint: object, locality: object, cluster: Cluster, path: str) -> Endpoint:
    """Return the endpoint that an LbEndpoint describes."""
    address = _read_address(lb_endpoint, path)
    health = _field(lb_endpoint, "health_status", "UNKNOWN")
    if health not in HEALTH_STATUSES:
        raise XdsFormatError(f"{path}.health_status: {health!r} is not a known status")
    own_metadata = _field_at(lb_endpoint, "metadata", "filter_metadata", METADATA_KEY) or {}
    metadata = {**cluster.metadata, **own_metadata}
    if not isinstance(metadata.get("kind"), str):
        raise XdsFormatError(f"{path}.metadata.filter_metadata.{METADATA_KEY}.kind: is missing")
    zone = str(_field_at(locality, "locality", "zone") or "")
    rack = str(_field_at(locality, "locality", "sub_zone") or "")
    try:
        weight = float(_field(lb_endpoint, "load_balancing_weight", 1))
    except (TypeError, ValueError):
        raise XdsFormatError(f"{path}: load_balancing_weight must be a number") from None
    start_ms = metadata.get("since_ms", 0)
    if isinstance(start_ms, bool) or not isinstance(start_ms, int | float):
        raise XdsFormatError(f"{path}: since_ms must be a number")
    return Endpoint(
        name=str(metadata.get("name") or address),
        address=address,
        zone=zone,
        kind=metadata["kind"],
        cell=crc32(f"{zone}/{rack}".encode()),
        status=HEALTH_STATUSES[health],
        weight=weight,
        started_at=parse_start_time(start_ms),
    )


def _read_address(lb_endpoint: object, path: str) -> str:
    """Return the HOST:PORT of an LbEndpoint, with brackets around an IPv6 host."""
    socket = _field_at(lb_endpoint, "endpoint", "address", "socket_address")
    host = _field(socket, "address") if socket else None
    port = _field(socket, "port_value") if socket else None
    if not isinstance(host, str) or not isinstance(port, int) or not 0 < port <= MAX_PORT:
        raise XdsFormatError(f"{path}.endpoint.address.socket_address: address and port_value are required")
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _read_resources(text: bytes, resource_type: str) -> list[dict[str, Any]]:
    """Return the resources in a file.

    The file holds a DiscoveryResponse, a list or a single resource. All of them must have the given type."""
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise XdsFormatError(f"not JSON: {error}") from None
    if isinstance(document, dict):
        document = document.get("resources", [document])
    if not isinstance(document, list) or not all(isinstance(resource, dict) for resource in document):
        raise XdsFormatError("resources: must be a list of objects")
    if not all(str(resource.get("@type", resource_type)).endswith(resource_type) for resource in document):
        raise XdsFormatError(f"@type: all resources must be of type {resource_type}")
    return document


def _field(value: object, name: str, default: object = None) -> Any:  # noqa: ANN401 - JSON of any type
    """Return a field of a JSON object by its snake_case or its camelCase name; proto3 JSON allows both."""
    if not isinstance(value, dict):
        raise XdsFormatError(f"{name}: the enclosing value must be an object")
    return value.get(name, value.get(_camel_case(name), default))


def _field_at(value: object, *names: str) -> Any:  # noqa: ANN401 - JSON of any type
    """Return a nested field of a JSON object, or None if a field on the path is absent."""
    for name in names:
        value = _field(value, name)
        if value is None:
            return None
    return value


def _camel_case(name: str) -> str:
    """Return the camelCase form of a snake_case name."""
    first, *others = name.split("_")
    return first + "".join(word.capitalize() for word in others)

"""Reads endpoint lists from the clusters and load assignments of xDS v3 JSON."""

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

# Our key in `filter_metadata` keeps the program's first name: deployed files use it.
METADATA_KEY = "hoplane"
CLUSTER_TYPE = "Cluster"
LOAD_ASSIGNMENT_TYPE = "ClusterLoadAssignment"
MAX_PORT = 65535
# An endpoint that is not healthy gets no new requests, and finishes those it has.
HEALTH_STATUSES = {
    "UNKNOWN": EndpointStatus.READY,
    "HEALTHY": EndpointStatus.READY,
    "DEGRADED": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "UNHEALTHY": EndpointStatus.DRAINING,
    "TIMEOUT": EndpointStatus.DRAINING,
}


class XdsFormatError(Exception):
    """A resource that cannot be used; the message names its place in the file."""


class XdsFileError(Exception):
    """A file that cannot be used, and what is wrong with it."""

    def __init__(self, file: Path, problem: str) -> None:
        super().__init__(f"{file.name}: {problem}")
        self.file, self.problem = file, problem


@dataclass(slots=True, frozen=True)
class Cluster:
    """A cluster, whose name is the model's; its metadata counts for each endpoint without its own."""

    name: str
    metadata: Mapping[str, Any]


def load_endpoint_lists(files: XdsFiles) -> dict[str, EndpointListReceived]:
    """Return the full endpoint list of each cluster by name; raise XdsFileError that names the file."""
    file = files.clusters
    try:
        clusters = read_clusters(file.read_bytes())
        file = files.endpoints
        return read_load_assignments(file.read_bytes(), clusters)
    except (OSError, XdsFormatError, TypeError, ValueError, AttributeError) as error:
        raise XdsFileError(file, str(error)) from None


def read_clusters(text: bytes) -> dict[str, Cluster]:
    """Return the clusters by the name that load assignments call them."""
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
    """Return each cluster's endpoints by the cluster's name, none where it has no load assignment.

    A load assignment of no cluster is ignored."""
    lists = {cluster.name: EndpointListReceived((), is_full=True) for cluster in clusters.values()}
    for index, resource in enumerate(_read_resources(text, LOAD_ASSIGNMENT_TYPE)):
        cluster = clusters.get(_field(resource, "cluster_name"))
        if cluster is None:
            continue
        endpoints = _read_load_assignment(resource, cluster, f"resources.{index}")
        lists[cluster.name] = EndpointListReceived(endpoints, is_full=True)
    return lists


def _read_load_assignment(resource: object, cluster: Cluster, path: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of one load assignment, over all its localities."""
    endpoints = []
    for locality_index, locality in enumerate(_field(resource, "endpoints", [])):
        for index, lb_endpoint in enumerate(_field(locality, "lb_endpoints", [])):
            endpoint_path = f"{path}.endpoints.{locality_index}.lb_endpoints.{index}"
            endpoints.append(_read_endpoint(lb_endpoint, locality, cluster, endpoint_path))
    names = {endpoint.name for endpoint in endpoints}
    if len(names) < len(endpoints):
        raise XdsFormatError(f"{path}: two endpoints share a name")
    return tuple(endpoints)


def _read_endpoint(lb_endpoint: object, locality: object, cluster: Cluster, path: str) -> Endpoint:
    """Return the endpoint that an LbEndpoint describes."""
    address = _read_address(lb_endpoint, path)
    health = _field(lb_endpoint, "health_status", "UNKNOWN")
    if health not in HEALTH_STATUSES:
        raise XdsFormatError(f"{path}.health_status: {health!r} is not known")
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
    """Return an LbEndpoint's HOST:PORT."""
    socket = _field_at(lb_endpoint, "endpoint", "address", "socket_address")
    host = _field(socket, "address") if socket else None
    port = _field(socket, "port_value") if socket else None
    if not isinstance(host, str) or not isinstance(port, int) or not 0 < port <= MAX_PORT:
        raise XdsFormatError(f"{path}.endpoint.address.socket_address: address and port_value are needed")
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _read_resources(text: bytes, resource_type: str) -> list[dict[str, Any]]:
    """Return a file's resources, all of one type: a DiscoveryResponse, a list or a single resource."""
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise XdsFormatError(f"not JSON: {error}") from None
    if isinstance(document, dict):
        document = document.get("resources", [document])
    if not isinstance(document, list) or not all(isinstance(resource, dict) for resource in document):
        raise XdsFormatError("resources: must be a list of objects")
    if not all(str(resource.get("@type", resource_type)).endswith(resource_type) for resource in document):
        raise XdsFormatError(f"@type: all must be {resource_type}")
    return document


def _field(value: object, name: str, default: object = None) -> Any:  # noqa: ANN401 - JSON of any type
    """Return an object's field in either spelling, snake_case or camelCase: proto3 JSON is read in both."""
    if not isinstance(value, dict):
        raise XdsFormatError(f"{name}: is not in an object")
    return value.get(name, value.get(_camel_case(name), default))


def _field_at(value: object, *names: str) -> Any:  # noqa: ANN401 - JSON of any type
    """Return a field some objects deep, None where one of them is absent."""
    for name in names:
        value = _field(value, name)
        if value is None:
            return None
    return value


def _camel_case(name: str) -> str:
    """Return a snake_case name in camelCase."""
    first, *others = name.split("_")
    return first + "".join(word.capitalize() for word in others)

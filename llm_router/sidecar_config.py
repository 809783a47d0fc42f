"""Writes and checks the configuration of a router that runs as an application's sidecar.

`python -m llm_router.sidecar_config init FOLDER` and `python -m llm_router.sidecar_config check FILE`."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path

from llm_router.configuration import ConfigurationError, standalone_configuration
from llm_router.configuration.section import parse_host_and_port
from llm_router.xds.resources import METADATA_KEY, XdsFileError, load_endpoint_lists

EXIT_INVALID = 2  # the configuration is at fault; the key is named on standard error
CONFIGURATION_FILE, CLUSTERS_FILE, ENDPOINTS_FILE = "llm_router.toml", "clusters.json", "endpoints.json"
XDS_TYPE_PREFIX = "type.googleapis.com/envoy.config."
KIND = "mixed"
TEMPLATE = """\
# llm_router beside the application {name}; check it with: python -m llm_router.sidecar_config check FILE
name = {quoted_name}
listen = {quoted_listen}

[limits]
memory_mb = 192
sockets = 1024

[xds]
clusters = "clusters.json"
endpoints = "endpoints.json"

[settings]
kinds = ["mixed"]

[settings.family_info]
duty_by_kind = ["both"]
local_read = true

[settings.allowed]
attempts_cap = 4
cancel = true
retry_after = true
max_retry_after = 1000000000

[settings.rules]
drain_grace = 1000000000

[[settings.lanes]]
name = "default"
target = 1000000000
hard_limit = 5000000000
idempotency = "{idempotency}"
"""


@dataclass(slots=True, frozen=True)
class Application:
    """The application that a configuration is written for; addresses are HOST:PORT."""

    name: str
    listen: str
    endpoints: tuple[str, ...] = ()
    run_once: bool = False  # its requests must never run twice


def init(folder: Path, application: Application) -> list[Path]:
    """Write an application's files into a folder and return their paths.

    Raise ConfigurationError for a malformed address, or if one of the files is already there."""
    texts = {
        folder / CONFIGURATION_FILE: _configuration_text(application),
        folder / CLUSTERS_FILE: _json_text(_cluster(application)),
        folder / ENDPOINTS_FILE: _json_text(_load_assignment(application)),
    }
    folder.mkdir(parents=True, exist_ok=True)
    for path in texts:
        if path.exists():
            raise ConfigurationError(f"{path.name}: is there already")
    for path, text in texts.items():
        path.write_text(text)
    return list(texts)


def check(file: Path) -> str:
    """Check a configuration and the endpoints that it names; return a summary of the endpoints.

    Raise ConfigurationError for the first key at fault."""
    config = standalone_configuration(file)
    assert config.xds_files is not None, "a standalone configuration names them"
    try:
        lists = load_endpoint_lists(config.xds_files)
    except XdsFileError as error:
        raise ConfigurationError(str(error)) from None
    kinds = {kind.name for kind in config.settings.kinds}
    for endpoint_list in lists.values():
        for endpoint in endpoint_list.endpoints:
            if endpoint.kind not in kinds:
                problem = f"{endpoint.name}: kind {endpoint.kind} is not known"
                raise ConfigurationError(f"{config.xds_files.endpoints.name}: {problem}")
    return ", ".join(f"{name}: {len(each.endpoints)} endpoints" for name, each in lists.items())


def main(arguments: list[str]) -> int:
    """Run one command; return 2 for a configuration at fault."""
    options = _parse_arguments(arguments)
    try:
        if options.command == "init":
            parse_host_and_port(options.listen, "listen")
            application = Application(options.name, options.listen, tuple(options.endpoint), options.once)
            for path in init(options.folder, application):
                print(path)
        else:
            print(f"{options.file}: valid ({check(options.file)})")
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    return 0


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Return the parsed command line; argparse ends the program if it is malformed."""
    parser = argparse.ArgumentParser(prog="llm_router.sidecar_config", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    init_parser = commands.add_parser("init", help="write llm_router.toml, clusters.json and endpoints.json")
    init_parser.add_argument("folder", type=Path)
    init_parser.add_argument("--name", default="app", help="the application's name, which is the model's")
    init_parser.add_argument("--listen", default="127.0.0.1:8080")
    init_parser.add_argument("--endpoint", action="append", default=[], metavar="HOST:PORT")
    init_parser.add_argument("--once", action="store_true", help="its requests must never run twice")
    check_parser = commands.add_parser("check", help="check a configuration and its endpoints")
    check_parser.add_argument("file", type=Path)
    return parser.parse_args(arguments)


def _configuration_text(application: Application) -> str:
    """Return the standalone configuration, in TOML."""
    return TEMPLATE.format(
        name=application.name,
        quoted_name=json.dumps(application.name),
        quoted_listen=json.dumps(application.listen),
        idempotency="side_effect" if application.run_once else "pure",
    )


def _cluster(application: Application) -> dict[str, object]:
    """Return the application's cluster as xDS describes it."""
    return {
        "@type": f"{XDS_TYPE_PREFIX}cluster.v3.Cluster",
        "name": application.name,
        "type": "EDS",
        "metadata": {"filter_metadata": {METADATA_KEY: {"kind": KIND}}},
    }


def _load_assignment(application: Application) -> dict[str, object]:
    """Return the cluster's endpoints as xDS describes them."""
    lb_endpoints = [_lb_endpoint(address) for address in application.endpoints]
    return {
        "@type": f"{XDS_TYPE_PREFIX}endpoint.v3.ClusterLoadAssignment",
        "cluster_name": application.name,
        "endpoints": [{"locality": {"zone": "local"}, "lb_endpoints": lb_endpoints}],
    }


def _lb_endpoint(address: str) -> dict[str, object]:
    """Return one endpoint as xDS describes it."""
    host, port = parse_host_and_port(address, "endpoint")
    socket_address = {"address": host, "port_value": port}
    return {"endpoint": {"address": {"socket_address": socket_address}}, "health_status": "HEALTHY"}


def _json_text(resource: dict[str, object]) -> str:
    """Return the text of a file with one resource."""
    return json.dumps({"resources": [resource]}, indent=1) + "\n"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

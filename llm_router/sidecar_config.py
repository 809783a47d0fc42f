"""Writes and checks the configuration of a router that runs as an application's sidecar.

Run `python -m llm_router.sidecar_config init FOLDER` or `python -m llm_router.sidecar_config check FILE`."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path

from llm_router.configuration import ConfigurationError, standalone_configuration
from llm_router.configuration.section import parse_host_and_port
from llm_router.xds.resources import METADATA_KEY, XdsFileError, load_endpoint_lists

# Exit code for an invalid configuration; standard error names the invalid key.
EXIT_INVALID = 2
CONFIGURATION_FILE, CLUSTERS_FILE, ENDPOINTS_FILE = "llm_router.toml", "clusters.json", "endpoints.json"
XDS_TYPE_PREFIX = "type.googleapis.com/envoy.config."
KIND = "mixed"
TEMPLATE = """\
# llm_router sidecar of {name}; check this file with: python -m llm_router.sidecar_config check FILE
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
    """An application with a sidecar router; its addresses have the form HOST:PORT."""

    name: str
    listen: str
    endpoints: tuple[str, ...] = ()
    run_once: bool = False  # The application's requests must never run twice.


def init(folder: Path, application: Application) -> list[Path]:
    """Write an application's configuration files to a folder and return their paths.

    Raise ConfigurationError for a malformed address, or if one of the files already exists."""
    texts = {
        folder / CONFIGURATION_FILE: _configuration_text(application),
        folder / CLUSTERS_FILE: _json_text(_cluster(application)),
        folder / ENDPOINTS_FILE: _json_text(_load_assignment(application)),
    }
    folder.mkdir(parents=True, exist_ok=True)
    for path in texts:
        if path.exists():
            raise ConfigurationError(f"{path.name}: already exists")
    for path, text in texts.items():
        path.write_text(text)
    return list(texts)


def check(file: Path) -> str:
    """Check a configuration file and the xDS files that it names; return the number of endpoints per cluster.

    Raise ConfigurationError for the first invalid key."""
    config = standalone_configuration(file)
    assert config.xds_files is not None, "a standalone configuration has xds_files"
    try:
        lists = load_endpoint_lists(config.xds_files)
    except XdsFileError as error:
        raise ConfigurationError(str(error)) from None
    kinds = {kind.name for kind in config.settings.kinds}
    for endpoint_list in lists.values():
        for endpoint in endpoint_list.endpoints:
            if endpoint.kind not in kinds:
                problem = f"{endpoint.name}: kind {endpoint.kind} is not in settings.kinds"
                raise ConfigurationError(f"{config.xds_files.endpoints.name}: {problem}")
    return ", ".join(f"{name}: {len(each.endpoints)} endpoints" for name, each in lists.items())


def main(arguments: list[str]) -> int:
    """Run the `init` or `check` command and return the exit code: 2 for an invalid configuration, else 0."""
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
    """Return the parsed command line; argparse exits the program if the command line is malformed."""
    parser = argparse.ArgumentParser(prog="llm_router.sidecar_config", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    init_parser = commands.add_parser("init", help="write llm_router.toml, clusters.json and endpoints.json")
    init_parser.add_argument("folder", type=Path)
    init_parser.add_argument("--name", default="app", help="name of the application and of its model")
    init_parser.add_argument("--listen", default="127.0.0.1:8080")
    init_parser.add_argument("--endpoint", action="append", default=[], metavar="HOST:PORT")
    init_parser.add_argument(
        "--once", action="store_true", help="requests of the application must never run twice"
    )
    check_parser = commands.add_parser("check", help="check a configuration and its endpoints")
    check_parser.add_argument("file", type=Path)
    return parser.parse_args(arguments)


def _configuration_text(application: Application) -> str:
    """Return the standalone configuration of an application as TOML."""
    return TEMPLATE.format(
        name=application.name,
        quoted_name=json.dumps(application.name),
        quoted_listen=json.dumps(application.listen),
        idempotency="side_effect" if application.run_once else "pure",
    )


def _cluster(application: Application) -> dict[str, object]:
    """Return the application's cluster as an xDS Cluster resource."""
    return {
        "@type": f"{XDS_TYPE_PREFIX}cluster.v3.Cluster",
        "name": application.name,
        "type": "EDS",
        "metadata": {"filter_metadata": {METADATA_KEY: {"kind": KIND}}},
    }


def _load_assignment(application: Application) -> dict[str, object]:
    """Return the application's endpoints as an xDS ClusterLoadAssignment resource."""
    lb_endpoints = [_lb_endpoint(address) for address in application.endpoints]
    return {
        "@type": f"{XDS_TYPE_PREFIX}endpoint.v3.ClusterLoadAssignment",
        "cluster_name": application.name,
        "endpoints": [{"locality": {"zone": "local"}, "lb_endpoints": lb_endpoints}],
    }


def _lb_endpoint(address: str) -> dict[str, object]:
    """Return an xDS LbEndpoint for the HOST:PORT of one endpoint."""
    host, port = parse_host_and_port(address, "endpoint")
    socket_address = {"address": host, "port_value": port}
    return {"endpoint": {"address": {"socket_address": socket_address}}, "health_status": "HEALTHY"}


def _json_text(resource: dict[str, object]) -> str:
    """Return the JSON text of a file that contains one xDS resource."""
    return json.dumps({"resources": [resource]}, indent=1) + "\n"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

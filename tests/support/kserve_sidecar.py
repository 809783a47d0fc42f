"""Runs the router as a KServe sidecar, with the shipped standalone configuration and stand-in endpoints."""

import json
import re
from contextlib import asynccontextmanager
from pathlib import Path

from stand_ins import message, reserve_port, started_process

ANSWER = b'{"model_name":"desk","outputs":[{"name":"text","shape":[1],"datatype":"BYTES","data":["ok"]}]}'
ROOT = Path(__file__).parents[2]


def load_assignment(*servers):
    """Return the JSON text of a load assignment for pairs of an address and a health status."""
    lb_endpoints = []
    for index, (address, health) in enumerate(servers):
        host, port = address.split(":")
        socket = {"address": host, "port_value": int(port)}
        lb_endpoints.append(
            {
                "endpoint": {"address": {"socket_address": socket}},
                "health_status": health,
                "metadata": {"filter_metadata": {"hoplane": {"name": f"m{index}"}}},
            }
        )
    resource_type = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    return json.dumps(
        {
            "resources": [
                {
                    "@type": resource_type,
                    "cluster_name": "desk",
                    "endpoints": [{"locality": {"zone": "z", "sub_zone": "k"}, "lb_endpoints": lb_endpoints}],
                }
            ]
        }
    )


@asynccontextmanager
async def sidecar(tmp_path, *servers):
    """Run the router with the shipped configuration file, a free listen address and the given endpoints."""
    address = f"127.0.0.1:{reserve_port()}"
    configuration = (ROOT / "deploy/kserve.toml").read_text()
    (tmp_path / "kserve.toml").write_text(re.sub(r'listen = ".*?"', f'listen = "{address}"', configuration))
    (tmp_path / "xds").mkdir()
    (tmp_path / "xds/clusters.json").write_text((ROOT / "deploy/xds/clusters.json").read_text())
    endpoints_path = tmp_path / "xds/endpoints.json"
    endpoints_path.write_text(load_assignment(*[(server.address, "HEALTHY") for server in servers]))
    async with started_process(str(tmp_path / "kserve.toml"), address=address) as program:
        program.endpoints_file, program.file = endpoints_path, tmp_path / "kserve.toml"
        yield program


def infer_request(request_id="b1", cls="booking", model="desk", **parameters):
    """Return an encoded inference request."""
    inference = {
        "id": request_id,
        "parameters": {"service_class": cls, **parameters},
        "inputs": [{"name": "text", "shape": [1], "datatype": "BYTES", "data": ["a desk"]}],
    }
    body = json.dumps(inference).encode()
    return message(f"POST /v2/models/{model}/infer HTTP/1.1", body, Host="h", Content_Type="application/json")


async def status(program, data):
    """Send a request and return the response's status; check the error text and the Retry-After header."""
    status_line, headers, body = await program.exchange(data)
    code = int(status_line.split()[1])
    assert code < 400 or code in (413,) or json.loads(body)["error"]
    if code == 503:
        assert float(headers["retry-after"]) > 0, "a rejection must have a Retry-After header"
    return code

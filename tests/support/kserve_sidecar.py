"""The router as a sidecar: started with the shipped standalone configuration before stand-in v2 servers."""

import json
import re
from contextlib import asynccontextmanager
from pathlib import Path

from stand_ins import free_port, message, started_process

ANSWER = b'{"model_name":"desk","outputs":[{"name":"text","shape":[1],"datatype":"BYTES","data":["ok"]}]}'
ROOT = Path(__file__).parents[2]


def load_assignment(*servers):
    """Return a load assignment of (address, health status) pairs."""
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
    kind = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    return json.dumps(
        {
            "resources": [
                {
                    "@type": kind,
                    "cluster_name": "desk",
                    "endpoints": [{"locality": {"zone": "z", "sub_zone": "k"}, "lb_endpoints": lb_endpoints}],
                }
            ]
        }
    )


@asynccontextmanager
async def sidecar(tmp_path, *servers):
    """Start the router with the file that the repository ships, at a free address and with these servers."""
    address = f"127.0.0.1:{free_port()}"
    text = (ROOT / "deploy/kserve.toml").read_text()
    (tmp_path / "kserve.toml").write_text(re.sub(r'listen = ".*?"', f'listen = "{address}"', text))
    (tmp_path / "xds").mkdir()
    (tmp_path / "xds/clusters.json").write_text((ROOT / "deploy/xds/clusters.json").read_text())
    file = tmp_path / "xds/endpoints.json"
    file.write_text(load_assignment(*[(server.address, "HEALTHY") for server in servers]))
    async with started_process(str(tmp_path / "kserve.toml"), address=address) as program:
        program.endpoints_file, program.file = file, tmp_path / "kserve.toml"
        yield program


def infer_request(request_id="b1", cls="booking", model="desk", **parameters):
    inference = {
        "id": request_id,
        "parameters": {"service_class": cls, **parameters},
        "inputs": [{"name": "text", "shape": [1], "datatype": "BYTES", "data": ["a desk"]}],
    }
    body = json.dumps(inference).encode()
    return message(f"POST /v2/models/{model}/infer HTTP/1.1", body, Host="h", Content_Type="application/json")


async def status(program, data):
    """Return the status of an exchange, whose error texts and Retry-After are checked."""
    first, headers, body = await program.exchange(data)
    code = int(first.split()[1])
    assert code < 400 or code in (413,) or json.loads(body)["error"]
    if code == 503:
        assert float(headers["retry-after"]) > 0, "a rejection says when to retry"
    return code

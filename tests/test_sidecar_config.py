"""Check that the command writes a valid sidecar configuration and names the invalid key of another."""

import pytest

from llm_router import sidecar_config


@pytest.fixture
def app(tmp_path):
    arguments = ["--name", "desk", "--listen", "127.0.0.1:9000", "--endpoint", "127.0.0.1:9001", "--once"]
    assert sidecar_config.main(["init", str(tmp_path / "app"), *arguments]) == 0
    return tmp_path / "app"


def test_the_written_configuration_is_valid(app, capsys):
    assert sidecar_config.main(["check", str(app / "llm_router.toml")]) == 0
    assert "desk: 1 endpoints" in capsys.readouterr().out
    assert sidecar_config.main(["init", str(app)]) == 2, "existing files must not be overwritten"


def test_the_shipped_configuration_is_valid():
    assert sidecar_config.main(["check", "deploy/kserve.toml"]) == 0


@pytest.mark.parametrize(
    ("file", "old", "new", "error_text"),
    [
        ("llm_router.toml", "sockets = 1024", "sockets = 32", "limits.sockets: must be at least 64"),
        (
            "llm_router.toml",
            "memory_mb = 192",
            'memory_mb = "much"',
            "limits.memory_mb: must be a whole number",
        ),
        ("llm_router.toml", "127.0.0.1:9000", "127.0.0.1", "listen: must be HOST:PORT"),
        ("llm_router.toml", "target = 1000000000", "", "settings.target is missing"),
        ("llm_router.toml", 'clusters = "clusters.json"', "", "xds.clusters: is missing"),
        ("llm_router.toml", "side_effect", "perhaps", "idempotency=perhaps"),
        ("llm_router.toml", "[limits]", "[limits", "llm_router.toml: "),
        ("clusters.json", '"name": "desk"', '"name": ""', "clusters.json: resources.0.name: is missing"),
        ("endpoints.json", "HEALTHY", "FINE", "lb_endpoints.0.health_status"),
        ("endpoints.json", "9001", "0", "socket_address"),
    ],
)
def test_check_names_the_invalid_key(app, capsys, file, old, new, error_text):
    path = app / file
    assert old in path.read_text()
    path.write_text(path.read_text().replace(old, new))
    assert sidecar_config.main(["check", str(app / "llm_router.toml")]) == 2
    assert error_text in capsys.readouterr().err

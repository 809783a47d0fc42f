"""A malformed or missing setting is accepted or leads to a one-line configuration error, not to a crash."""

import copy

import pytest
from stand_ins import SETTINGS

from llm_router.configuration import ConfigurationError, platform_configuration
from llm_router.routing.policy import RoutingPolicy

CONFIGURATION = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "seed": "8c",
    "limits": {"memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"index": 0, "snapshot": True, "endpoints": []},
}
MISSING = object()
MALFORMED = [
    None,
    0,
    -1,
    1.5,
    float("inf"),
    float("nan"),
    10**30,
    "",
    "x",
    "9" * 400,
    True,
    [],
    [1],
    {},
    {"a": 1},
    MISSING,
]


def paths(value, path=()):
    """Yield the path of each key and index in a nested value."""
    if path:
        yield path
    if isinstance(value, dict | list):
        for key, each in value.items() if isinstance(value, dict) else enumerate(value):
            yield from paths(each, (*path, key))


@pytest.mark.parametrize("path", list(paths(CONFIGURATION)), ids=lambda path: ".".join(map(str, path)))
def test_a_malformed_value_is_accepted_or_gives_a_one_line_error(path):
    for malformed in MALFORMED:
        values = copy.deepcopy(CONFIGURATION)
        *parent_path, key = path
        parent = values
        for parent_key in parent_path:
            parent = parent[parent_key]
        if malformed is MISSING:
            del parent[key]
        else:
            parent[key] = malformed
        try:
            config = platform_configuration(values)
        except ConfigurationError as error:
            assert "\n" not in str(error) and str(error)
        else:
            RoutingPolicy(config.settings, config.seed)


@pytest.mark.parametrize("name", ["retry_after", "max_retry_after", "cancel", "attempts_cap", "conn_idle"])
def test_an_optional_setting_may_be_missing(name):
    values = copy.deepcopy(CONFIGURATION)
    values["settings"]["allowed"].pop(name)
    assert platform_configuration(values).settings.classes

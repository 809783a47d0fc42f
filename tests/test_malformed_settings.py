"""A setting that is missing or odd falls back sensibly or is named in one error; nothing else comes of it."""

import copy

import pytest
from stand_ins import SETTINGS

from llm_router.configuration import ConfigurationError, platform_configuration
from llm_router.routing.policy import RoutingPolicy

TOLD = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "seed": "8c",
    "limits": {"memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"index": 0, "snapshot": True, "endpoints": []},
}
MISSING = object()
ODD = [
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
    """Give the path of each key below a value."""
    if path:
        yield path
    if isinstance(value, dict | list):
        for key, each in value.items() if isinstance(value, dict) else enumerate(value):
            yield from paths(each, (*path, key))


@pytest.mark.parametrize("path", list(paths(TOLD)), ids=lambda path: ".".join(map(str, path)))
def test_an_odd_value_is_taken_or_named_in_an_error(path):
    for odd in ODD:
        told = copy.deepcopy(TOLD)
        *way, last = path
        place = told
        for key in way:
            place = place[key]
        if odd is MISSING:
            del place[last]
        else:
            place[last] = odd
        try:
            config = platform_configuration(told)
        except ConfigurationError as error:
            assert "\n" not in str(error) and str(error)
        else:
            RoutingPolicy(config.settings, config.seed)


@pytest.mark.parametrize("name", ["retry_after", "max_retry_after", "cancel", "attempts_cap", "conn_idle"])
def test_an_optional_setting_may_be_missing(name):
    told = copy.deepcopy(TOLD)
    told["settings"]["allowed"].pop(name)
    assert platform_configuration(told).settings.classes

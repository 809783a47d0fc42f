"""An invalid fault plan is rejected with an error instead of being ignored."""

import pytest

from llm_router.emulator.fault_plan import FaultPlan


@pytest.mark.parametrize(
    "text",
    [
        '{"calls": [{"call": "fly", "errors": ["EIO"]}]}',
        '{"calls": [{"call": "send", "errors": ["ENONE"]}]}',
        '{"calls": [{"call": "send"}]}',
        '{"often": 1}',
        "{",
    ],
)
def test_a_malformed_fault_plan_is_an_error(text):
    with pytest.raises((ValueError, TypeError, KeyError)):
        FaultPlan.parse(text)

"""The state of one router instance, which the reducer changes."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.endpoint_table import EndpointTable
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.interval_metrics import IntervalMetrics
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.start_times import StartTimes
from llm_router.lifecycle.units import to_timedelta
from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import Settings

MAX_LIST_DELAY = timedelta(seconds=4)  # maximum delay with which an endpoint list arrives
# The assumed delay of an endpoint list is at most the slow start window divided by this number.
# With a longer delay, a wrong clock could make a new endpoint look as if its slow start had ended.
SLOW_START_DIVISOR = 3


class RouterState:
    """The whole state of one router instance, except for its connections."""

    def __init__(
        self, settings: Settings, policy: RoutingPolicy, idempotency_registry: IdempotencyRegistry
    ) -> None:
        self.settings = settings
        self.policy = policy
        self.idempotency_registry = idempotency_registry
        self.idempotency_by_class = {each.name: each.idempotency for each in settings.classes}
        slow_start_window = to_timedelta(settings.slow_start_window)
        max_list_delay = min(MAX_LIST_DELAY, slow_start_window / SLOW_START_DIVISOR)
        self.endpoint_table = EndpointTable(settings.kinds, StartTimes(max_list_delay))
        self.requests: dict[str, Request] = {}  # requests by request id
        self.metrics = IntervalMetrics()
        self.violations: Counter[str] = Counter()  # number of violations by Invariant value

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """The listed endpoints by number."""
        return self.endpoint_table.endpoints

    @property
    def numbers(self) -> dict[str, int]:
        """The numbers by which the policy knows the endpoints, by endpoint name."""
        return self.endpoint_table.numbering.by_name

    @property
    def is_idle(self) -> bool:
        """Whether every request has its final answer and all KV state and reservations are released."""
        return not self.requests

"""Gossip between router instances about symptoms of endpoints, such as failures and overload."""

from __future__ import annotations

from llm_router.routing.actions import SendGossip
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_index import EndpointIndex
from llm_router.routing.endpoint_state import EndpointState, TenantClass
from llm_router.routing.events import GossipReceived
from llm_router.routing.gossip_codec import Symptom, SymptomMessage
from llm_router.routing.outlier_ejection import OutlierEjection
from llm_router.routing.send_rates import SendRates
from llm_router.routing.settings import Settings
from llm_router.routing.statistics import RECENT_SPAN

MAX_LOCAL_SYMPTOM_TIME = 120 * SECOND  # longest effect of a symptom observed by this router, in nanoseconds
# The effect of a symptom received as gossip lasts for a random time of at most RECENT_SPAN.
# The minimum duration of the effect of a received symptom is this share of RECENT_SPAN.
MIN_RECEIVED_SYMPTOM_SHARE = 0.5


class Gossip:
    """The exchange of endpoint symptoms between router instances.

    Without gossip, each router instance would lose a request at each failed endpoint. The effect of a
    received symptom ends soon and at a random time, so that a few router instances try the endpoint again
    first. As a drawback, an endpoint that failed only briefly is avoided for longer than necessary."""

    def __init__(
        self,
        context: PolicyContext,
        index: EndpointIndex,
        ejection: OutlierEjection,
        send_rates: SendRates,
    ) -> None:
        self.context = context
        self.index = index
        self.ejection = ejection
        self.send_rates = send_rates
        self.tenant_classes = _tenant_classes(context.settings)

    def report(
        self, symptom: Symptom, endpoint: EndpointState, tenant_class: TenantClass | None = None
    ) -> None:
        """Apply a symptom that this router observed, and send it to other routers if gossip is enabled.

        `tenant_class` is given with `Symptom.OVERLOADED` only."""
        self._apply(symptom, endpoint, tenant_class, MAX_LOCAL_SYMPTOM_TIME)
        if self.context.settings.gossip and tenant_class in self.tenant_classes:
            index = self.tenant_classes.index(tenant_class)
            message = SymptomMessage(symptom, endpoint.endpoint_id, index)
            self.context.emit(SendGossip(None, message.encode()))

    def receive(self, event: GossipReceived) -> None:
        """Apply a symptom reported by another router instance.

        Ignore messages that cannot be decoded or that name an unknown endpoint, tenant or class."""
        message = SymptomMessage.decode(event.data)
        if message is None or message.tenant_class_index >= len(self.tenant_classes):
            return
        endpoint = self.index.get(message.endpoint_id)
        if endpoint is None:
            return
        limit = RECENT_SPAN * self.context.random.uniform(MIN_RECEIVED_SYMPTOM_SHARE, 1)
        tenant_class = self.tenant_classes[message.tenant_class_index]
        self._apply(message.symptom, endpoint, tenant_class, limit)

    def _apply(
        self, symptom: Symptom, endpoint: EndpointState, tenant_class: TenantClass | None, limit: float
    ) -> None:
        """Apply a symptom for the mean time between two attempts, but for at most `limit` nanoseconds.

        `Symptom.DOWN` ejects the endpoint, for the time that outlier ejection sets."""
        until = self.context.now + round(min(self.send_rates.mean_interval(endpoint), limit))
        match symptom:
            case Symptom.OVERLOADED:
                earlier = endpoint.overloaded_until.get(tenant_class, 0)
                endpoint.overloaded_until[tenant_class] = max(earlier, until)
            case Symptom.SLOW:
                endpoint.slow_until = max(endpoint.slow_until, until)
            case Symptom.DOWN:
                self.ejection.eject(endpoint)


def _tenant_classes(settings: Settings) -> list[TenantClass | None]:
    """Return the list that `tenant_class_index` indexes, the same in all router instances.

    The first item is None, for symptoms that concern no tenant and class."""
    tenants = dict.fromkeys(tenant.name for tenant in settings.tenants)
    class_names = dict.fromkeys(request_class.name for request_class in settings.classes)
    pairs = [TenantClass(tenant, name) for tenant in (None, *tenants) for name in class_names]
    return [None, *pairs]

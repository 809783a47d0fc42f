"""Gossip: applies symptoms of endpoints, met here or at other router instances, and shares those met here."""

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

MAX_AVOIDANCE = 120 * SECOND  # nanoseconds for which a symptom met here counts at most
MIN_GOSSIP_SHARE = 0.5  # of RECENT_SPAN for which gossip counts at least; the rest is random


class Gossip:
    """Notes symptoms of endpoints and sends them to the other router instances.

    Without it, each of many instances would lose a request at each failed endpoint. What others report fades
    soon and at a random moment, so that a few instances try again. An endpoint that failed for a moment only
    is avoided for longer than needed."""

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
        """Apply a symptom met here and share it; `tenant_class` is given with Symptom.OVERLOADED."""
        self._apply(symptom, endpoint, tenant_class, MAX_AVOIDANCE)
        if self.context.settings.gossip and tenant_class in self.tenant_classes:
            index = self.tenant_classes.index(tenant_class)
            message = SymptomMessage(symptom, endpoint.endpoint_id, index)
            self.context.emit(SendGossip(None, message.encode()))

    def receive(self, event: GossipReceived) -> None:
        """Apply a symptom that another router instance met; ignore what cannot be decoded or applied."""
        message = SymptomMessage.decode(event.data)
        if message is None or message.tenant_class_index >= len(self.tenant_classes):
            return
        endpoint = self.index.get(message.endpoint_id)
        if endpoint is None:
            return
        limit = RECENT_SPAN * self.context.random.uniform(MIN_GOSSIP_SHARE, 1)
        tenant_class = self.tenant_classes[message.tenant_class_index]
        self._apply(message.symptom, endpoint, tenant_class, limit)

    def _apply(
        self, symptom: Symptom, endpoint: EndpointState, tenant_class: TenantClass | None, limit: float
    ) -> None:
        """Apply a symptom until the next attempt there would come, for `limit` nanoseconds at most."""
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
    """Return what `tenant_class_index` refers to, alike in all instances; the first means none."""
    tenants = dict.fromkeys(tenant.name for tenant in settings.tenants)
    class_names = dict.fromkeys(request_class.name for request_class in settings.classes)
    pairs = [TenantClass(tenant, name) for tenant in (None, *tenants) for name in class_names]
    return [None, *pairs]

"""Names of the platform protocol's paths and headers."""

from __future__ import annotations

CHAT_PATH = "/v1/chat/completions"
READINESS_PATH = "/health/ready"
LOAD_REPORT_PATH = "/stats"  # of an endpoint

# A client's request, and the request to an endpoint.
REQUEST_ID = "X-Correlation-Id"
SERVICE_CLASS = "X-Service-Class"
SESSION = "X-Session-Key"
TIME_REMAINING_MS = "X-Time-Left-Ms"
FACTS = "X-Facts"  # the prompt's lengths and its shared prefix
RETRY = "X-Repeat"  # present on a client's retry
RESUMED = "again"  # the value of that header on a request whose stream was migrated

# An endpoint's response.
LOAD_REPORT = "X-Backend-Load"
NOT_PROCESSED = "X-Unprocessed"
NOT_PROCESSED_TRUE = "1"  # the value by which the endpoint promises that it did not run the request


def reservation_path(request_id: str) -> str:
    """Return the path of the calls that make a reservation for a request and release what is held for it."""
    return f"/v1/holds/{request_id}"

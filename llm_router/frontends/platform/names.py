"""Paths and header names of the platform's protocol."""

from __future__ import annotations

CHAT_PATH = "/v1/chat/completions"
READINESS_PATH = "/health/ready"
LOAD_REPORT_PATH = "/stats"  # Endpoints answer load probes at this path.

# Headers of requests from clients and to endpoints.
REQUEST_ID = "X-Correlation-Id"
SERVICE_CLASS = "X-Service-Class"
SESSION = "X-Session-Key"
TIME_REMAINING_MS = "X-Time-Left-Ms"
FACTS = "X-Facts"  # The header gives the token counts and the shared prefix of the prompt.
RETRY = "X-Repeat"  # A client sends this header when it retries a request.
RESUMED = "again"  # The retry header has this value on a request whose stream was migrated.

# Headers of responses from endpoints.
LOAD_REPORT = "X-Backend-Load"
NOT_PROCESSED = "X-Unprocessed"
NOT_PROCESSED_TRUE = "1"  # The endpoint states with this header value that it did not run the request.


def reservation_path(request_id: str) -> str:
    """Return the path of the reservation and release calls for a request."""
    return f"/v1/holds/{request_id}"

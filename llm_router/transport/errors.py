"""The errors of calls to endpoints.

Each class derives from an aiohttp error, so that handlers of aiohttp's errors also handle these errors."""

from __future__ import annotations

import aiohttp


class UpstreamError(aiohttp.ClientError):
    """A call to an endpoint failed in a way that aiohttp itself does not distinguish."""


class MalformedResponseError(UpstreamError, aiohttp.ClientPayloadError):
    """A response is malformed; the request may have run, and the connection is not reused."""


class LocalConnectError(UpstreamError, aiohttp.ClientOSError):
    """A connection could not be opened because of an error on the router's host, not at the endpoint."""


class StaleConnectionError(UpstreamError, aiohttp.ClientOSError):
    """A reused idle connection broke before any byte of a response arrived.

    The endpoint may be healthy, because either side may close an idle connection. The request may have
    run."""


class AttemptWithdrawnError(UpstreamError, aiohttp.ClientConnectionError):
    """A request was not sent, because it was no longer allowed once its connection was open."""

"""The errors of calls to endpoints.

Each derives from the aiohttp error it refines, so that code that handles aiohttp's errors handles it too."""

from __future__ import annotations

import aiohttp


class UpstreamError(aiohttp.ClientError):
    """A call to an endpoint failed in a way that aiohttp itself does not distinguish."""


class MalformedResponseError(UpstreamError, aiohttp.ClientPayloadError):
    """A response cannot be read; its request may have run, and its connection is not used again."""


class LocalConnectError(UpstreamError, aiohttp.ClientOSError):
    """A connection could not be made because of this machine; it says nothing about the endpoint."""


class StaleConnectionError(UpstreamError, aiohttp.ClientOSError):
    """An idle connection that was used again broke before any byte of a response.

    The endpoint may be healthy, as idle connections are closed by either side; the request may have run."""


class AttemptWithdrawnError(UpstreamError, aiohttp.ClientConnectionError):
    """A request was not sent: the reason for it had gone by the time its connection was up."""

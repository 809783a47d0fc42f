"""Responses of endpoints without connections, for tests of their readers."""

from types import SimpleNamespace


def chunked_response(*pieces):
    """Return a chunked response whose reads return the pieces and then its end."""
    remaining = iter((*pieces, b""))

    async def readany():
        return next(remaining)

    content = SimpleNamespace(readany=readany, read_nowait=lambda: b"", at_eof=lambda: True)
    headers = {"Transfer-Encoding": "chunked"}
    return SimpleNamespace(status=200, headers=headers, content=content, connection=None)

"""Limit the time that a test may wait."""

import asyncio

WAIT_LIMIT = 20  # default time limit of one wait, in seconds
TEST_LIMIT = 60  # time limit of a whole test, in seconds


def within(work, seconds=WAIT_LIMIT):
    """Return an awaitable with a time limit, which raises TimeoutError after `seconds`."""
    return asyncio.wait_for(work, seconds)


def run(test):
    """Run an asynchronous test with a time limit."""
    asyncio.run(within(test, TEST_LIMIT))

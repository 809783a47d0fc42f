"""Bound the time that a test may wait."""

import asyncio

WAIT_LIMIT = 20  # seconds that any wait may take before a test fails
TEST_LIMIT = 60  # seconds that a test may take


def within(work, seconds=WAIT_LIMIT):
    """Await something; raise TimeoutError where it takes too long."""
    return asyncio.wait_for(work, seconds)


def run(test):
    """Run an asynchronous test to its end."""
    asyncio.run(within(test, TEST_LIMIT))

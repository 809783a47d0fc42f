"""Units of time for the policy's clock, which counts integer nanoseconds."""

MILLISECOND = 1_000_000
SECOND = 1_000_000_000

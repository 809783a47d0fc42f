"""The number of points that endpoints have on the prefill hash ring."""

import pytest
from policy_harness import FLEET, MIXED, PREFILL_A, PolicyHarness, entry


def test_mixed_endpoint_has_fewer_ring_points_than_prefill_endpoint():
    ring = PolicyHarness(fleet=(*FLEET, entry(MIXED, "mixed"))).policy.prefill_ring.ring
    points = [point.endpoint_id for point in ring.points]
    assert 0 < points.count(MIXED) < points.count(PREFILL_A)


@pytest.mark.parametrize(
    ("prefill_count", "decode_count", "points"), [(9, 3, 4), (6, 6, 8), (3, 9, 12), (0, 4, 16)]
)
def test_ring_points_of_mixed_endpoint_shrink_with_the_role_ratio(prefill_count, decode_count, points):
    kinds = ["prefill"] * prefill_count + ["decode"] * decode_count
    fleet = (*(entry(100 + n, kind) for n, kind in enumerate(kinds)), entry(MIXED, "mixed"))
    ring = PolicyHarness(fleet=fleet).policy.prefill_ring.ring
    assert [point.endpoint_id for point in ring.points].count(MIXED) == points


def test_prefill_endpoint_with_few_decode_endpoints_in_its_cell_has_fewer_points():
    fleet = (
        *(entry(100 + n, "prefill", 0) for n in range(3)),
        entry(200, "decode", 0),
        entry(110, "prefill", 1),
        *(entry(210 + n, "decode", 1) for n in range(3)),
    )
    ring = PolicyHarness(fleet=fleet).policy.prefill_ring.ring
    points = [point.endpoint_id for point in ring.points]
    assert points.count(100) * 2 == points.count(110)
    assert 200 not in points

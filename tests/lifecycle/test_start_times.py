"""Tests of the limits on reported start times, which come from clocks that may be wrong."""

from datetime import timedelta

from llm_router.lifecycle.start_times import NO_START_TIME, StartTimes


def seconds(value):
    return timedelta(seconds=value)


NOW = seconds(1_000_000)


def test_an_unknown_start_time_stays_unknown():
    assert StartTimes().effective_start("a", NO_START_TIME, NOW, seconds(1)) == NO_START_TIME


def test_a_plausible_start_time_is_kept():
    assert StartTimes().effective_start("a", NOW - seconds(1), NOW, seconds(2)) == NOW - seconds(1)


def test_a_start_time_in_the_future_counts_as_now():
    assert StartTimes().effective_start("a", NOW + seconds(3600), NOW, seconds(2)) == NOW


def test_a_start_time_long_before_the_last_answer_counts_as_the_time_of_that_answer():
    assert StartTimes().effective_start("a", NOW - seconds(3600), NOW, seconds(2)) == NOW - seconds(2)


def test_an_old_start_time_in_the_first_list_is_kept():
    assert StartTimes().effective_start("a", NOW - seconds(3600), NOW, None) == NOW - seconds(3600)


def test_a_start_time_in_the_future_that_is_reported_again_counts_as_before():
    starts = StartTimes()
    first = starts.effective_start("a", NOW + seconds(60), NOW, None)
    assert starts.effective_start("a", NOW + seconds(60), NOW + seconds(5), seconds(1)) == first


def test_a_second_start_is_later_than_the_first_after_the_clock_of_its_host_was_set_back():
    starts = StartTimes()
    first = starts.effective_start("a", NOW - seconds(1), NOW, seconds(2))
    second = starts.effective_start("a", NOW - seconds(900), NOW + seconds(5), seconds(2))
    assert second > first


def test_an_endpoint_that_is_listed_again_keeps_its_start_time():
    starts = StartTimes()
    first = starts.effective_start("a", NOW - seconds(60), NOW, None)
    starts.remove("a", NOW + seconds(1))
    assert starts.effective_start("a", NOW - seconds(60), NOW + seconds(2), seconds(1)) == first


def test_start_times_of_endpoints_removed_long_ago_are_dropped():
    starts = StartTimes()
    for number in range(100):
        starts.effective_start(f"a{number}", NOW, NOW, None)
        starts.remove(f"a{number}", NOW)
    starts.remove("other", NOW + seconds(3600))
    assert not starts.listed and not starts.removed


def test_a_start_time_may_precede_the_last_answer_by_the_maximum_list_delay():
    starts = StartTimes(max_list_delay=seconds(4))
    assert starts.effective_start("a", NOW - seconds(5.5), NOW, seconds(2)) == NOW - seconds(5.5)
    assert starts.effective_start("b", NOW - seconds(6.5), NOW, seconds(2)) == NOW - seconds(2)

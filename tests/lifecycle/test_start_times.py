"""From when a start counts: on our own clock, within what could have been known of it."""

from datetime import timedelta

from llm_router.lifecycle.start_times import NO_START_TIME, StartTimes


def seconds(value):
    return timedelta(seconds=value)


NOW = seconds(1_000_000)


def test_a_start_of_long_ago_stays_one():
    assert StartTimes().effective_start("a", NO_START_TIME, NOW, seconds(1)) == NO_START_TIME


def test_a_true_start_counts_from_its_time():
    assert StartTimes().effective_start("a", NOW - seconds(1), NOW, seconds(2)) == NOW - seconds(1)


def test_a_start_in_the_future_counts_from_now():
    assert StartTimes().effective_start("a", NOW + seconds(3600), NOW, seconds(2)) == NOW


def test_a_start_that_could_not_have_been_missed_counts_from_the_last_answer():
    assert StartTimes().effective_start("a", NOW - seconds(3600), NOW, seconds(2)) == NOW - seconds(2)


def test_the_first_list_is_believed_as_nothing_is_known_of_the_time_before():
    assert StartTimes().effective_start("a", NOW - seconds(3600), NOW, None) == NOW - seconds(3600)


def test_a_start_that_is_reported_once_more_counts_as_before_even_after_a_clock_step():
    starts = StartTimes()
    first = starts.effective_start("a", NOW + seconds(60), NOW, None)
    assert starts.effective_start("a", NOW + seconds(60), NOW + seconds(5), seconds(1)) == first


def test_another_start_is_later_than_the_previous_one_though_its_machine_set_its_clock_back():
    starts = StartTimes()
    first = starts.effective_start("a", NOW - seconds(1), NOW, seconds(2))
    second = starts.effective_start("a", NOW - seconds(900), NOW + seconds(5), seconds(2))
    assert second > first


def test_an_endpoint_that_is_listed_once_more_has_not_started_anew():
    starts = StartTimes()
    first = starts.effective_start("a", NOW - seconds(60), NOW, None)
    starts.remove("a", NOW + seconds(1))
    assert starts.effective_start("a", NOW - seconds(60), NOW + seconds(2), seconds(1)) == first


def test_endpoints_that_were_removed_long_ago_take_no_memory():
    starts = StartTimes()
    for number in range(100):
        starts.effective_start(f"a{number}", NOW, NOW, None)
        starts.remove(f"a{number}", NOW)
    starts.remove("other", NOW + seconds(3600))
    assert not starts.listed and not starts.removed


def test_a_start_is_believed_as_far_back_as_lists_may_come_late():
    starts = StartTimes(max_list_delay=seconds(4))
    assert starts.effective_start("a", NOW - seconds(5.5), NOW, seconds(2)) == NOW - seconds(5.5)
    assert starts.effective_start("b", NOW - seconds(6.5), NOW, seconds(2)) == NOW - seconds(2)

"""The mean follows the answers of a route, not single large ones."""

from hemlockreel_daemon.forwarding import answer_sizes


def test_mean_of_mixed_answers():
    sizes = answer_sizes.AnswerSizes()
    for number in range(1000):
        sizes.note("mixed", 4_000_000 if number % 100 == 50 else 100)
    assert 100 <= sizes.expect("mixed") < 400_000


def test_routes_are_apart_and_a_change_is_followed():
    sizes = answer_sizes.AnswerSizes()
    sizes.note("one", 1000)
    for _ in range(100):
        sizes.note("two", 10)
    assert sizes.expect("one") == 1000
    for _ in range(100):
        sizes.note("one", 5000)
    assert 4900 < sizes.expect("one") <= 5000

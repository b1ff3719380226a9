from hemlockreel import affinity


def test_longest_known_prefix_is_matched():
    hints = affinity.PrefixHints()
    hints.add([1, 2, 3])
    assert [hints.match(x) for x in ([1, 2, 9], [9, 2], [])] == [2, 0, 0]


def test_cache_events_update_the_hints():
    hints = affinity.PrefixHints()
    hints.apply_events([{"type": "stored", "prefix": x} for x in (1, 2)])
    hints.apply_events([{"type": "evicted", "prefix": 2}])
    assert hints.match([1, 2]) == 1


def test_wrong_hints_lower_the_capacity_to_the_cache_size():
    hints = affinity.PrefixHints()
    kept = 100  # capacity of the replica's cache, in blocks
    for number in range(400):
        hints.add([number])
        oldest = max(0, number - kept)
        hints.adapt_capacity(hints.match([oldest]), 0)
    assert hints.capacity <= kept
    assert hints.match([399]) == 1

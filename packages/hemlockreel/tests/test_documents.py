import hypothesis
from hypothesis import strategies

from hemlockreel import documents

KEYS = strategies.sampled_from("abcd")
VALUES = strategies.dictionaries(KEYS, strategies.integers(0, 3))


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(
    strategies.lists(VALUES, min_size=1, max_size=12),
    strategies.integers(0, 12),
    strategies.integers(0, 12),
)
def test_difference_leads_to_the_same_document(history, above, known_version):
    documents_by_version = [documents.EMPTY]
    for version, wanted in enumerate(history, 1):
        last = documents_by_version[-1]
        documents_by_version.append(
            documents.with_values(last, wanted, version)
        )
    newest = documents_by_version[-1]
    above = min(above, newest.version)
    known = documents_by_version[min(known_version, newest.version)]
    difference = documents.difference_since(newest, above)
    found = documents.apply_difference(known, difference)
    if known.version >= above or difference.whole:
        assert documents.values(found) == history[-1]
        assert found.version == newest.version
    else:
        assert found is None


def test_older_difference_changes_nothing():
    old = documents.with_values(documents.EMPTY, {"a": 1}, 1)
    new = documents.with_values(old, {"a": 2}, 2)
    for above in (0, 1):
        difference = documents.difference_since(old, above)
        assert documents.apply_difference(new, difference) is new


def test_forgotten_removals_make_the_difference_whole():
    document = documents.EMPTY
    for version in range(1, 3 * documents.MAX_KEPT_REMOVALS):
        document = documents.with_values(document, {f"k{version}": 1}, version)
    assert len(document.items) == documents.MAX_KEPT_REMOVALS + 1
    known = documents.with_values(documents.EMPTY, {"k1": 1}, 1)
    difference = documents.difference_since(document, 1)
    assert difference.whole
    found = documents.apply_difference(known, difference)
    assert documents.values(found) == documents.values(document)

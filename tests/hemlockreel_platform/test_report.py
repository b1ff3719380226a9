"""Tests the report with journal entries as the benchmark writes them."""

import json

import pytest

from hemlockreel_platform import report


def entry(worths, head="a" * 40, dirty=False, broken=(), **changes):
    """Returns a journal entry with one day for each worth."""
    content = {
        "at": ["2026-12-04T00:00:00Z", "2026-12-04T00:01:00Z"],
        "head": head,
        "dirty": dirty,
        "site": "lochside",
        "error": None,
        "days": [
            {
                "name": f"quiet-1 --seed {number}",
                "kind": "quiet" if number % 2 else "trouble",
                "G": worth,
                "rules": dict.fromkeys(broken, 1),
            }
            for number, worth in enumerate(worths)
        ],
    }
    return {**content, **changes}


@pytest.fixture
def journal(tmp_path):
    folder = tmp_path / "journal"
    folder.mkdir()

    def write(name, content):
        (folder / name).write_text(content)

    write("1.json", json.dumps(entry([0.5, 0.7])))
    write("2.json", json.dumps(entry([0.4], "b" * 40, broken=("LOST",))))
    write("3.json", json.dumps(entry([0.6], "b" * 40, dirty=True)))
    write("4.json", json.dumps(entry([], error="the run did not finish")))
    write("5.json", "{")
    write("6.json", json.dumps(entry([None])))
    return folder


def test_days_are_grouped_by_commit_with_trials_separate(journal):
    days, _ = report.read_journal(journal)
    names = list(report.group_by_commit(days))
    assert names == ["aaaaaaa", "bbbbbbb", "bbbbbbb (trial)"]


def test_entries_without_result_are_skipped_with_reason(journal):
    _, skipped = report.read_journal(journal)
    assert [each.entry for each in skipped] == ["4.json", "5.json", "6.json"]
    assert skipped[0].reason == "the run did not finish"


def test_broken_rule_is_listed_with_replay_arguments(journal):
    days, _ = report.read_journal(journal)
    page = report.make_table("lochside", days)
    assert "* LOST: quiet-1 --seed 0 at bbbbbbb" in page
    assert "| aaaaaaa | 2 | 0.700 | 0.500 |  | 0 |" in page


def test_page_and_chart_are_written(journal, tmp_path, capsys):
    target = tmp_path / "report"
    report.main(["--journal", str(journal), "--to", str(target)])
    assert (target / "lochside.png").read_bytes().startswith(b"\x89PNG")
    assert "5.json: no JSON" in (target / "README.md").read_text()
    assert "4 days, 3 without a result" in capsys.readouterr().out


def test_missing_folder_is_usage_error(tmp_path, capsys):
    with pytest.raises(SystemExit):
        report.main(["--journal", str(tmp_path / "none")])
    assert "there is no folder" in capsys.readouterr().err

import pytest

from hemlockreel_daemon import settings as product
from hemlockreel_platform import settings

LINES = """
node_name=edge-a-1
ip=10.1.0.35
zone=a
region=r
listen.frontend=10.1.0.35:8144
listen.ready=10.1.0.35:8140
listen.control_plane=10.1.0.35:8146
listen.directory=10.1.0.35:8143
seed_nodes=10.1.0.35:8146,10.2.0.28:8146
bounds.grace_s=8
bounds.ttl_max_s=1.5
platform.address=10.200.1.7:8142
a.field.of.tomorrow=yes
"""


def test_settings_are_decoded():
    loaded = settings.decode(settings.parse(LINES))
    assert loaded.daemon.listen.callers == "10.1.0.35:8144"
    assert loaded.daemon.seeds == ("10.2.0.28:8146",)
    assert loaded.ttl_s == 1.5
    assert loaded.limits.grace_s == 8.0
    assert not loaded.limits.is_first_start
    assert loaded.daemon.responses == product.Responses()


def test_limits_of_usage_are_decoded():
    text = LINES + "bounds.quota_slack=120000\nbounds.quota_overage=0.2\n"
    usage = settings.decode(settings.parse(text)).limits.usage
    assert usage == (8.0, 0.2, 120000.0)


@pytest.mark.parametrize(
    ("line", "learns"),
    [
        ("", False),
        ("contracts=pool,pressure", True),
        ("pace.learned=true", True),
        ("contracts=pressure\npace.learned=false", False),
    ],
)
def test_whether_the_pace_of_replicas_is_learned(line, learns):
    loaded = settings.decode(settings.parse(f"{LINES}\n{line}\n"))
    assert loaded.limits.learns_pace is learns


def test_limits_of_keys_are_decoded():
    assert settings.decode(settings.parse(LINES)).limits.keys == (False, 5.0)
    text = LINES + "bounds.revoke_strict=true\nbounds.revoke_ms=3000\n"
    keys = settings.decode(settings.parse(text)).limits.keys
    assert keys == (True, 3.0)


def test_limits_of_responses_and_the_first_start_are_decoded():
    text = LINES + "bootstrap=true\nresponses.event_bytes=4096\n"
    loaded = settings.decode(settings.parse(text))
    assert loaded.limits.is_first_start
    assert loaded.daemon.responses.limits.event_bytes == 4096


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ("", False),
        ("contracts=base,pool", False),
        ("contracts=base, pressure,pool", True),
        ("contracts=pressure\nplacement.shared=false", False),
        ("placement.shared=true", True),
    ],
)
def test_places_are_shared_where_few_replicas_serve_many(lines, expected):
    loaded = settings.decode(settings.parse(LINES + lines))
    assert loaded.limits.places_shared is expected


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (LINES.replace("zone=a", "zone="), "zone is missing"),
        (LINES + "\nnonsense", "expected NAME=VALUE"),
        (LINES + "\npace.learned=1", "pace.learned: expected true or false"),
        (LINES + "\nresponses.head_bytes=1", r"responses: .*\.head_bytes"),
        (LINES + "\nresponses.body_bytes=x", r"responses: .*\.body_bytes"),
        (LINES + "\nresponses.event_bytes=999999999", r"\.event_bytes"),
        (LINES.replace("grace_s=8", "grace_s=x"), "expected a number"),
        (LINES + "\nbounds.quota_window_s=0", "quota_window_s: must be"),
        (LINES + "\nbounds.quota_slack=-1", "must not be negative"),
        (LINES + "placement.shared=1", "expected true or false"),
    ],
)
def test_error_names_wrong_setting(tmp_path, text, message):
    path = tmp_path / "settings.conf"
    path.write_text(text)
    with pytest.raises(product.SettingsError, match=message):
        settings.load(str(path))


def test_missing_file_is_settings_error(tmp_path):
    with pytest.raises(product.SettingsError, match="No such file"):
        settings.load(str(tmp_path / "none"))

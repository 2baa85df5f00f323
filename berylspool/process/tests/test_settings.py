"""Settings are validated, and errors name the file, line and key."""

from pathlib import Path

import pytest

from berylspool.exception import SettingsError
from berylspool.process.settings import load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["demo", "trust", "collective"])
def test_examples_are_valid(name):
    assert load_settings(EXAMPLES / f"{name}.yaml").entries


def load_error(tmp_path, text):
    path = tmp_path / "s.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    return str(caught.value)


def test_unknown_key_is_refused_with_its_line(tmp_path):
    message = load_error(tmp_path, "lease_s: 2\nrouting:\n  hedge: 3\n")
    assert "s.yaml:3: routing.hedge" in message


def test_bad_value_is_refused_with_its_line(tmp_path):
    text = (
        "entries:\n  e1:\n    address: nowhere\n    peer_address: 1.2.3.4:5\n"
    )
    message = load_error(tmp_path, text + "    zone: a\n")
    assert "s.yaml:3: entries.e1.address" in message


def test_undefined_name_is_refused(tmp_path):
    text = (
        "initial:\n  routes:\n    r:\n      stable: v1\n      versions:\n"
        "        v1: {partition: 1, services: [ghost]}\n"
    )
    assert "'ghost' is not defined" in load_error(tmp_path, text)


def test_malformed_yaml_and_missing_file(tmp_path):
    assert "s.yaml" in load_error(tmp_path, "a: [1,\n")
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "missing.yaml")


def test_tokens_are_hidden_in_repr(tmp_path):
    path = tmp_path / "s.yaml"
    path.write_text("tokens: {change: hunter2}\n")
    assert "hunter2" not in repr(load_settings(path))

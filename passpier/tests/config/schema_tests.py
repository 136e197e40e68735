"""Schema files and settings: all findings are reported at once, each with its location."""

from __future__ import annotations

import pathlib

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest
import yaml
from syrupy.assertion import SnapshotAssertion

from passpier import exceptions
from passpier.config import declarations, directory, loader, schema, settings

EXAMPLES = pathlib.Path(__file__).parents[3] / 'docs' / 'examples'
INVALID = """\
fleet: Radar Desk
models:
  - name: m
    weight_version: v1
services:
  - name: flag
    model: missing
    pool: nowhere
    deadline_ms: -5
  - name: flag
    kind: plain
    pool: p
    surprise: 1
accounts:
  - name: a
    key_digests: [short]
    concurrency: 0
pools:
  - name: p
    upstreams:
      - {name: u, address: not-an-address, vm: v, failure_domain: d}
"""
DANGLING = """\
fleet: f
services:
  - {name: flag, model: missing, pool: nowhere}
  - {name: flag, kind: plain, pool: p}
  - {name: bare, pool: p}
accounts:
  - {name: a, key_digests: [], services: [none]}
pools:
  - name: p
    upstreams:
      - {name: u, address: '127.0.0.1:1', vm: v, failure_domain: d}
      - {name: u, address: '127.0.0.1:2', vm: v, failure_domain: d}
rules:
  - {services: [nope], accounts: [nobody]}
"""


def list_findings(text: str) -> list[str]:
    with pytest.raises(exceptions.FindingsError) as caught:
        loader.load_text(text, 'file')
    return [str(f) for f in caught.value.findings]


def test_all_findings_are_reported_at_once_with_their_lines(snapshot: SnapshotAssertion) -> None:
    assert list_findings(INVALID) == snapshot


def test_dangling_references_and_duplicates(snapshot: SnapshotAssertion) -> None:
    assert list_findings(DANGLING) == snapshot


@pytest.mark.parametrize('text', ['', '[1, 2', 'a: b: c', '- 1', 'fleet: &a [*a]'])
def test_files_that_are_not_a_schema(text: str) -> None:
    assert list_findings(text)


@pytest.mark.parametrize('path', sorted(EXAMPLES.glob('*.yaml')), ids=lambda p: p.name)
def test_examples_are_valid(path: pathlib.Path) -> None:
    fleet = loader.load_file(str(path))
    assert {s.kind for s in fleet.services} == {'model', 'plain'}
    again = schema.Fleet.model_validate(yaml.safe_load(path.read_text()))
    assert again == fleet


@hypothesis.given(st.text(max_size=60))
def test_any_text_is_accepted_or_rejected_with_findings(text: str) -> None:
    try:
        loader.load_text(text)
    except exceptions.FindingsError as error:
        assert error.findings


def test_declarations_mirror_the_schema() -> None:
    """The daemon decodes with these structs what the schema validated: their fields must agree."""
    for name in ('Model', 'Path', 'Service', 'Account', 'Upstream', 'Pool', 'Rule', 'Fleet'):
        model = getattr(schema, name)
        mirror = {f.name: f for f in msgspec.structs.fields(getattr(declarations, name))}
        assert set(model.model_fields) == set(mirror)
        for field_name, field in model.model_fields.items():
            if not field.is_required():
                assert mirror[field_name].default == field.default, field_name


def test_longest_matching_path_decides_whether_a_request_is_repeatable() -> None:
    service = declarations.Service(
        name='s',
        kind='plain',
        pool='p',
        paths=(
            declarations.Path(path='/a', repeatable=False),
            declarations.Path(path='/a/b', repeatable=True),
        ),
    )
    requested = ['/', '/a', '/a/c', '/a/b', '/a/b/c', '/ab']
    repeatable = [directory.is_repeatable(service, path) for path in requested]
    assert repeatable == [True, False, False, True, True, True]


def test_flags_take_precedence_over_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv('PASSPIER_NAME', 'from-environment')
    monkeypatch.setenv('PASSPIER_OPERATOR_SECRET', 'long enough')
    monkeypatch.setenv('PASSPIER_SEEDS', '10.0.0.1:1, 10.0.0.2:2')
    options = settings.load_settings(['--name', 'from-flag', '--entry-ttl', '5'])
    assert options.name == 'from-flag'
    assert options.entry_ttl == 5.0
    assert options.seeds == ('10.0.0.1:1', '10.0.0.2:2')
    assert 'long enough' not in repr(options)


def test_settings_report_all_findings(
    monkeypatch: pytest.MonkeyPatch, snapshot: SnapshotAssertion
) -> None:
    monkeypatch.setenv('PASSPIER_IP', 'vm-1.example')
    monkeypatch.setenv('PASSPIER_OPERATOR_SECRET', 'short')
    with pytest.raises(exceptions.FindingsError) as caught:
        settings.load_settings(['--name', 'vm-1', '--caller-port', '70000', '--store', 'x'])
    assert [str(f) for f in caught.value.findings] == snapshot


def test_every_setting_is_documented() -> None:
    page = (EXAMPLES.parent / 'user-guide' / 'settings.md').read_text()
    for name, field in settings.Settings.model_fields.items():
        row = next(line for line in page.splitlines() if f'`PASSPIER_{name.upper()}`' in line)
        assert f'`--{name.replace("_", "-")}`' in row
        if not field.is_required() and field.default not in ((), None):
            assert f'| {field.default} |' in row

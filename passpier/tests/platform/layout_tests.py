"""The platform's names are used only inside the platform adapter."""

from __future__ import annotations

import pathlib

import passpier
from passpier.platform import names

ROOT = pathlib.Path(passpier.__file__).parent
ALLOWED = ('platform', 'standins/platform', 'tests/platform')
COMMON = {
    names.READY_PATH,
    names.REPORT_PATH,
    names.LAST_EVENT_ID,
    names.AUTHORIZATION,
    names.OWN_PREFIX,
}
"""Names that are in general use, or that belong to passpier itself."""

FIELDS = {
    'api_keys',
    'boot_epoch',
    'expected_revision',
    'fencing_token',
    'kv_capacity',
    'kv_store_address',
    'path_prefix',
    'private_key',
    'store_revision',
    'target_latency_ms',
    'timeout_ms',
    'X-Passpier-Kv',
}


def list_wire_names() -> set[str]:
    values = {v for k, v in vars(names).items() if k.isupper() and isinstance(v, str)}
    return {v for v in values if len(v) > 6} - COMMON | FIELDS


def test_platform_names_are_used_only_in_the_adapter() -> None:
    wire_names = list_wire_names()
    assert names.REQUEST_ID in wire_names
    for path in sorted(ROOT.rglob('*.py')):
        relative = path.relative_to(ROOT).as_posix()
        if relative.startswith(tuple(f'{a}/' for a in ALLOWED)):
            continue
        text = path.read_text()
        found = {name for name in wire_names if name in text}
        assert not found, f'{relative}: {found}'


def test_adapter_is_imported_only_by_itself_and_its_stand_ins() -> None:
    for path in sorted(ROOT.rglob('*.py')):
        relative = path.relative_to(ROOT).as_posix()
        if not relative.startswith(tuple(f'{a}/' for a in ALLOWED)):
            assert 'passpier.platform' not in path.read_text(), relative


def test_run_time_dependencies_are_pinned_like_the_development_ones() -> None:
    root = ROOT.parent
    locked = set((root / 'requirements.lock').read_text().lower().replace('-', '_').split())
    lines = (root / 'requirements.txt').read_text().splitlines()
    wanted = {x.lower().replace('-', '_') for x in lines if x and not x.startswith('#')}
    assert wanted
    assert not wanted - locked

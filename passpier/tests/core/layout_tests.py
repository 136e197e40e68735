"""The core has no I/O, clock or random source of its own."""

from __future__ import annotations

import ast
import pathlib

import passpier

ROOT = pathlib.Path(passpier.__file__).parent
FORBIDDEN = {'asyncio', 'os', 'random', 'socket', 'subprocess', 'threading', 'time'}
FORBIDDEN |= {'pycurl', 'tornado', 'zmq'}
RANDOM_TYPE_ONLY = {'choice.py', 'members.py', 'retries.py'}


def list_imports(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f'{node.module}.{alias.name}' for alias in node.names}
    return names


def test_the_core_imports_no_modules_with_side_effects() -> None:
    for path in sorted((ROOT / 'core').glob('*.py')):
        top = {name.partition('.')[0] for name in list_imports(path)}
        allowed = {'random'} if path.name in RANDOM_TYPE_ONLY else set()
        assert not top & FORBIDDEN - allowed, path.name
        if allowed:
            source = path.read_text()
            assert source.count('random.') == source.count('random.Random'), path.name


def test_only_tests_import_the_stand_ins() -> None:
    for path in sorted(ROOT.rglob('*.py')):
        if path.is_relative_to(ROOT / 'standins') or path.is_relative_to(ROOT / 'tests'):
            continue
        assert not [n for n in list_imports(path) if n.startswith('passpier.standins')], path
